/** @file load_view.h Latest load reports of endpoints and their mean. */

#ifndef BUCKTHORNPATH_LOAD_VIEW_H_
#define BUCKTHORNPATH_LOAD_VIEW_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Load of one endpoint at a past time. */
struct LoadReport {
  EndpointId endpoint;
  std::int64_t load = 0;            ///< Running and queued calls.
  std::chrono::milliseconds age{};  ///< Time since the load was sampled.
};

/** Mean load of a service, from the reports that this process holds. */
struct LoadMean {
  double mean = 0;
  std::size_t endpoint_count = 0;      ///< Endpoints included, own one too.
  std::chrono::milliseconds oldest{};  ///< Age of the oldest report included.
};

/**
 * Latest report of each endpoint, up to a maximum age. Reports carry ages, not
 * timestamps, so processes need no synchronised clocks; transmission delay
 * makes a report appear younger by that delay. `now` is the caller's monotonic
 * time.
 */
class LoadView {
 public:
  explicit LoadView(std::chrono::milliseconds max_age) : max_age(max_age) {}

  /** Stores a report unless a newer one of its endpoint is held or it exceeds
   * the maximum age. */
  void Update(const LoadReport& report, std::chrono::milliseconds now);

  /** Removes the report of an endpoint. */
  void Forget(const EndpointId& endpoint);

  /** @return The report of an endpoint, if it is within the maximum age. */
  std::optional<LoadReport> Find(const EndpointId& endpoint,
                                 std::chrono::milliseconds now) const;

  /**
   * Mean over the own endpoint and all reports within the maximum age.
   * @param own The own endpoint; reports of it are ignored.
   * @param own_load Its current load.
   */
  LoadMean MeanLoad(const EndpointId& own,
                    std::int64_t own_load,
                    std::chrono::milliseconds now) const;

  /** @return Up to `count` reports, newest first. */
  std::vector<LoadReport> Newest(std::size_t count,
                                 std::chrono::milliseconds now) const;

  /** @return Up to `count` reports, lowest load first. */
  std::vector<LoadReport> LeastLoaded(std::size_t count,
                                      std::chrono::milliseconds now) const;

  /** Removes reports beyond the maximum age. */
  void RemoveExpired(std::chrono::milliseconds now);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::int64_t load = 0;
    std::chrono::milliseconds sampled_at{};
  };

  std::vector<LoadReport> Reports(std::chrono::milliseconds now) const;

  /** @return Up to `count` reports, sorted by `less`. */
  template <class Less>
  std::vector<LoadReport> FirstSortedBy(std::size_t count,
                                        std::chrono::milliseconds now,
                                        Less less) const;

  std::chrono::milliseconds max_age;
  std::map<EndpointId, Entry> entries;
};

/**
 * Maximum number of calls at an endpoint, including the new one.
 * @param mean Mean load, including the new call.
 * @param multiple_percent Configured multiple of the mean, in percent.
 * @return max(1, ceil(multiple x mean)).
 */
std::int64_t MaxLoad(double mean, std::int64_t multiple_percent);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_LOAD_VIEW_H_
