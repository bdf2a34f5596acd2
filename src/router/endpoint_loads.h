/** @file endpoint_loads.h What a router believes of the endpoints' loads. */

#ifndef SRC_ROUTER_ENDPOINT_LOADS_H_
#define SRC_ROUTER_ENDPOINT_LOADS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "buckthornpath/load_view.h"
#include "buckthornpath/strong_id_type.h"
#include "kernel/lock_order.h"

namespace buckthornpath {

/**
 * Loads that endpoint processes reported, corrected by the calls that this
 * router has sent and finished since.
 */
class EndpointLoads {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @param maximum_age Age above which a report counts no longer. */
  explicit EndpointLoads(std::chrono::milliseconds maximum_age)
      : reports(maximum_age) {}

  /** Notes a report of calls running and waiting. */
  void NoteReport(const EndpointId& endpoint, std::int64_t load, TimePoint now);

  /** Notes that a call of this router began or ended at an endpoint. */
  void NoteStart(const EndpointId& endpoint);
  void NoteEnd(const EndpointId& endpoint);

  /** @return The load believed; nothing if no report is young enough. */
  std::optional<double> Believed(const EndpointId& endpoint,
                                 TimePoint now) const;

  /** @return Calls of this router at an endpoint. */
  std::int64_t Own(const EndpointId& endpoint) const;

 private:
  struct OwnCalls {
    std::int64_t now = 0;        ///< Calls of this router there.
    std::int64_t at_report = 0;  ///< Of them, when the report came.
  };

  mutable OrderedMutex mutex{LockRank::kMembers};
  LoadView reports;
  std::unordered_map<EndpointId, OwnCalls> own;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_ENDPOINT_LOADS_H_
