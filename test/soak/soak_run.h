/** @file soak_run.h One randomized run of real gateways under faults. */

#ifndef TEST_SOAK_SOAK_RUN_H_
#define TEST_SOAK_SOAK_RUN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornpath {

/** Parameters of a run. */
struct SoakPlan {
  std::uint64_t seed = 1;
  std::size_t gateways = 3;
  std::chrono::milliseconds length = std::chrono::seconds(8);
  /** Failure domains are evacuated and restored beside the other faults. */
  bool has_evacuations = false;
};

/** Counts and violations of a run. */
struct SoakResult {
  std::size_t calls = 0;
  std::size_t served = 0;
  std::size_t faults = 0;               ///< Faults injected.
  std::vector<std::string> violations;  ///< Failed checks, one text each.
  /** Log lines of the requests that the violations name, and of the start and
   * the end of each process. */
  std::string evidence;
};

/** Starts gateways, callers and fake endpoints, injects faults and checks what
 * callers and endpoints observe. Uses no process that it did not start. */
SoakResult RunSoak(const SoakPlan& plan);

}  // namespace buckthornpath

#endif  // TEST_SOAK_SOAK_RUN_H_
