/** @file sweep.cc Runs generated fault schedules from the command line. */

#include <cstdlib>
#include <iostream>

#include "sweep/fault_schedule.h"

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: sweep SEED RUNS\n";
    return 2;
  }
  const auto seed = std::strtoull(argv[1], nullptr, 10);
  const auto runs = static_cast<int>(std::strtol(argv[2], nullptr, 10));
  return buckthornpath::Sweep(seed, runs).passed ? 0 : 1;
}
