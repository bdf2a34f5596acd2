/** @file endpoint_incarnations.h Whether a connection leads to the process that
 * an endpoint's entry describes. */

#ifndef BUCKTHORNPATH_ENDPOINT_INCARNATIONS_H_
#define BUCKTHORNPATH_ENDPOINT_INCARNATIONS_H_

#include <chrono>
#include <map>
#include <optional>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/**
 * An endpoint may start again under its id and address with another version of
 * its software, and its entry tells so only once it has been written and read.
 * A connection leads to the process of the known entry if that entry was still
 * current some time after the connection was opened. Where this is not known,
 * as the store can't be read, an endpoint counts as the one of its entry unless
 * it has refused a connection, as its process had ended. Does no I/O. Not
 * thread-safe.
 */
class EndpointIncarnations {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Time in which a process that accepts connections has written its entry. */
  static constexpr std::chrono::milliseconds kRegistrationTime{50};

  /** @return Time as of which entries must be current to confirm a connection
   * that was opened at another. */
  static TimePoint ConfirmedBy(TimePoint opened_at) {
    return opened_at + kRegistrationTime;
  }

  /** Records that the entries in force are those of a time. */
  void RecordCurrent(TimePoint as_of);

  /** @return True if the entries in force are those of a time, or later. */
  bool IsCurrentAsOf(TimePoint time) const {
    return this->current_as_of && *this->current_as_of >= time;
  }

  /** @return True if a connection that was opened at a time leads to the
   * process of the known entry. */
  bool IsConfirmed(TimePoint opened_at) const {
    return this->IsCurrentAsOf(ConfirmedBy(opened_at));
  }

  /** Records that an endpoint has refused a connection: nothing listens at its
   * address. A connection that breaks shows no such thing. */
  void RecordEnd(const EndpointId& endpoint, TimePoint now);

  /** Records that an endpoint has gone, or that its new process is known. */
  void Forget(const EndpointId& endpoint) { this->ended_at.erase(endpoint); }

  /** @return True if the endpoint's process may have ended, and no connection
   * opened since then is confirmed. */
  bool MayHaveEnded(const EndpointId& endpoint) const {
    return this->ended_at.contains(endpoint);
  }

  /** @return True if another process may answer on a connection than the one of
   * the endpoint's entry. */
  bool MayBeAnother(const EndpointId& endpoint, TimePoint opened_at);

 private:
  std::optional<TimePoint> current_as_of;
  /** Last sign of the end of the processes of known endpoints. */
  std::map<EndpointId, TimePoint> ended_at;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ENDPOINT_INCARNATIONS_H_
