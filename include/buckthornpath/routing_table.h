/** @file routing_table.h Routes, services and API keys of one configuration. */

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

#include "buckthornpath/cold_endpoint_limit.h"
#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Retry safety and response type of a route. */
enum class RouteKind {
  kIdempotent,  ///< May be executed any number of times.
  kAtMostOnce,  ///< May be executed at most once per request.
  kStream,      ///< Responds with an event stream; executed at most once.
};

/** Service and its share of a route's requests. */
struct RouteShare {
  ServiceName service;
  double weight = 1.0;  ///< Relative to the other shares of the route.
};

/** Route of a configuration. */
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kAtMostOnce;
  std::chrono::milliseconds timeout{};  ///< Deadline of the final response.
  std::chrono::milliseconds target_latency{};    ///< First event or response.
  std::chrono::milliseconds target_event_gap{};  ///< Between stream events.
  int priority = 0;                              ///< 0 is the most urgent.
  int max_attempts = 1;          ///< Maximum endpoints tried per request.
  bool requires_api_key = true;  ///< If false, the API key is ignored.
  bool resumable = false;        ///< A stream may resume at another endpoint.
  std::vector<RouteShare> shares;

  /** @return True if a request that may have been executed may be retried. */
  bool IsRetryable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  /**
   * @param hash Hash of the key that determines the service.
   * @return The service; hashes are distributed in proportion to the weights.
   */
  const ServiceName& ServiceFor(std::uint64_t hash) const;

  /** @return True if a part of the requests uses a service. */
  bool Uses(const ServiceName& service) const;
};

/** Configuration of a service. */
struct ServiceConfig {
  ServiceName name;
  std::size_t max_connections = 0;  ///< Per endpoint, from all VMs.
  ColdStartPolicy cold_start;
  /** Memory of each model engine, for running requests and cached prompts; 0
   * if unknown. */
  std::size_t engine_memory_tokens = 0;
};

/** Customer that owns API keys. */
struct Organisation {
  OrganisationId id;
  std::optional<int> priority;  ///< Overrides the route's priority.
};

/** Limits for caller connections. */
struct CallerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(3);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(15);
};

/** One version of the configuration, indexed for lookups. Immutable. */
class RoutingTable {
 public:
  /** Contents of a table; `keys` maps API keys to indices into
   * `organisations`. */
  struct Parts {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceConfig> services;
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

  /** @return The organisation that owns an API key, or null. */
  const Organisation* FindByApiKey(std::string_view key) const;

  /** @return The configuration of a service, or null. */
  const ServiceConfig* FindService(const ServiceName& name) const;

  const std::vector<ServiceConfig>& Services() const {
    return this->parts.services;
  }

  const std::vector<Route>& Routes() const { return this->parts.routes; }

  std::uint64_t Version() const { return this->parts.version; }
  bool RequiresApiKeys() const { return !this->parts.organisations.empty(); }
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
