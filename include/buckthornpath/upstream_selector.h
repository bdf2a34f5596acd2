/** @file upstream_selector.h Where a gateway reads published items. */

#ifndef BUCKTHORNPATH_UPSTREAM_SELECTOR_H_
#define BUCKTHORNPATH_UPSTREAM_SELECTOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornpath {

/**
 * Decides whether a gateway reads the platform's store itself or follows a hub
 * that reads it. Keeps the number of readers of the store constant as the fleet
 * grows. A gateway whose hubs are dead, silent or cut off from the store reads
 * for itself; gateways that lose a hub at the same moment start to read at
 * different times. Does no I/O. Not thread-safe.
 */
class UpstreamSelector {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /**
   * @param spread Value from 0 to 1 that differs between gateways; spreads
   * them over the hubs and in time.
   */
  explicit UpstreamSelector(double spread) : spread(spread) {}

  /** @return The hub to follow; nothing if all have failed recently. */
  std::optional<std::string> ChooseHub(const std::vector<std::string>& hubs,
                                       TimePoint now) const;

  /** Records that a hub confirmed its items as current. */
  void RecordFresh(const std::string& hub, TimePoint now);

  /** Records that a hub failed, or that it cannot read the store itself. */
  void RecordFault(const std::string& hub, TimePoint now);

  /** @return True if a gateway that is not a hub must read the store. */
  bool MustReadStore(TimePoint now) const;

  /** Sets how long MustReadStore() waits for a hub at the start. */
  void ExpectHub(TimePoint until) { this->expected_until = until; }

 private:
  struct Backoff {
    std::chrono::milliseconds time{};
    TimePoint until{};
  };

  double spread;
  std::map<std::string, Backoff> backoffs;
  std::optional<TimePoint> fresh_at;
  std::optional<TimePoint> lost_at;  ///< First fault since `fresh_at`.
  TimePoint expected_until{};
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_UPSTREAM_SELECTOR_H_
