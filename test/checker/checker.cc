/** @file checker.cc Judges history files from the command line. */

#include <iostream>

#include "checker/history_check.h"

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: checker FILE...\n";
    return 2;
  }
  std::vector<nlohmann::json> lines;
  for (int i = 1; i < argc; ++i) {
    auto more = buckthornpath::ReadHistory(argv[i]);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  const auto verdict = buckthornpath::CheckHistory(lines);
  std::cout << nlohmann::json{{"calls", verdict.calls},
                              {"runs", verdict.runs},
                              {"complete", verdict.complete},
                              {"told", verdict.told},
                              {"violations", verdict.violations}}
                   .dump(2)
            << "\n";
  return verdict.violations.empty() ? 0 : 1;
}
