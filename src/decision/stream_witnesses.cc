/** @file stream_witnesses.cc Gateways that answer for the streams of another.
 */

#include "buckthornpath/stream_witnesses.h"

#include <algorithm>
#include <cstddef>
#include <set>

namespace buckthornpath {

namespace {

/** Known gateways up to which a fleet is small. A member of a large one knows
 * its failure domain and the hubs of the others. */
constexpr std::size_t kSmallRoster = 16;

/** Witnesses that a gateway has at least, if there are as many gateways. */
constexpr std::size_t kMinWitnesses = 2;

/** Members of the failure domain that are asked after the hubs. */
constexpr std::size_t kMaxAskedMembers = 4;

bool IsSmall(const GatewayRoster& roster) {
  return roster.Count() <= kSmallRoster;
}

/** @return The other failure domains, in an order that begins after the own
 * one, so that the witnesses of a fleet are spread. */
std::vector<FailureDomainId> OtherDomains(const GatewayRoster& roster) {
  const FailureDomainId& own = roster.Self().failure_domain;
  std::set<FailureDomainId> domains;
  for (const auto& [address, contact] : roster.Others()) {
    const FailureDomainId& domain = contact.member.failure_domain;
    // Gateways of version 1 name none.
    if (!domain.empty() && domain != own)
      domains.insert(domain);
  }
  std::vector<FailureDomainId> ordered(domains.begin(), domains.end());
  std::rotate(ordered.begin(),
              std::upper_bound(ordered.begin(), ordered.end(), own),
              ordered.end());
  return ordered;
}

bool Contains(const std::vector<std::string>& addresses,
              const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

/** Appends addresses, without this gateway's, up to a limit. */
void Append(std::vector<std::string>& addresses,
            const std::string& address,
            const GatewayRoster& roster,
            std::size_t limit) {
  if (addresses.size() < limit && address != roster.Self().address &&
      !Contains(addresses, address))
    addresses.push_back(address);
}

/** @return The other members of this gateway's failure domain that are no hubs.
 */
std::vector<std::string> OrdinaryMembers(const GatewayRoster& roster,
                                         std::size_t limit) {
  const FailureDomainId& own = roster.Self().failure_domain;
  const std::vector<std::string> hubs = roster.HubsOf(own);
  std::vector<std::string> members;
  for (const auto& [address, contact] : roster.Others()) {
    if (contact.member.failure_domain == own && !Contains(hubs, address))
      Append(members, address, roster, limit);
  }
  return members;
}

}  // namespace

std::vector<std::string> StreamWitnesses(const GatewayRoster& roster) {
  std::vector<std::string> witnesses;
  for (const std::string& hub : roster.HubsOf(roster.Self().failure_domain))
    Append(witnesses, hub, roster, GatewayRoster::kHubsPerDomain);
  const std::size_t limit =
      std::max(kMinWitnesses, witnesses.size() + (IsSmall(roster) ? 1 : 0));
  const std::vector<FailureDomainId> domains = OtherDomains(roster);
  for (std::size_t rank = 0; rank < GatewayRoster::kHubsPerDomain; ++rank) {
    for (const FailureDomainId& domain : domains) {
      if (witnesses.size() >= limit)
        return witnesses;
      const std::vector<std::string> hubs = roster.HubsOf(domain);
      if (rank < hubs.size())
        Append(witnesses, hubs[rank], roster, limit);
    }
  }
  // Gateways that are no hubs are asked in small fleets only.
  for (const auto& [address, contact] : roster.Others()) {
    if (IsSmall(roster) && !contact.member.failure_domain.empty())
      Append(witnesses, address, roster, kMinWitnesses);
  }
  return witnesses;
}

std::vector<std::string> GatewaysToAsk(const GatewayRoster& roster) {
  std::vector<std::string> asked;
  const std::size_t limit = roster.Count();
  std::vector<FailureDomainId> domains = OtherDomains(roster);
  domains.push_back(roster.Self().failure_domain);
  for (const FailureDomainId& domain : domains) {
    for (const std::string& hub : roster.HubsOf(domain))
      Append(asked, hub, roster, limit);
  }
  for (const auto& [address, contact] : roster.Others()) {
    if (IsSmall(roster) && !contact.member.failure_domain.empty())
      Append(asked, address, roster, limit);
  }
  return asked;
}

std::vector<std::string> GatewaysToCopyTo(const GatewayRoster& roster) {
  const std::vector<std::string> witnesses = StreamWitnesses(roster);
  std::vector<std::string> told;
  for (const auto& [address, contact] : roster.Others()) {
    if (!Contains(witnesses, address) && !contact.member.failure_domain.empty())
      told.push_back(address);
  }
  return told;
}

std::vector<std::string> GatewaysToRelayTo(const GatewayRoster& roster) {
  if (roster.Role() != HubRole::kLeader)
    return {};
  return OrdinaryMembers(roster, roster.Count());
}

std::vector<std::string> GatewaysToAskNext(const GatewayRoster& roster) {
  if (IsSmall(roster))
    return {};
  return OrdinaryMembers(roster, kMaxAskedMembers);
}

}  // namespace buckthornpath
