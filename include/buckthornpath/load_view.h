/** @file load_view.h What a process believes of the load of endpoints. */

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

/** One endpoint's load as it was a while ago. */
struct LoadReport {
  EndpointId endpoint;
  std::int64_t load = 0;            ///< Calls running and queued.
  std::chrono::milliseconds age{};  ///< Time since the load was counted.
};

/** The mean load of a service as one process knows it. */
struct LoadMean {
  double mean = 0;
  std::size_t known = 0;               ///< Endpoints counted, own included.
  std::chrono::milliseconds oldest{};  ///< Age of the oldest report counted.
};

/**
 * Latest report of each endpoint, up to an age. Ages travel instead of times,
 * so processes need no common clock; a delay on the way makes a report look
 * younger by that delay. Every `now` is the owner's monotonic time.
 */
class LoadView {
 public:
  explicit LoadView(std::chrono::milliseconds max_age) : max_age(max_age) {}

  /** Takes a report unless a younger one of its endpoint is held. */
  void Update(const LoadReport& report, std::chrono::milliseconds now);

  /** Drops an endpoint that has left. */
  void Forget(const EndpointId& endpoint);

  /** @return The believed load of an endpoint, if it is not too old. */
  std::optional<LoadReport> Find(const EndpointId& endpoint,
                                 std::chrono::milliseconds now) const;

  /**
   * Mean over the endpoints heard of within the maximum age and the own one.
   * @param own The own endpoint; a report of it is not counted.
   * @param own_load Its exact load.
   */
  LoadMean MeanWith(const EndpointId& own,
                    std::int64_t own_load,
                    std::chrono::milliseconds now) const;

  /** @return Up to `count` reports, youngest first. */
  std::vector<LoadReport> Youngest(std::size_t count,
                                   std::chrono::milliseconds now) const;

  /** @return Up to `count` reports, least load first. */
  std::vector<LoadReport> LeastLoaded(std::size_t count,
                                      std::chrono::milliseconds now) const;

  /** Drops what is past the maximum age. */
  void Sweep(std::chrono::milliseconds now);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::int64_t load = 0;
    std::chrono::milliseconds counted_at{};
  };

  std::vector<LoadReport> Reports(std::chrono::milliseconds now) const;

  /** @return Up to `count` reports in an order. */
  template <class Less>
  std::vector<LoadReport> FirstBy(std::size_t count,
                                  std::chrono::milliseconds now,
                                  Less less) const;

  std::chrono::milliseconds max_age;
  std::map<EndpointId, Entry> entries;
};

/**
 * Most calls that an endpoint may hold, the new one included.
 * @param mean Mean load with the new call counted.
 * @param multiple_percent Published multiple of the mean.
 * @return max(1, ceil(multiple x mean)).
 */
std::int64_t LoadBound(double mean, std::int64_t multiple_percent);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_LOAD_VIEW_H_
