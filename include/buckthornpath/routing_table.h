/** @file routing_table.h Which requests go to which services, and for whom. */

#ifndef BUCKTHORNPATH_ROUTING_TABLE_H_
#define BUCKTHORNPATH_ROUTING_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** What may be repeated, and how an answer arrives. */
enum class RouteKind {
  kIdempotent,  ///< May run any number of times.
  kOnce,        ///< May run at most once for each request.
  kStream,      ///< Answers with events; may run at most once as a whole.
};

/** A service and its share of a route's requests. */
struct RouteShare {
  ServiceName service;
  double weight = 1.0;  ///< Relative to the other shares of the route.
};

/** One route of the configuration in force. */
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kOnce;
  std::chrono::milliseconds timeout{};         ///< Final answer is due then.
  std::chrono::milliseconds target_latency{};  ///< Of the first event or all.
  std::chrono::milliseconds gap_target{};      ///< Longest pause of a stream.
  int priority = 0;                            ///< 0 is the most urgent.
  int max_attempts = 1;    ///< Most endpoints that one request is sent to.
  bool needs_key = true;   ///< False: the caller's key is not looked at.
  bool resumable = false;  ///< A stream may go on at another endpoint.
  std::vector<RouteShare> shares;

  /** @return True if a request that may have run may be sent again. */
  bool MayRepeat() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  /**
   * @param hash Hash of what should stay with one service.
   * @return The service that the hash selects in proportion to the weights.
   */
  const ServiceName& ServiceFor(std::uint64_t hash) const;
};

/** What the configuration says of a service. */
struct ServiceRule {
  ServiceName name;
  std::size_t max_connections = 0;  ///< Of one endpoint, from all VMs.
};

/** Customer that a key belongs to. */
struct Organisation {
  OrganisationId id;
  std::optional<int> priority;  ///< Goes before the route's priority.
};

/** Bounds on what callers send. */
struct CallerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(3);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(15);
};

/** One version of the configuration, indexed for lookups. Immutable. */
class RoutingTable {
 public:
  /** Parts of a table; keys map to indices of `organisations`. */
  struct Parts {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceRule> services;
    std::vector<Organisation> organisations;
    std::unordered_map<std::string, std::size_t> keys;
    CallerLimits limits;
  };

  explicit RoutingTable(Parts parts);

  /**
   * @param host Host of the request, without its port, in lower case.
   * @param path Path without the query.
   * @return The route with the longest prefix, or null.
   */
  const Route* Match(std::string_view host, std::string_view path) const;

  /** @return The organisation that holds a key, or null. */
  const Organisation* FindByKey(std::string_view key) const;

  /** @return The rule of a service, or null. */
  const ServiceRule* FindService(const ServiceName& name) const;

  std::uint64_t Version() const { return this->parts.version; }
  bool UsesKeys() const { return !this->parts.organisations.empty(); }
  const CallerLimits& Limits() const { return this->parts.limits; }
  std::size_t RouteCount() const { return this->parts.routes.size(); }

 private:
  Parts parts;
  /** Routes of each host by prefix; indices into `parts.routes`. */
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      hosts;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ROUTING_TABLE_H_
