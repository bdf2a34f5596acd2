/** @file gateway_state.cc State shared by all requests of a gateway. */

#include "gateway/gateway_state.h"

#include <algorithm>
#include <vector>

namespace buckthornpath {

namespace {

/** Connection limit of an endpoint if the configuration states none. */
constexpr std::size_t kDefaultConnections = 64;

/** Part of an endpoint's connection limit that the known gateways may use
 * together; the rest is a reserve for gateways that are not yet known. */
constexpr double kConnectionShare = 0.85;

/** Part of the platform's retry ratio that is used. The rest allows for
 * requests that a process counts as first attempts but never sends. */
constexpr double kRetryShareUsed = 0.7;

constexpr double kPercent = 100.0;

/** Part of the retry burst allowance that all gateways together may spend. */
constexpr double kRetrySlackUsed = 0.5;

}  // namespace

GatewayState::GatewayState(const Settings& settings,
                           asio::any_io_executor executor)
    : settings(settings),
      executor(executor),
      adapter(PlatformAdapter::Linked()),
      board(FailureDomainId(settings.failure_domain), EndpointBoardLimits{}),
      connections(std::move(executor)) {}

ServiceLine& GatewayState::LineOf(const ServiceName& service) {
  ServiceLine& line = this->lines[service];
  if (!line.retries) {
    const double share =
        kRetryShareUsed *
        static_cast<double>(this->settings.retry_budget_percent) / kPercent;
    const double slack =
        kRetrySlackUsed * static_cast<double>(this->settings.retry_slack) /
        static_cast<double>(std::max<std::size_t>(this->gateways, 1));
    line.retries = std::make_unique<RetryBudget>(share, std::max(slack, 1.0));
  }
  return line;
}

bool GatewayState::HasConnectionFor(const EndpointBelief& endpoint) const {
  const EndpointId& id = endpoint.Entry().id;
  if (this->connections.HasIdle(id))
    return true;
  const ServiceRule* rule =
      this->table ? this->table->FindService(endpoint.Entry().service)
                  : nullptr;
  const std::size_t limit = rule != nullptr && rule->max_connections > 0
                                ? rule->max_connections
                                : kDefaultConnections;
  const auto share =
      static_cast<std::size_t>(kConnectionShare * static_cast<double>(limit) /
                               static_cast<double>(this->gateways));
  return this->connections.Open(id) < std::max<std::size_t>(share, 1);
}

void GatewayState::OfferRoom(const ServiceName& service) {
  const auto found = this->lines.find(service);
  if (found == this->lines.end())
    return;
  for (const WaitTicket ticket : found->second.line.Order()) {
    const auto waiter = found->second.wake.find(ticket);
    if (waiter == found->second.wake.end())
      continue;
    // A copy, as a handler that starts its request erases itself from the map.
    const std::function<bool()> wake = waiter->second;
    if (!wake())
      return;
  }
}

void GatewayState::SetGateways(std::size_t count) {
  if (count == this->gateways)
    return;
  this->gateways = count;
  // Each gateway's share of the retry burst allowance depends on the count.
  for (auto& [service, line] : this->lines)
    line.retries.reset();
}

void GatewayState::OfferRoomEverywhere() {
  std::vector<ServiceName> services;
  for (const auto& [service, line] : this->lines) {
    if (line.line.Size() > 0)
      services.push_back(service);
  }
  for (const ServiceName& service : services)
    this->OfferRoom(service);
}

}  // namespace buckthornpath
