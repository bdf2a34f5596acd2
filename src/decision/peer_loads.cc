/** @file peer_loads.cc Sums of the loads that peers report. */

#include "buckthornpath/peer_loads.h"

#include <utility>

namespace buckthornpath {

PeerLoads::Changed PeerLoads::SetLoads(const std::string& peer,
                                       EndpointUsageMap uses) {
  Changed changed;
  EndpointUsageMap before;
  if (const auto report = this->reports.find(peer);
      report != this->reports.end()) {
    before = std::move(report->second);
  }
  for (const auto& [endpoint, use] : before) {
    EndpointUsage& sum = this->sums[endpoint];
    sum.requests -= use.requests;
    sum.prefill_tokens -= use.prefill_tokens;
    changed.push_back(endpoint);
  }
  for (const auto& [endpoint, use] : uses) {
    EndpointUsage& sum = this->sums[endpoint];
    sum.requests += use.requests;
    sum.prefill_tokens += use.prefill_tokens;
    if (!before.contains(endpoint))
      changed.push_back(endpoint);
  }
  for (const EndpointId& endpoint : changed) {
    const auto sum = this->sums.find(endpoint);
    if (sum->second.requests == 0 && sum->second.prefill_tokens == 0)
      this->sums.erase(sum);
  }
  if (uses.empty()) {
    this->reports.erase(peer);
  } else {
    this->reports[peer] = std::move(uses);
  }
  return changed;
}

EndpointUsage PeerLoads::Sum(const EndpointId& endpoint) const {
  const auto found = this->sums.find(endpoint);
  return found == this->sums.end() ? EndpointUsage{} : found->second;
}

}  // namespace buckthornpath
