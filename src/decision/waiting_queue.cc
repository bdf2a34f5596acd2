/** @file waiting_queue.cc Requests waiting for capacity of a service. */

#include "buckthornpath/waiting_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

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

/** Organisations that are remembered; beyond, the half that is least ahead is
 * forgotten. */
constexpr std::size_t kMaxOrganisations = 256;

constexpr double kMillisecondsPerSecond = 1000.0;

double ToSeconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

/** @return Time until the request behind `ahead` others starts. */
milliseconds WaitAt(std::ptrdiff_t ahead, double rate_per_second) {
  return milliseconds(static_cast<std::int64_t>(
      std::ceil(kMillisecondsPerSecond * static_cast<double>(ahead + 1) /
                rate_per_second)));
}

}  // namespace

double WaitingQueue::DepartureRate(TimePoint now) const {
  double rate =
      this->rate_per_second > 0 ? this->rate_per_second : kDefaultRatePerSecond;
  // An old rate is unreliable: the time without samples sets an upper limit.
  const double seconds_without_sample = ToSeconds(now - this->interval_start);
  if (this->rate_per_second > 0 && seconds_without_sample > 1.0)
    rate = std::min(rate, (this->departures + 1.0) / seconds_without_sample);
  return std::max(rate, kMinRatePerSecond);
}

milliseconds WaitingQueue::EstimateWait(const WaitingRequest& request,
                                        TimePoint now) const {
  WaitingRequests requests = this->waiting;
  const WaitTicket ticket{this->next_number};
  requests.emplace(ticket, request);
  const std::vector<Place> places = this->PlacesOf(requests, now);
  const auto own =
      std::find_if(places.begin(), places.end(),
                   [&](const Place& place) { return place.ticket == ticket; });
  return WaitAt(own - places.begin(), this->DepartureRate(now));
}

std::vector<WaitTicket> WaitingQueue::FindHopeless(TimePoint now) const {
  std::vector<WaitTicket> hopeless;
  const double rate = this->DepartureRate(now);
  std::ptrdiff_t ahead = 0;
  for (const Place& place : this->PlacesOf(this->waiting, now)) {
    if (now + WaitAt(ahead, rate) > this->waiting.at(place.ticket).last_start)
      hopeless.push_back(place.ticket);
    else
      ++ahead;
  }
  return hopeless;
}

WaitTicket WaitingQueue::Add(WaitingRequest request) {
  const WaitTicket ticket{this->next_number};
  ++this->next_number;
  this->waiting.emplace(ticket, std::move(request));
  return ticket;
}

void WaitingQueue::Remove(WaitTicket ticket) {
  this->waiting.erase(ticket);
}

double WaitingQueue::StartTag(const OrganisationId& organisation) const {
  const auto found = this->start_tags.find(organisation);
  return found == this->start_tags.end()
             ? this->virtual_time
             : std::max(this->virtual_time, found->second);
}

void WaitingQueue::RecordStart(const OrganisationId& organisation) {
  this->virtual_time = this->StartTag(organisation);
  this->start_tags[organisation] = this->virtual_time + 1.0;
  if (this->start_tags.size() > kMaxOrganisations)
    this->ForgetHalf();
}

void WaitingQueue::ForgetHalf() {
  std::vector<double> tags;
  tags.reserve(this->start_tags.size());
  for (const auto& [organisation, tag] : this->start_tags)
    tags.push_back(tag);
  const auto median =
      tags.begin() + static_cast<std::ptrdiff_t>(tags.size() / 2);
  std::nth_element(tags.begin(), median, tags.end());
  this->virtual_time = std::max(this->virtual_time, *median);
  std::erase_if(this->start_tags, [this](const auto& entry) {
    return entry.second <= this->virtual_time;
  });
}

std::vector<WaitingQueue::Place> WaitingQueue::PlacesOf(
    const WaitingRequests& requests,
    TimePoint now) const {
  std::vector<Place> places;
  places.reserve(requests.size());
  for (const auto& [ticket, request] : requests) {
    const bool misses_target = now > request.target_start;
    places.push_back({request.priority, misses_target, 0,
                      misses_target ? request.last_start : request.target_start,
                      ticket});
  }
  // First without tags: the order in which an organisation's own requests
  // start. Each is due one turn after the one before.
  std::sort(places.begin(), places.end());
  std::unordered_map<OrganisationId, double> next_tags;
  for (Place& place : places) {
    const OrganisationId& organisation = requests.at(place.ticket).organisation;
    const auto [tag, is_first] =
        next_tags.try_emplace(organisation, this->StartTag(organisation));
    place.start_tag = tag->second;
    tag->second += 1.0;
  }
  std::sort(places.begin(), places.end());
  return places;
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

std::vector<WaitTicket> WaitingQueue::Order(TimePoint now,
                                            std::size_t limit) const {
  std::vector<WaitTicket> order;
  for (const Place& place : this->PlacesOf(this->waiting, now)) {
    if (order.size() >= limit)
      break;
    order.push_back(place.ticket);
  }
  return order;
}

}  // namespace buckthornpath
