/** @file evacuation.cc Begin and end of the evacuation of a failure domain. */

#include <algorithm>

#include "gateway/gateway_state.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

void CountEvacuated(const EndpointSelector& selector) {
  ProcessMetrics().Set(
      "evacuated_domains", "",
      static_cast<double>(selector.Evacuations().All().size()));
}

}  // namespace

void GatewayState::BeginEvacuation(const FailureDomainId& domain,
                                   const PublicationOrigin& origin) {
  if (!this->selector.BeginEvacuation(domain, Clock::now()))
    return;
  const auto& all = this->selector.All();
  const auto endpoints =
      std::count_if(all.begin(), all.end(), [&](const auto& entry) {
        return entry.second->Entry().failure_domain == domain;
      });
  LogLine(LogLevel::kWarning, "domain_evacuated",
          {{"domain", domain},
           {"endpoints", endpoints},
           {"source", origin.source},
           {"era", origin.revision.era},
           {"revision", origin.revision.number},
           {"published_age_ms", origin.age.count()}});
  ProcessMetrics().Add("domain_evacuations_total");
  CountEvacuated(this->selector);
  // Some services may have no endpoint left that is worth the wait.
  this->RecheckAllWaiting();
}

void GatewayState::EndEvacuation(const FailureDomainId& domain,
                                 const PublicationOrigin& origin) {
  const auto lasted = this->selector.EndEvacuation(domain, Clock::now());
  if (!lasted)
    return;
  LogLine(LogLevel::kNotice, "domain_restored",
          {{"domain", domain},
           {"evacuated_ms", lasted->count()},
           {"source", origin.source},
           {"era", origin.revision.era},
           {"revision", origin.revision.number},
           {"published_age_ms", origin.age.count()}});
  CountEvacuated(this->selector);
  // Its endpoints may have been replaced while nothing was sent to them.
  for (const auto& [id, endpoint] : this->selector.All()) {
    if (endpoint->Entry().failure_domain == domain)
      this->cold_starts.RecordPossibleRestart(*endpoint, Clock::now());
  }
  this->WakeAllWaiting();
}

}  // namespace buckthornpath
