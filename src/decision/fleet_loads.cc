/** @file fleet_loads.cc Load of all gateways at each endpoint. */

#include "buckthornpath/fleet_loads.h"

#include <algorithm>
#include <utility>

namespace buckthornpath {

namespace {

/** Limit of own reports that are kept until the leader acknowledges them. */
constexpr std::size_t kMaxSentReports = 32;

void AddTo(EndpointUsageMap& sum, const EndpointUsageMap& uses) {
  for (const auto& [endpoint, use] : uses) {
    EndpointUsage& total = sum[endpoint];
    total.requests += use.requests;
    total.prefill_tokens += use.prefill_tokens;
  }
}

EndpointUsage FindUse(const EndpointUsageMap& uses,
                      const EndpointId& endpoint) {
  const auto found = uses.find(endpoint);
  return found == uses.end() ? EndpointUsage{} : found->second;
}

void AppendKeys(const EndpointUsageMap& uses, FleetLoads::Changed& keys) {
  for (const auto& [endpoint, use] : uses)
    keys.push_back(endpoint);
}

}  // namespace

std::uint64_t FleetLoads::RecordOwnReport(EndpointUsageMap uses) {
  this->sent.push_back({++this->last_sequence, std::move(uses)});
  if (this->sent.size() > kMaxSentReports)
    this->sent.pop_front();
  return this->last_sequence;
}

FleetLoads::Changed FleetLoads::ApplyReport(const std::string& address,
                                            EndpointUsageMap uses,
                                            std::uint64_t sequence) {
  // A sequence that falls belongs to a new process at the address, or to a
  // datagram that was overtaken; the next report settles it.
  this->sequences[address] = sequence;
  return this->members.SetLoads(address, std::move(uses));
}

FleetLoads::Changed FleetLoads::ApplyDigest(const FailureDomainId& domain,
                                            EndpointUsageMap uses) {
  return this->domains.SetLoads(domain.str(), std::move(uses));
}

FleetLoads::Changed FleetLoads::ApplyView(EndpointUsageMap uses,
                                          std::uint64_t acknowledged) {
  Changed changed;
  AppendKeys(this->view, changed);
  AppendKeys(uses, changed);
  this->view = std::move(uses);
  while (!this->sent.empty() && this->sent.front().sequence < acknowledged)
    this->sent.pop_front();
  const bool is_known =
      !this->sent.empty() && this->sent.front().sequence == acknowledged;
  this->own_in_view = is_known ? this->sent.front().uses : EndpointUsageMap{};
  return changed;
}

FleetLoads::Changed FleetLoads::ApplyDirect(const std::string& address,
                                            EndpointUsageMap uses) {
  return this->direct.SetLoads(address, std::move(uses));
}

FleetLoads::Changed FleetLoads::ForgetMember(const std::string& address) {
  this->sequences.erase(address);
  Changed changed = this->members.Forget(address);
  const Changed more = this->direct.Forget(address);
  changed.insert(changed.end(), more.begin(), more.end());
  return changed;
}

FleetLoads::Changed FleetLoads::ForgetDomain(const FailureDomainId& domain) {
  return this->domains.Forget(domain.str());
}

FleetLoads::Changed FleetLoads::SetLeader(bool is_leader) {
  if (this->is_leader == is_leader)
    return {};
  this->is_leader = is_leader;
  return this->AllEndpoints();
}

std::uint64_t FleetLoads::LastSequence(const std::string& address) const {
  const auto found = this->sequences.find(address);
  return found == this->sequences.end() ? 0 : found->second;
}

EndpointUsage FleetLoads::PeerLoad(const EndpointId& endpoint) const {
  EndpointUsage load = this->direct.Sum(endpoint);
  if (this->is_leader) {
    for (const PeerLoads* part : {&this->members, &this->domains}) {
      const EndpointUsage sum = part->Sum(endpoint);
      load.requests += sum.requests;
      load.prefill_tokens += sum.prefill_tokens;
    }
    return load;
  }
  const EndpointUsage total = FindUse(this->view, endpoint);
  const EndpointUsage own = FindUse(this->own_in_view, endpoint);
  load.requests += std::max<std::int64_t>(total.requests - own.requests, 0);
  load.prefill_tokens +=
      std::max<std::int64_t>(total.prefill_tokens - own.prefill_tokens, 0);
  return load;
}

EndpointUsageMap FleetLoads::DomainSum(const EndpointUsageMap& own) const {
  EndpointUsageMap sum = this->members.Sums();
  AddTo(sum, own);
  return sum;
}

EndpointUsageMap FleetLoads::FleetSum(const EndpointUsageMap& own) const {
  EndpointUsageMap sum = this->DomainSum(own);
  AddTo(sum, this->domains.Sums());
  return sum;
}

FleetLoads::Changed FleetLoads::AllEndpoints() const {
  Changed all;
  for (const EndpointUsageMap* uses :
       {&this->view, &this->members.Sums(), &this->domains.Sums()})
    AppendKeys(*uses, all);
  return all;
}

}  // namespace buckthornpath
