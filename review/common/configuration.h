/** @file configuration.h The operator's configuration, as the store holds it.
 */

#ifndef REVIEW_COMMON_CONFIGURATION_H_
#define REVIEW_COMMON_CONFIGURATION_H_

#include <string>
#include <vector>

namespace review {

inline constexpr const char* kConfigurationKey = "op/config";

struct RouteText {
  std::string prefix;
  std::string kind;  ///< idempotent, non_idempotent or streaming
  std::string service;
  int timeout_ms = 1200;
  int target_ms = 150;
  int priority = 2;
  int max_attempts = 1;
  bool may_resume = false;
};

struct TenantText {
  std::string name;
  std::vector<std::string> keys;
};

struct ConfigurationText {
  int version = 1;
  std::vector<RouteText> routes;
  std::vector<std::string> services;
  std::vector<TenantText> tenants = {{"tenant-a", {"key-a"}}};

  /** @return The JSON value of the store's item. */
  std::string Json() const;
};

}  // namespace review

#endif  // REVIEW_COMMON_CONFIGURATION_H_
