/** @file endpoint_loads.cc What a router believes of the endpoints' loads. */

#include "router/endpoint_loads.h"

#include <algorithm>

namespace buckthornpath {

void EndpointLoads::NoteReport(const EndpointId& endpoint,
                               std::int64_t load,
                               TimePoint now) {
  const OrderedLock lock(this->mutex);
  Entry& entry = this->entries[endpoint];
  entry.reported = load;
  entry.reported_at = now;
  entry.own_at_report = entry.own;
}

void EndpointLoads::NoteStart(const EndpointId& endpoint) {
  const OrderedLock lock(this->mutex);
  ++this->entries[endpoint].own;
}

void EndpointLoads::NoteEnd(const EndpointId& endpoint) {
  const OrderedLock lock(this->mutex);
  --this->entries[endpoint].own;
}

std::optional<double> EndpointLoads::Believed(const EndpointId& endpoint,
                                              TimePoint now) const {
  const OrderedLock lock(this->mutex);
  const auto found = this->entries.find(endpoint);
  if (found == this->entries.end())
    return std::nullopt;
  const Entry& entry = found->second;
  if (now - entry.reported_at > this->maximum_age)
    return std::nullopt;
  const std::int64_t since = entry.own - entry.own_at_report;
  return static_cast<double>(
      std::max({entry.reported + since, entry.own, std::int64_t{0}}));
}

std::int64_t EndpointLoads::Own(const EndpointId& endpoint) const {
  const OrderedLock lock(this->mutex);
  const auto found = this->entries.find(endpoint);
  return found == this->entries.end() ? 0 : found->second.own;
}

}  // namespace buckthornpath
