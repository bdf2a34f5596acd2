/** @file soak.cc Runs the soak: soak <first seed> <runs> <gateways>. */

#include <cstdlib>
#include <iostream>

#include "soak/soak_run.h"

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  if (argc != kArguments) {
    std::cerr << "usage: soak <first seed> <runs> <gateways>\n";
    return 2;
  }
  const auto number = [&](int place) {
    return std::strtoull(argv[place], nullptr, 10);
  };
  std::size_t broken = 0;
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
    ++(result.violations.empty() ? passed : broken);
  }
  std::cout << passed << " passed, " << broken << " failed" << std::endl;
  return broken == 0 ? 0 : 1;
}
