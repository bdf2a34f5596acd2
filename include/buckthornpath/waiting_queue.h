/** @file waiting_queue.h Requests waiting for capacity of a service. */

#ifndef BUCKTHORNPATH_WAITING_QUEUE_H_
#define BUCKTHORNPATH_WAITING_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthornpath {

/** Identifies one waiting request of a queue. */
enum class WaitTicket : std::uint64_t {};

/**
 * Orders waiting requests by priority, then by arrival, and estimates their
 * waiting time. In a burst beyond the capacity of a service this lets the
 * caller reject at once a request that would wait past its deadline. `now` is
 * the caller's monotonic time. Not thread-safe.
 */
class WaitingQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @return Estimated wait of a new request with this priority. */
  std::chrono::milliseconds EstimateWait(int priority, TimePoint now) const;

  /** Adds a request. @param priority 0 is the most urgent. */
  WaitTicket Add(int priority);

  /** Removes a request that was admitted or cancelled. */
  void Remove(WaitTicket ticket);

  /** Records that a request has left the service and released capacity. */
  void RecordDeparture(TimePoint now);

  /** @return All waiting requests, in the order of admission. */
  std::vector<WaitTicket> Order() const;

  std::size_t Size() const { return this->waiting.size(); }

 private:
  struct Position {
    int priority;
    std::uint64_t number;
    auto operator<=>(const Position&) const = default;
  };

  std::map<Position, WaitTicket> waiting;
  std::map<WaitTicket, Position> positions;
  std::uint64_t next_number = 1;
  TimePoint interval_start{};
  double departures = 0;       ///< Since `interval_start`.
  double rate_per_second = 0;  ///< Departures, moving average; 0: unknown.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_WAITING_QUEUE_H_
