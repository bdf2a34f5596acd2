/** @file waiting_queue.cc Requests waiting for capacity of a service. */

#include "buckthornpath/waiting_queue.h"

#include <algorithm>
#include <cmath>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Minimum interval over which the departure rate is sampled. */
constexpr milliseconds kRateInterval{250};

/** Smoothing factor of the departure rate, per interval. */
constexpr double kRateSmoothing = 0.4;

/** Departures per second, assumed before the first sample. */
constexpr double kDefaultRatePerSecond = 20.0;

/** Minimum departures per second; limits the estimated wait. */
constexpr double kMinRatePerSecond = 0.2;

constexpr double kMillisecondsPerSecond = 1000.0;

double ToSeconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

milliseconds WaitingQueue::EstimateWait(int priority, TimePoint now) const {
  std::size_t ahead = 0;
  for (const auto& [position, ticket] : this->waiting) {
    if (position.priority > priority)
      break;
    ++ahead;
  }
  double departure_rate =
      this->rate_per_second > 0 ? this->rate_per_second : kDefaultRatePerSecond;
  // An old rate is unreliable: the time without samples sets an upper limit.
  const double seconds_without_sample = ToSeconds(now - this->interval_start);
  if (this->rate_per_second > 0 && seconds_without_sample > 1.0)
    departure_rate = std::min(
        departure_rate, (this->departures + 1.0) / seconds_without_sample);
  departure_rate = std::max(departure_rate, kMinRatePerSecond);
  return milliseconds(static_cast<std::int64_t>(
      std::ceil(kMillisecondsPerSecond * static_cast<double>(ahead + 1) /
                departure_rate)));
}

WaitTicket WaitingQueue::Add(int priority) {
  const WaitTicket ticket{this->next_number};
  const Position position{priority, this->next_number};
  ++this->next_number;
  this->waiting.emplace(position, ticket);
  this->positions.emplace(ticket, position);
  return ticket;
}

void WaitingQueue::Remove(WaitTicket ticket) {
  const auto found = this->positions.find(ticket);
  if (found == this->positions.end())
    return;
  this->waiting.erase(found->second);
  this->positions.erase(found);
}

void WaitingQueue::RecordDeparture(TimePoint now) {
  ++this->departures;
  const auto interval = now - this->interval_start;
  if (interval < kRateInterval)
    return;
  // The first departure ever starts the first interval and gives no sample.
  const double sample =
      this->departures /
      ToSeconds(std::max<decltype(interval)>(interval, kRateInterval));
  if (this->interval_start != TimePoint{}) {
    this->rate_per_second =
        this->rate_per_second > 0
            ? this->rate_per_second +
                  kRateSmoothing * (sample - this->rate_per_second)
            : sample;
  }
  this->interval_start = now;
  this->departures = 0;
}

std::vector<WaitTicket> WaitingQueue::Order() const {
  std::vector<WaitTicket> order;
  order.reserve(this->waiting.size());
  for (const auto& [position, ticket] : this->waiting)
    order.push_back(ticket);
  return order;
}

}  // namespace buckthornpath
