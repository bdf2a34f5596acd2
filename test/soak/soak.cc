/** @file soak.cc Runs a soak test; see the usage below. */

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "soak/publication_soak.h"
#include "soak/soak_run.h"
#include "soak/stop_soak.h"

namespace buckthornpath {

namespace {

SoakResult RunFaults(std::uint64_t seed, std::size_t gateways) {
  SoakPlan plan;
  plan.seed = seed;
  plan.gateways = gateways;
  return RunSoak(plan);
}

SoakResult RunEvacuations(std::uint64_t seed, std::size_t gateways) {
  SoakPlan plan;
  plan.seed = seed;
  plan.gateways = gateways;
  plan.has_evacuations = true;
  return RunSoak(plan);
}

StopSoakPlan StopPlan(std::uint64_t seed, std::size_t gateways) {
  StopSoakPlan plan;
  plan.seed = seed;
  plan.gateways = gateways;
  return plan;
}

SoakResult RunStops(std::uint64_t seed, std::size_t gateways) {
  return RunStopSoak(StopPlan(seed, gateways));
}

SoakResult RunJointStops(std::uint64_t seed, std::size_t gateways) {
  StopSoakPlan plan = StopPlan(seed, gateways);
  plan.has_joint_pauses = true;
  plan.refused_one_in = 40;
  plan.min_pause = std::chrono::milliseconds(300);
  plan.max_pause = std::chrono::milliseconds(1800);
  plan.min_pause_interval = std::chrono::milliseconds(200);
  plan.max_pause_interval = std::chrono::milliseconds(1500);
  return RunStopSoak(plan);
}

/** The number of gateways comes from the seed. */
SoakResult RunPublications(std::uint64_t seed, std::size_t /*gateways*/) {
  PublicationSoakPlan plan;
  plan.seed = seed;
  return RunPublicationSoak(plan);
}

/** A kind of run, by the name in the last argument. */
struct SoakKind {
  std::string_view name;
  SoakResult (*run)(std::uint64_t seed, std::size_t gateways);
};

constexpr std::array<SoakKind, 5> kKinds = {{{"faults", RunFaults},
                                             {"evacuations", RunEvacuations},
                                             {"stops", RunStops},
                                             {"joint-stops", RunJointStops},
                                             {"publication", RunPublications}}};

int Main(int argc, char** argv) {
  constexpr int kMinArguments = 4;
  if (argc < kMinArguments) {
    std::cerr << "usage: soak <first seed> <runs> <gateways> [kind]\n"
                 "faults: random faults; the default\n"
                 "evacuations: the same, and evacuated failure domains\n"
                 "stops: planned stops in series, engines that pause\n"
                 "joint-stops: the same, several engines pause at a time\n"
                 "publication: changes and a store in trouble; 2 to 6 "
                 "gateways, by the seed\n";
    return 2;
  }
  const auto number = [&](int index) {
    return std::strtoull(argv[index], nullptr, 10);
  };
  const std::string_view name =
      argc > kMinArguments ? argv[kMinArguments] : kKinds.front().name;
  const auto* const kind =
      std::find_if(kKinds.begin(), kKinds.end(),
                   [&](const SoakKind& row) { return row.name == name; });
  if (kind == kKinds.end()) {
    std::cerr << "unknown kind of soak \"" << name << "\"\n";
    return 2;
  }
  std::size_t failed = 0;
  std::size_t passed = 0;
  for (std::uint64_t i = 0; i < number(2); ++i) {
    const std::uint64_t seed = number(1) + i;
    const SoakResult result = kind->run(seed, number(3));
    std::cout << "seed " << seed << ": " << result.calls << " calls, "
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

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  return buckthornpath::Main(argc, argv);
}
