/** @file soak_run.h One randomized run of real gateways under faults. */

#ifndef TEST_SOAK_SOAK_RUN_H_
#define TEST_SOAK_SOAK_RUN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornpath {

/** What a run is made of. */
struct SoakPlan {
  std::uint64_t seed = 1;
  std::size_t gateways = 3;
  std::chrono::milliseconds length = std::chrono::seconds(8);
};

/** What a run found. */
struct SoakResult {
  std::size_t calls = 0;
  std::size_t served = 0;
  std::size_t faults = 0;               ///< Injected.
  std::vector<std::string> violations;  ///< Promises that were broken.
};

/** Runs gateways, callers and faults; all processes are its own. */
SoakResult RunSoak(const SoakPlan& plan);

}  // namespace buckthornpath

#endif  // TEST_SOAK_SOAK_RUN_H_
