/** @file waiting_line.h Requests that wait for room at a service. */

#ifndef BUCKTHORNPATH_WAITING_LINE_H_
#define BUCKTHORNPATH_WAITING_LINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthornpath {

/** Names one waiting request of a line. */
enum class WaitTicket : std::uint64_t {};

/**
 * Order of those who wait and a forecast of their wait. Answers a burst beyond
 * what a service can take: the most urgent go first, within a rank the oldest;
 * whoever would wait longer than its time allows is told at once. Not
 * thread-safe; every `now` is the owner's monotonic time.
 */
class WaitingLine {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /**
   * @return Time after which a newcomer of a rank would find room.
   */
  std::chrono::milliseconds Forecast(int priority, TimePoint now) const;

  /** Adds a request. @param priority 0 is the most urgent. */
  WaitTicket Add(int priority);

  /** Removes a request that found room or gave up. */
  void Remove(WaitTicket ticket);

  /** Notes that a request has left the service and made room. */
  void NoteDeparture(TimePoint now);

  /** @return All who wait, in the order in which they are to go. */
  std::vector<WaitTicket> Order() const;

  std::size_t Size() const { return this->waiting.size(); }

 private:
  struct Place {
    int priority;
    std::uint64_t number;
    auto operator<=>(const Place&) const = default;
  };

  std::map<Place, WaitTicket> waiting;
  std::map<WaitTicket, Place> places;
  std::uint64_t next_number = 1;
  TimePoint departures_since{};
  double departures = 0;  ///< Since then, decayed.
  double rate = 0;        ///< Departures a second, moving mean; 0: unknown.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_WAITING_LINE_H_
