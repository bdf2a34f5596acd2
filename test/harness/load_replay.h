/** @file load_replay.h Replays a load against many endpoint selectors. */

#ifndef TEST_HARNESS_LOAD_REPLAY_H_
#define TEST_HARNESS_LOAD_REPLAY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "buckthornpath/endpoint_selector.h"

namespace buckthornpath {

/** One kind of load on one service, in virtual time. */
struct ReplayPlan {
  std::size_t gateways = 100;
  std::size_t endpoints = 6;
  std::size_t slots = 6;          ///< Of each endpoint.
  std::size_t queue_length = 24;  ///< Requests that an endpoint queues.
  double requests_per_second = 500;
  /** Requests of a chat that arrive at the same moment. */
  std::size_t clump = 3;
  std::chrono::milliseconds mean_work{30};
  /** Part by which the load rises and falls, in waves of 15 s. */
  double wave = 0;
  /** How much longer work takes that starts in a slow phase; each endpoint has
   * one of 90 ms every 600 ms. */
  double slowdown = 1;
  /** Interval at which gateways learn the loads of all, and how old these are
   * then. */
  std::chrono::milliseconds load_interval{200};
  std::chrono::milliseconds load_delay{200};
  std::chrono::milliseconds duration{20000};
  /** Number of different shared prompts; 0 for a service without prompts. */
  std::size_t prompts = 0;
  std::uint32_t prompt_tokens = 0;
  /** Time that a response should take; 0 if all requests are admitted. */
  std::chrono::milliseconds target{0};
  std::uint64_t seed = 1;
};

/** What callers and endpoints have seen. */
struct ReplayResult {
  std::size_t requests = 0;
  std::size_t refused = 0;  ///< By a gateway.
  /** Refused by a gateway while under 80% of the slots were taken. */
  std::size_t refused_beside_slots = 0;
  std::size_t served = 0;
  std::size_t in_target = 0;   ///< Served within the target.
  std::size_t shed = 0;        ///< Refused by an endpoint as full.
  std::size_t over_bound = 0;  ///< Above twice the mean load plus three.
  std::vector<std::chrono::milliseconds> waits;  ///< For a slot; sorted.
  double prefilled_again = 0;  ///< Share of prompts read at several endpoints.

  std::chrono::milliseconds WaitAt(double quantile) const;
};

/** Plays a load with one EndpointSelector for each gateway. */
ReplayResult ReplayLoad(const ReplayPlan& plan);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_LOAD_REPLAY_H_
