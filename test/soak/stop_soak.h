/** @file stop_soak.h Planned stops of gateways in series, under load. */

#ifndef TEST_SOAK_STOP_SOAK_H_
#define TEST_SOAK_STOP_SOAK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/soak_run.h"

namespace buckthornpath {

/** Parameters of a run with planned stops and no other faults. */
struct StopSoakPlan {
  std::uint64_t seed = 1;
  std::size_t gateways = 4;
  std::size_t engines = 6;
  std::size_t callers_per_gateway = 12;
  std::size_t slots = 12;  ///< Of each engine.
  int refused_one_in = 8;  ///< Requests that an engine refuses.
  /** Limits of a pause of an engine: longer than a gateway waits for an event;
   * shorter than the time between the last sixth of a stop's grace, in which
   * an endpoint must be at work, and the cut-off. */
  std::chrono::milliseconds min_pause{850};
  std::chrono::milliseconds max_pause{1050};
  /** Limits of the time from the begin of one pause to that of the next. */
  std::chrono::milliseconds min_pause_interval{100};
  std::chrono::milliseconds max_pause_interval{700};
  /** Several engines may pause at a time, and single streams besides. All
   * endpoints that a stream may use can then be silent until the end of a stop;
   * no gateway can help it. */
  bool has_joint_pauses = false;
  std::chrono::milliseconds length = std::chrono::seconds(20);
};

/**
 * Stops gateways as the platform does, in series that overlap, while callers
 * keep using their connections until the process is gone, and engines pause,
 * queue and refuse requests. Every request must get a whole answer, or have an
 * excuse that the platform allows.
 */
SoakResult RunStopSoak(const StopSoakPlan& plan);

}  // namespace buckthornpath

#endif  // TEST_SOAK_STOP_SOAK_H_
