/** @file model_order_schedule.cc Spreads the model loads of the replicas over
 * time. */

#include "endpoint/model_order_schedule.h"

#include <string>

#include "buckthornpath/rendezvous.h"

namespace buckthornpath {

std::chrono::milliseconds LoadDelay(const LoadRateLimit& rate_limit,
                                    const std::vector<EndpointId>& changed,
                                    const EndpointId& self,
                                    double jitter) {
  constexpr double kMillisecondsPerMinute = 60000;
  constexpr double kJitterFraction = 0.5;
  std::vector<RendezvousSite> sites;
  sites.reserve(changed.size());
  for (const EndpointId& id : changed)
    sites.push_back({id.str(), 1.0});
  const std::string key =
      std::to_string(static_cast<std::uint64_t>(rate_limit.revision));
  const double slot_ms =
      kMillisecondsPerMinute / static_cast<double>(rate_limit.loads_per_minute);
  double slot = 0;
  for (const std::size_t index : RendezvousOrder(key, sites)) {
    if (sites[index].name == self.str()) {
      return std::chrono::milliseconds(static_cast<std::int64_t>(
          (slot + jitter * kJitterFraction) * slot_ms));
    }
    ++slot;
  }
  return std::chrono::milliseconds(0);
}

}  // namespace buckthornpath
