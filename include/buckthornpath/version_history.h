/** @file version_history.h Software versions that have served each service. */

#ifndef BUCKTHORNPATH_VERSION_HISTORY_H_
#define BUCKTHORNPATH_VERSION_HISTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/**
 * Remembers which software versions the endpoints of each service have had
 * while this process has followed the published entries without a gap. A stream
 * of which no record is left was begun by the only version that has served for
 * longer than a stream may last. Does no I/O. Not thread-safe.
 */
class VersionHistory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Time without confirmation of the entries after which some may have come
   * and gone unseen. */
  static constexpr std::chrono::milliseconds kMaxUnconfirmed{2500};

  /** Records that the entries are known to be current. */
  void RecordConfirmation(TimePoint now) { this->RecordConfirmation(now, now); }

  /** @param as_of Time at which the entries that are known were current: not
   * when that was read, as word of it may have been held back. */
  void RecordConfirmation(TimePoint now, TimePoint as_of);

  /** @return True if all entries of a time are known. */
  bool IsCurrentAsOf(TimePoint time) const {
    return this->current_as_of && *this->current_as_of >= time;
  }

  /** Records that entries may have come and gone unseen. */
  void RecordGap(TimePoint now) { this->known_since = now; }

  /** @param version Empty if the entry states none. */
  void RecordPublished(const EndpointId& endpoint,
                       const ServiceName& service,
                       const std::string& version,
                       TimePoint now);
  void RecordWithdrawn(const EndpointId& endpoint, TimePoint now);

  /** Records that a version has served until now, or may have, at an endpoint
   * that is not known. */
  void RecordServed(const ServiceName& service,
                    const std::string& version,
                    TimePoint now) {
    this->RecordEnd({service, version}, now);
  }

  /** @return The version of all endpoints that the service has had for this
   * time; nothing if there were several or none, if one stated no version, or
   * if the time is not known in full. */
  std::optional<std::string> SoleVersion(const ServiceName& service,
                                         std::chrono::milliseconds time,
                                         TimePoint now) const;

  /** @return When SoleVersion() proves the present version of a service if
   * nothing changes; nothing if it has several or none, or an unknown one. */
  std::optional<TimePoint> ProofDue(const ServiceName& service,
                                    std::chrono::milliseconds time) const;

 private:
  struct Served {
    ServiceName service;
    std::string version;

    auto operator<=>(const Served&) const = default;
  };

  void RecordEnd(const Served& served, TimePoint now);

  std::map<EndpointId, Served> current;
  std::map<Served, TimePoint> ended_at;  ///< The last endpoint of each.
  std::optional<TimePoint> known_since;
  std::optional<TimePoint> confirmed_at;
  std::optional<TimePoint> current_as_of;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_VERSION_HISTORY_H_
