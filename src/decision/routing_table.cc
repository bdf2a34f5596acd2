/** @file routing_table.cc Lookups in one configuration. */

#include "buckthornpath/routing_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornpath {

const ServiceName& Route::ServiceFor(std::uint64_t hash) const {
  double total = 0;
  for (const RouteShare& share : this->shares)
    total += share.weight;
  constexpr double kHashRange = 18446744073709551616.0;  // 2 to the 64th.
  double point = static_cast<double>(hash) / kHashRange * total;
  for (const RouteShare& share : this->shares) {
    point -= share.weight;
    if (point < 0)
      return share.service;
  }
  return this->shares.back().service;
}

bool Route::Uses(const ServiceName& service) const {
  return std::any_of(
      this->shares.begin(), this->shares.end(),
      [&](const RouteShare& share) { return share.service == service; });
}

RoutingTable::RoutingTable(Parts parts) : parts(std::move(parts)) {
  for (std::size_t i = 0; i < this->parts.routes.size(); ++i) {
    const Route& route = this->parts.routes[i];
    this->hosts[route.host][route.prefix] = i;
  }
}

const Route* RoutingTable::Match(std::string_view host,
                                 std::string_view path) const {
  const auto routes = this->hosts.find(std::string(host));
  if (routes == this->hosts.end())
    return nullptr;
  // Prefixes end with a slash, so only the parts of the path that end with one
  // can match.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
        routes->second.find(std::string(path.substr(0, end + 1)));
    if (found != routes->second.end())
      return &this->parts.routes[found->second];
    if (end == 0)
      break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const Organisation* RoutingTable::FindByApiKey(std::string_view key) const {
  const auto found = this->parts.keys.find(std::string(key));
  return found == this->parts.keys.end()
             ? nullptr
             : &this->parts.organisations[found->second];
}

const ServiceConfig* RoutingTable::FindService(const ServiceName& name) const {
  for (const ServiceConfig& service : this->parts.services) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

}  // namespace buckthornpath
