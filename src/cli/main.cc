/** @file main.cc The operators' command-line tool. */

#include <docopt/docopt.h>

#include <iostream>

#include "kernel/settings.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(buckthornpath: checks what operators publish and shows what is in force.

Usage:
  buckthornpath check settings <file>
  buckthornpath (-h | --help)
)";

int CheckSettings(const std::string& path) {
  try {
    LoadSettings(path);
  } catch (const DocumentRefused& refused) {
    for (const DocumentFault& fault : refused.Faults()) {
      std::cerr << path << ": " << fault.path << ": " << fault.reason << "\n";
    }
    return 1;
  }
  std::cout << path << ": accepted\n";
  return 0;
}

int Main(const std::vector<std::string>& arguments) {
  auto options = docopt::docopt(kUsage, arguments);
  return CheckSettings(options["<file>"].asString());
}

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  return buckthornpath::Main({argv + 1, argv + argc});
}
