/** @file gateway_roster.cc Live gateways, and the hubs among them. */

#include "buckthornpath/gateway_roster.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornpath {

namespace {

/** @return Sort key of the election: high capacity first, then an order that
 * is the same at all gateways and unrelated to the addresses' numbers. */
auto ElectionKey(const GatewayMember& member) {
  return std::tuple(-member.capacity,
                    XXH3_64bits(member.address.data(), member.address.size()));
}

}  // namespace

bool GatewayRoster::RecordContact(const GatewayMember& member,
                                  TimePoint heard_at) {
  if (member.address == this->self.address)
    return false;
  const auto [contact, added] =
      this->others.try_emplace(member.address, Contact{member, heard_at});
  if (added)
    return true;
  if (heard_at <= contact->second.heard_at)
    return false;
  const std::uint64_t known_run = contact->second.member.run;
  contact->second = {member, heard_at};
  if (member.run == 0)
    contact->second.member.run = known_run;
  return known_run != 0 && contact->second.member.run != known_run;
}

std::vector<GatewayMember> GatewayRoster::RemoveSilent(
    TimePoint now,
    std::chrono::milliseconds timeout) {
  std::vector<GatewayMember> removed;
  for (auto other = this->others.begin(); other != this->others.end();) {
    if (now - other->second.heard_at <= timeout) {
      ++other;
      continue;
    }
    removed.push_back(std::move(other->second.member));
    other = this->others.erase(other);
  }
  return removed;
}

std::vector<std::string> GatewayRoster::HubsOf(
    const FailureDomainId& domain) const {
  std::vector<const GatewayMember*> candidates;
  const auto add = [&](const GatewayMember& member) {
    if (member.failure_domain == domain && !member.leaving)
      candidates.push_back(&member);
  };
  add(this->self);
  for (const auto& [address, contact] : this->others)
    add(contact.member);
  std::sort(candidates.begin(), candidates.end(),
            [](const GatewayMember* left, const GatewayMember* right) {
              return ElectionKey(*left) < ElectionKey(*right);
            });
  std::vector<std::string> hubs;
  for (const GatewayMember* member : candidates) {
    if (hubs.size() == kHubsPerDomain)
      break;
    hubs.push_back(member->address);
  }
  return hubs;
}

HubRole GatewayRoster::Role() const {
  const auto hubs = this->HubsOf(this->self.failure_domain);
  const auto own = std::find(hubs.begin(), hubs.end(), this->self.address);
  if (own == hubs.end())
    return HubRole::kMember;
  return own == hubs.begin() ? HubRole::kLeader : HubRole::kHub;
}

std::size_t GatewayRoster::CountOf(const FailureDomainId& domain) const {
  const auto is_member = [&](const auto& entry) {
    return entry.second.member.failure_domain == domain;
  };
  const auto count = static_cast<std::size_t>(
      std::count_if(this->others.begin(), this->others.end(), is_member));
  return count + (this->self.failure_domain == domain ? 1 : 0);
}

}  // namespace buckthornpath
