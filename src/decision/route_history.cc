/** @file route_history.cc What routes have allowed in the past. */

#include "buckthornpath/route_history.h"

#include <algorithm>

namespace buckthornpath {

namespace {

/** Time after which nobody takes up a stream of a route that was dropped. */
constexpr std::chrono::hours kMaxAge{1};

}  // namespace

void RouteHistory::Record(const RoutingTable& table, TimePoint now) {
  for (const Route& route : table.Routes()) {
    const auto [known, is_new] = this->routes.try_emplace(KeyOf(route));
    Past& past = known->second;
    past.longest_limit = std::max(past.longest_limit, route.timeout);
    std::optional<ServiceName> service;
    if (route.shares.size() == 1)
      service = route.shares.front().service;
    if (is_new || past.service != service) {
      past.service = service;
      past.since = now;
    }
    past.in_force_at = now;
  }
  std::erase_if(this->routes, [now](const auto& entry) {
    return now - entry.second.in_force_at > kMaxAge;
  });
}

std::chrono::milliseconds RouteHistory::LongestLimit(const Route& route) const {
  const auto known = this->routes.find(KeyOf(route));
  return known == this->routes.end()
             ? route.timeout
             : std::max(route.timeout, known->second.longest_limit);
}

bool RouteHistory::HasUsedOnly(const ServiceName& service,
                               const Route& route,
                               std::chrono::milliseconds time,
                               TimePoint now) const {
  const auto known = this->routes.find(KeyOf(route));
  return known != this->routes.end() && known->second.service == service &&
         now - known->second.since >= time;
}

}  // namespace buckthornpath
