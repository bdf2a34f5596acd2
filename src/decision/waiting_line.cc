/** @file waiting_line.cc Requests waiting for capacity of a service. */

#include "buckthornpath/waiting_line.h"

#include <algorithm>
#include <cmath>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Minimum interval over which the departure rate is sampled. */
constexpr milliseconds kRateSpan{250};

/** Smoothing factor of the departure rate, per interval. */
constexpr double kRateWeight = 0.4;

/** Departures per second, assumed before the first sample. */
constexpr double kUnknownRate = 20.0;

/** Minimum departures per second; limits the estimated wait. */
constexpr double kLeastRate = 0.2;

constexpr double kMillisecondsPerSecond = 1000.0;

double Seconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

milliseconds WaitingLine::Forecast(int priority, TimePoint now) const {
  std::size_t ahead = 0;
  for (const auto& [place, ticket] : this->waiting) {
    if (place.priority > priority)
      break;
    ++ahead;
  }
  double known = this->rate > 0 ? this->rate : kUnknownRate;
  // An old rate is unreliable: the time without samples sets an upper limit.
  const double silence = Seconds(now - this->departures_since);
  if (this->rate > 0 && silence > 1.0)
    known = std::min(known, (this->departures + 1.0) / silence);
  known = std::max(known, kLeastRate);
  return milliseconds(static_cast<std::int64_t>(std::ceil(
      kMillisecondsPerSecond * static_cast<double>(ahead + 1) / known)));
}

WaitTicket WaitingLine::Add(int priority) {
  const WaitTicket ticket{this->next_number};
  const Place place{priority, this->next_number};
  ++this->next_number;
  this->waiting.emplace(place, ticket);
  this->places.emplace(ticket, place);
  return ticket;
}

void WaitingLine::Remove(WaitTicket ticket) {
  const auto found = this->places.find(ticket);
  if (found == this->places.end())
    return;
  this->waiting.erase(found->second);
  this->places.erase(found);
}

void WaitingLine::NoteDeparture(TimePoint now) {
  ++this->departures;
  const auto span = now - this->departures_since;
  if (span < kRateSpan)
    return;
  // The first departure ever starts the first interval and gives no sample.
  const double seen =
      this->departures / Seconds(std::max<decltype(span)>(span, kRateSpan));
  if (this->departures_since != TimePoint{}) {
    this->rate =
        this->rate > 0 ? this->rate + kRateWeight * (seen - this->rate) : seen;
  }
  this->departures_since = now;
  this->departures = 0;
}

std::vector<WaitTicket> WaitingLine::Order() const {
  std::vector<WaitTicket> order;
  order.reserve(this->waiting.size());
  for (const auto& [place, ticket] : this->waiting)
    order.push_back(ticket);
  return order;
}

}  // namespace buckthornpath
