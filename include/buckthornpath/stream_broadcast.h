/** @file stream_broadcast.h Records of streams that all known gateways are
 * told.
 */

#ifndef BUCKTHORNPATH_STREAM_BROADCAST_H_
#define BUCKTHORNPATH_STREAM_BROADCAST_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "buckthornpath/stream_origins.h"

namespace buckthornpath {

/**
 * Decides when records of streams are sent to gateways that are no witnesses,
 * so that the streams can go on after their gateway and all of its witnesses
 * have died. The records of an interval leave together. The interval grows with
 * the receivers and the records of a round are bounded, which bounds the rate
 * of datagrams and of bytes. Does no I/O. Not thread-safe.
 */
class StreamBroadcast {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Time between rounds: this for each receiver, within the limits. */
  static constexpr std::chrono::milliseconds kIntervalPerReceiver{25};
  static constexpr std::chrono::milliseconds kMinInterval{50};
  static constexpr std::chrono::milliseconds kMaxInterval{1000};

  /** Limit of the records of a round. */
  static constexpr std::size_t kMaxPerRound = 128;

  /** Limit of the records that wait for a round; the oldest are left out. */
  static constexpr std::size_t kMaxWaiting = 1024;

  /** Sets the number of receivers of a round. */
  void SetReceivers(std::size_t count);

  /** @return Time between rounds. */
  std::chrono::milliseconds Interval() const { return this->interval; }

  /** Adds records that are not due before an interval has passed. */
  void Add(const std::vector<StreamRecord>& records, TimePoint now);

  /** @return Time of the next round; nothing if there is nothing to send. */
  std::optional<TimePoint> NextAt() const;

  /** @return Records to send now; none before the time of the next round. */
  std::vector<StreamRecord> TakeRound(TimePoint now);

 private:
  std::chrono::milliseconds interval = kMinInterval;
  std::deque<StreamRecord> waiting;
  TimePoint round_at{};  ///< Start of the present interval.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_STREAM_BROADCAST_H_
