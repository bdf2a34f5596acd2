/** @file route_history.h What routes have allowed in the past. */

#ifndef BUCKTHORNPATH_ROUTE_HISTORY_H_
#define BUCKTHORNPATH_ROUTE_HISTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "buckthornpath/routing_table.h"
#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/**
 * Remembers the limits and services of routes. A stream that a caller takes up
 * may have begun under an earlier configuration: with a longer limit, or at
 * another service. Does no I/O. Not thread-safe.
 */
class RouteHistory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Records the table that is in force from now on. */
  void Record(const RoutingTable& table, TimePoint now);

  /** @return The longest limit that a route of the table has had. */
  std::chrono::milliseconds LongestLimit(const Route& route) const;

  /** @return True if all requests of a route have used one service for a time.
   */
  bool HasUsedOnly(const ServiceName& service,
                   const Route& route,
                   std::chrono::milliseconds time,
                   TimePoint now) const;

 private:
  struct Past {
    std::chrono::milliseconds longest_limit{};
    std::optional<ServiceName> service;  ///< Empty if the route is split.
    TimePoint since{};                   ///< Of the service.
    TimePoint in_force_at{};             ///< Recorded last.
  };

  static std::string KeyOf(const Route& route) {
    return route.host + route.prefix;
  }

  std::map<std::string, Past> routes;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ROUTE_HISTORY_H_
