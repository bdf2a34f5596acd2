/** @file model_order_schedule.h When a replica may begin to load a model. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_SCHEDULE_H_
#define SRC_ENDPOINT_MODEL_ORDER_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Pace of the loads that one change of the assignment causes. */
struct LoadPace {
  Revision revision{};                ///< Draws the order of the replicas.
  std::int64_t loads_per_minute = 1;  ///< Limit of the weight store.
};

/**
 * Delay of one replica's load after a change of the assignment. All replicas
 * that change draw the same order, by rendezvous hashing under the revision,
 * and each waits for its own place; nothing is shared.
 * @param changed Replicas that have to load, the one asking included.
 * @param jitter In [0, 1); moves the start within half of a place.
 * @return Zero if the replica is not among those that change.
 */
std::chrono::milliseconds LoadDelay(const LoadPace& pace,
                                    const std::vector<EndpointId>& changed,
                                    const EndpointId& self,
                                    double jitter);

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_SCHEDULE_H_
