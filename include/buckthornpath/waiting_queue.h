/** @file waiting_queue.h Requests waiting for capacity of a service. */

#ifndef BUCKTHORNPATH_WAITING_QUEUE_H_
#define BUCKTHORNPATH_WAITING_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Identifies one waiting request of a queue. */
enum class WaitTicket : std::uint64_t {};

/** Properties of a waiting request that decide its place. */
struct WaitingRequest {
  using TimePoint = std::chrono::steady_clock::time_point;

  int priority = 0;  ///< 0 is the most urgent.
  OrganisationId organisation;
  TimePoint target_start;  ///< A later start misses the target latency.
  TimePoint last_start;    ///< A later start misses the deadline.
};

/**
 * Orders waiting requests and estimates their waiting time. Handles a burst
 * beyond the capacity of a service, in which one organisation may send many
 * times its usual. Strict priorities; within a priority, requests that can
 * still meet their target latency come before those that can't any more, then
 * organisations take turns (start-time fair queueing with equal weights), and
 * the requests of one organisation are in the order of their latest start. The
 * estimate lets the caller reject at once a request that would wait too long.
 * An organisation is remembered only while it is ahead of the others, so the
 * state is bounded. `now` is the caller's monotonic time. Not thread-safe.
 */
class WaitingQueue {
 public:
  using TimePoint = WaitingRequest::TimePoint;

  /** @return Estimated wait of a new request. */
  std::chrono::milliseconds EstimateWait(const WaitingRequest& request,
                                         TimePoint now) const;

  WaitTicket Add(WaitingRequest request);

  /** Removes a request that was admitted or cancelled. */
  void Remove(WaitTicket ticket);

  /** Charges an organisation for a request that starts, whether it has waited
   * or not. */
  void RecordStart(const OrganisationId& organisation);

  /** Records that a request has left the service and released capacity. */
  void RecordDeparture(TimePoint now);

  /** @return Waiting requests in the order of admission, `limit` at most. */
  std::vector<WaitTicket> Order(TimePoint now, std::size_t limit) const;

  /** @return Requests that, by the estimate, can't start in time any more,
   * although some of them could when they were added. */
  std::vector<WaitTicket> FindHopeless(TimePoint now) const;

  std::size_t Size() const { return this->waiting.size(); }

  /** @return Organisations that are remembered. */
  std::size_t OrganisationCount() const { return this->start_tags.size(); }

 private:
  /** Place of a request; the lowest is the first to start. */
  struct Place {
    int priority;
    bool misses_target;
    double start_tag;  ///< Virtual time at which its organisation is due.
    TimePoint latest_start;
    WaitTicket ticket;
    auto operator<=>(const Place&) const = default;
  };
  using WaitingRequests = std::map<WaitTicket, WaitingRequest>;

  /** @return The places of requests, in the order of admission. */
  std::vector<Place> PlacesOf(const WaitingRequests& requests,
                              TimePoint now) const;

  /** @return Departures per second, for the estimate of a wait. */
  double DepartureRate(TimePoint now) const;

  /** @return The virtual time at which an organisation is due. */
  double StartTag(const OrganisationId& organisation) const;

  /** Lets the virtual time catch up with half of the organisations. */
  void ForgetHalf();

  WaitingRequests waiting;
  std::uint64_t next_number = 1;
  /** Virtual time: the start tag of the request that started last. */
  double virtual_time = 0;
  /** Next start tags of organisations that are ahead of the virtual time. */
  std::unordered_map<OrganisationId, double> start_tags;
  TimePoint interval_start{};
  double departures = 0;       ///< Since `interval_start`.
  double rate_per_second = 0;  ///< Departures, moving average; 0: unknown.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_WAITING_QUEUE_H_
