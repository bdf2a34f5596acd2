/** @file stream_outbox.h Records of streams that other gateways are told. */

#ifndef BUCKTHORNPATH_STREAM_OUTBOX_H_
#define BUCKTHORNPATH_STREAM_OUTBOX_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "buckthornpath/stream_origins.h"

namespace buckthornpath {

/**
 * Decides when records of new streams are sent. The first one leaves at once,
 * those that follow it in a short time leave together. Each is sent in two
 * rounds, as datagrams get lost. Does no I/O. Not thread-safe.
 */
class StreamOutbox {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Time between rounds. */
  static constexpr std::chrono::milliseconds kMinInterval{5};

  /** Time after which a record is sent again, and that after which it waits for
   * a round with new ones no longer. */
  static constexpr std::chrono::milliseconds kMinRepeatDelay{20};
  static constexpr std::chrono::milliseconds kMaxRepeatDelay{60};

  /** Limit of the new records of a round, and of the repeated ones. */
  static constexpr std::size_t kMaxPerRound = 128;

  /** Limit of the records that wait for a round; the oldest are left out. */
  static constexpr std::size_t kMaxWaiting = 1024;

  void Add(const std::vector<StreamRecord>& records);

  /** @return Time of the next round; nothing if there is nothing to send. */
  std::optional<TimePoint> NextAt() const;

  /** @return Records to send now; none before the time of the next round. */
  std::vector<StreamRecord> TakeRound(TimePoint now);

 private:
  /** A record that was sent once. */
  struct SentRecord {
    TimePoint sent_at{};
    StreamRecord record;
  };

  std::deque<StreamRecord> waiting;
  std::deque<SentRecord> sent_once;
  TimePoint round_at{};
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_STREAM_OUTBOX_H_
