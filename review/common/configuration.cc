/** @file configuration.cc The operator's configuration, as the store holds it.
 */

#include "configuration.h"

namespace review {

namespace {

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string List(const std::vector<std::string>& entries) {
  std::string text;
  for (const std::string& entry : entries)
    text += (text.empty() ? "" : ",") + entry;
  return "[" + text + "]";
}

std::string RouteJson(const RouteText& route) {
  return "{\"name\":" + Quoted("route" + route.prefix) +
         ",\"host\":\"h.example\",\"prefix\":" + Quoted(route.prefix) +
         ",\"kind\":" + Quoted(route.kind) +
         ",\"service\":" + Quoted(route.service) +
         ",\"timeoutMs\":" + std::to_string(route.timeout_ms) +
         ",\"targetLatencyMs\":" + std::to_string(route.target_ms) +
         ",\"priority\":" + std::to_string(route.priority) +
         ",\"maxAttempts\":" + std::to_string(route.max_attempts) +
         ",\"authExempt\":false,\"gapTargetMs\":300,\"streamResume\":" +
         (route.may_resume ? "true" : "false") + "}";
}

std::string TenantJson(const TenantText& tenant) {
  std::vector<std::string> keys;
  for (const std::string& key : tenant.keys)
    keys.push_back(Quoted(key));
  return "{\"name\":" + Quoted(tenant.name) + ",\"apiKeys\":" + List(keys) +
         "}";
}

}  // namespace

std::string ConfigurationText::Json() const {
  std::vector<std::string> route_list;
  for (const RouteText& route : this->routes)
    route_list.push_back(RouteJson(route));
  std::vector<std::string> service_list;
  for (const std::string& service : this->services)
    service_list.push_back("{\"name\":" + Quoted(service) +
                           ",\"maxConns\":100}");
  std::vector<std::string> tenant_list;
  for (const TenantText& tenant : this->tenants)
    tenant_list.push_back(TenantJson(tenant));
  return "{\"version\":" + std::to_string(this->version) +
         ",\"routes\":" + List(route_list) +
         ",\"services\":" + List(service_list) +
         ",\"tenants\":" + List(tenant_list) +
         ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

}  // namespace review
