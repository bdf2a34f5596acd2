/** @file soak.cc Runs the soak test: soak <first seed> <runs> <gateways>. */

#include <cstdlib>
#include <iostream>

#include "soak/soak_run.h"

int main(int argc, char** argv) {
  constexpr int kArgumentCount = 4;
  if (argc != kArgumentCount) {
    std::cerr << "usage: soak <first seed> <runs> <gateways>\n";
    return 2;
  }
  const auto number = [&](int index) {
    return std::strtoull(argv[index], nullptr, 10);
  };
  std::size_t failed = 0;
  std::size_t passed = 0;
  for (std::uint64_t i = 0; i < number(2); ++i) {
    buckthornpath::SoakPlan plan;
    plan.seed = number(1) + i;
    plan.gateways = number(3);
    const buckthornpath::SoakResult result = buckthornpath::RunSoak(plan);
    std::cout << "seed " << plan.seed << ": " << result.calls << " calls, "
              << result.served << " served, " << result.faults << " faults, "
              << result.violations.size() << " violations" << std::endl;
    for (const std::string& violation : result.violations)
      std::cout << "  " << violation << std::endl;
    std::cout << result.evidence;
    ++(result.violations.empty() ? passed : failed);
  }
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
