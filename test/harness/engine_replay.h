/** @file engine_replay.h Replays a load of prompts against model engines. */

#ifndef TEST_HARNESS_ENGINE_REPLAY_H_
#define TEST_HARNESS_ENGINE_REPLAY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "buckthornpath/endpoint_selector.h"

namespace buckthornpath {

/** One kind of request in a replay. */
struct ReplayClass {
  std::string name;
  int priority = 0;
  double requests_per_second = 0;
  std::size_t prompts = 1;  ///< Different shared prompts.
  double hot_share = 0;     ///< Share of requests with the first prompt.
  /** The n-th prompt is used in proportion to n to the power of -skew. */
  double skew = 0;
  std::uint32_t shared_tokens = 0;
  std::uint32_t own_tokens = 0;
  std::chrono::milliseconds decode{};    ///< Mean; without prefill beside it.
  std::chrono::milliseconds target{};    ///< For the first event.
  std::chrono::milliseconds deadline{};  ///< For the whole response.
  double worth = 1;
  double late_worth = 0.5;
  /** Factor on the rate between two times of the replay. */
  double burst = 1;
  std::chrono::milliseconds burst_from{};
  std::chrono::milliseconds burst_to{};
};

struct EngineReplayPlan {
  std::size_t gateways = 103;
  std::size_t engines = 180;
  std::size_t slots = 16;
  std::size_t queue_length = 48;
  double prefill_tokens_per_ms = 112;
  std::uint64_t cache_tokens = 388999;
  /** Capacity that the configuration states; 0 if it states none. */
  std::uint64_t known_memory_tokens = 0;
  std::chrono::milliseconds load_interval{100};
  std::chrono::milliseconds load_delay{100};
  std::chrono::milliseconds duration{15000};
  std::vector<ReplayClass> classes;
  EndpointSelectorLimits limits;
  std::uint64_t seed = 1;
};

struct ReplayClassResult {
  std::size_t requests = 0;
  std::size_t refused = 0;
  std::size_t on_time = 0;
  std::size_t late = 0;
  double worth_share = 0;  ///< Worth earned, relative to that owed.
  std::vector<std::chrono::milliseconds> first_events;  ///< Sorted.

  /** @return Time to the first event at a quantile. */
  std::chrono::milliseconds FirstEventAt(double quantile) const;
};

struct EngineReplayResult {
  std::vector<ReplayClassResult> classes;
  double worth_share = 0;
  /** Tokens of shared prompts read at an engine although another one had read
   * them, in millions. */
  double read_again = 0;
  /** Share of requests above twice the mean plus 3, in the worst 5 s. */
  double over_bound = 0;
};

/** Plays a load with one EndpointSelector for each gateway. */
EngineReplayResult ReplayEngines(const EngineReplayPlan& plan);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_ENGINE_REPLAY_H_
