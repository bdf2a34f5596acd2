/** @file endpoint_loads.h A router's estimates of the endpoints' loads. */

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
 * Estimates the load of each endpoint: the last load that it reported, plus the
 * calls that this router has started there since, minus those that ended.
 */
class EndpointLoads {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @param maximum_age Age above which a report is ignored. */
  explicit EndpointLoads(std::chrono::milliseconds maximum_age)
      : reports(maximum_age) {}

  /** Records a report. @param load Calls running and waiting. */
  void RecordReport(const EndpointId& endpoint,
                    std::int64_t load,
                    TimePoint now);

  /** Records that a call of this router started or ended at an endpoint. */
  void RecordStart(const EndpointId& endpoint);
  void RecordEnd(const EndpointId& endpoint);

  /**
   * @return The estimated load, at least the number of this router's own calls;
   *     nothing if there is no recent report.
   */
  std::optional<double> EstimatedLoad(const EndpointId& endpoint,
                                      TimePoint now) const;

  /** @return Number of this router's calls at an endpoint. */
  std::int64_t OwnCallCount(const EndpointId& endpoint) const;

 private:
  struct OwnCalls {
    std::int64_t now = 0;        ///< This router's calls at the endpoint.
    std::int64_t at_report = 0;  ///< The same at the last report.
  };

  mutable OrderedMutex mutex{LockRank::kMembers};
  LoadView reports;
  std::unordered_map<EndpointId, OwnCalls> own;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_ENDPOINT_LOADS_H_
