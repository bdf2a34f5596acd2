/** @file sweep.cc Runs generated fault schedules from the command line. */

#include <cstdlib>
#include <iostream>

#include "sweep/fault_schedule.h"

int main(int argc, char** argv) {
  if (argc != 3 && argc != 4) {
    std::cerr << "usage: sweep SEED RUNS [FAULT]\n";
    return 2;
  }
  const auto seed = std::strtoull(argv[1], nullptr, 10);
  const auto runs = static_cast<int>(std::strtol(argv[2], nullptr, 10));
  const auto only_kind =
      argc == 4 ? buckthornpath::FindFault(argv[3]) : std::nullopt;
  return buckthornpath::RunSweep(seed, runs, only_kind).passed ? 0 : 1;
}
