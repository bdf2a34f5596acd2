/** @file endpoint_loads.cc A router's estimates of the endpoints' loads. */

#include "router/endpoint_loads.h"

#include <algorithm>

namespace buckthornpath {

namespace {

std::chrono::milliseconds SinceEpoch(EndpointLoads::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
}

}  // namespace

void EndpointLoads::RecordReport(const EndpointId& endpoint,
                                 std::int64_t load,
                                 TimePoint now) {
  const OrderedLock lock(this->mutex);
  this->reports.Update({endpoint, load, std::chrono::milliseconds(0)},
                       SinceEpoch(now));
  OwnCalls& calls = this->own[endpoint];
  calls.at_report = calls.now;
}

void EndpointLoads::RecordStart(const EndpointId& endpoint) {
  const OrderedLock lock(this->mutex);
  ++this->own[endpoint].now;
}

void EndpointLoads::RecordEnd(const EndpointId& endpoint) {
  const OrderedLock lock(this->mutex);
  --this->own[endpoint].now;
}

std::optional<double> EndpointLoads::EstimatedLoad(const EndpointId& endpoint,
                                                   TimePoint now) const {
  const OrderedLock lock(this->mutex);
  const auto report = this->reports.Find(endpoint, SinceEpoch(now));
  if (!report)
    return std::nullopt;
  const auto found = this->own.find(endpoint);
  const OwnCalls calls = found == this->own.end() ? OwnCalls{} : found->second;
  const std::int64_t since = calls.now - calls.at_report;
  return static_cast<double>(
      std::max({report->load + since, calls.now, std::int64_t{0}}));
}

std::int64_t EndpointLoads::OwnCallCount(const EndpointId& endpoint) const {
  const OrderedLock lock(this->mutex);
  const auto found = this->own.find(endpoint);
  return found == this->own.end() ? 0 : found->second.now;
}

}  // namespace buckthornpath
