/** @file waiting_line.cc Order and forecast of those who wait. */

#include "buckthornpath/waiting_line.h"

#include <algorithm>
#include <cmath>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Span over which departures are counted before the rate is renewed. */
constexpr milliseconds kRateSpan{250};

/** Weight of the newest span in the rate. */
constexpr double kRateWeight = 0.4;

/** Departures a second that are assumed before any were counted. */
constexpr double kUnknownRate = 20.0;

/** Slowest rate that is believed; bounds the forecast. */
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
  // A rate from long ago says little; silence since then lowers it.
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
  // After a pause the first departure says nothing of the rate.
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
