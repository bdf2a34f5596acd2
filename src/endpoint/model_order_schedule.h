/** @file model_order_schedule.h Spreads the model loads of the replicas over
 * time. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_SCHEDULE_H_
#define SRC_ENDPOINT_MODEL_ORDER_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Rate limit of the loads that one change of the assignment causes. */
struct LoadRateLimit {
  Revision revision{};                ///< Key of the rendezvous hash.
  std::int64_t loads_per_minute = 1;  ///< That the weight store can serve.
};

/**
 * Delay of one replica's load after a change of the assignment. Each replica
 * sorts the changed replicas by rendezvous hash with the revision as key and
 * waits for its own time slot. All compute the same order, so they need no
 * communication.
 * @param changed Replicas that have to load a model, `self` included.
 * @param jitter In [0, 1); delays the start by up to half a slot.
 * @return Zero if `self` is not in `changed`.
 */
std::chrono::milliseconds LoadDelay(const LoadRateLimit& rate_limit,
                                    const std::vector<EndpointId>& changed,
                                    const EndpointId& self,
                                    double jitter);

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_SCHEDULE_H_
