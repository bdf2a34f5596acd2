/** @file configuration.h Configurations that the operator of a case writes. */

#ifndef REVIEW_COMMON_2_CONFIGURATION_H_
#define REVIEW_COMMON_2_CONFIGURATION_H_

#include <string>
#include <vector>

namespace review {

inline constexpr const char* kHost = "shop.example";
inline constexpr const char* kKey = "key-of-parish";

struct RoutePlan {
  std::string prefix;
  std::string kind;  ///< idempotent, non_idempotent or streaming.
  std::string service;
  int timeout_ms = 2500;
  int max_attempts = 1;
  bool resumes = false;
};

inline std::string RouteText(const RoutePlan& plan) {
  return R"({"name":")" + plan.prefix + R"(","host":")" + kHost +
         R"(","prefix":")" + plan.prefix + R"(","kind":")" + plan.kind +
         R"(","service":")" + plan.service + R"(","timeoutMs":)" +
         std::to_string(plan.timeout_ms) +
         R"(,"targetLatencyMs":400,"gapTargetMs":300,"priority":1,)" +
         R"("maxAttempts":)" + std::to_string(plan.max_attempts) +
         R"(,"streamResume":)" + (plan.resumes ? "true" : "false") + "}";
}

/** @param tenants JSON of the list. */
inline std::string Configuration(int version,
                                 const std::vector<RoutePlan>& routes,
                                 const std::string& tenants) {
  std::string list;
  for (const RoutePlan& route : routes)
    list += (list.empty() ? "" : ",") + RouteText(route);
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list +
         R"(],"services":[{"name":"ledger","slots":6,"maxConns":100},)" +
         R"({"name":"llm","slots":64,"maxConns":360}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)" +
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":)" +
         tenants + "}";
}

inline std::string ParishTenants() {
  return R"([{"name":"parish","priority":1,"apiKeys":[")" + std::string(kKey) +
         R"("]}])";
}

}  // namespace review

#endif  // REVIEW_COMMON_2_CONFIGURATION_H_
