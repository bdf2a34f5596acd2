/** @file checker.cc Checks history files from the command line. */

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
  const auto result = buckthornpath::CheckHistory(lines);
  std::cout << nlohmann::json{{"calls", result.calls},
                              {"runs", result.runs},
                              {"complete", result.complete},
                              {"told", result.outcomes},
                              {"violations", result.violations}}
                   .dump(2)
            << "\n";
  return result.violations.empty() ? 0 : 1;
}
