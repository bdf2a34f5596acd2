/** @file gateway_roster.h Live gateways, and the hubs among them. */

#ifndef BUCKTHORNPATH_GATEWAY_ROSTER_H_
#define BUCKTHORNPATH_GATEWAY_ROSTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** A gateway as it describes itself. */
struct GatewayMember {
  std::string address;  ///< Gossip address.
  FailureDomainId failure_domain;
  /** Suitability as a hub, such as the bandwidth of its link; higher first. */
  std::int64_t capacity = 0;
  bool leaving = false;  ///< Draining: must not be a hub.
  /** Differs between the processes that run at the address one after the other;
   * 0 if the gateway does not state it. */
  std::uint64_t run = 0;
};

/** What a gateway does for the others of its failure domain. */
enum class HubRole {
  kMember,  ///< Reports to the hubs and follows one of them.
  kHub,     ///< Reads the store; replaces the leader.
  kLeader   ///< The first hub; also sums the loads.
};

/**
 * Live gateways of the fleet. The gateways of a failure domain elect hubs
 * without messages: each of them ranks the live members in the same way. Hubs
 * collect reports and hand on what all gateways need to know, so that the cost
 * of an ordinary gateway does not depend on the size of the fleet. The rosters
 * of two gateways may differ for a while; nothing depends on a single hub.
 * Does no I/O. Not thread-safe.
 */
class GatewayRoster {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Hubs of each failure domain. The first is the leader; the others know
   * what it knows and replace it. */
  static constexpr std::size_t kHubsPerDomain = 2;

  explicit GatewayRoster(GatewayMember self) : self(std::move(self)) {}

  const GatewayMember& Self() const { return this->self; }

  /** Records that this process is draining. */
  void AnnounceLeave() { this->self.leaving = true; }

  /**
   * Records that a gateway was heard of, directly or through another one.
   * @param heard_at Time at which the gateway itself was heard last.
   * @return True if the gateway, or this run of it, was not known.
   */
  bool RecordContact(const GatewayMember& member, TimePoint heard_at);

  /** Removes gateways that were not heard within the timeout. @return Them. */
  std::vector<GatewayMember> RemoveSilent(TimePoint now,
                                          std::chrono::milliseconds timeout);

  /** @return Number of live gateways, this one included. */
  std::size_t Count() const { return this->others.size() + 1; }

  bool Contains(const std::string& address) const {
    return address == this->self.address || this->others.contains(address);
  }

  /** @return Addresses of the hubs of a failure domain, the leader first. */
  std::vector<std::string> HubsOf(const FailureDomainId& domain) const;

  /** @return What this gateway does for its failure domain. */
  HubRole Role() const;

  /** @return True if this gateway is a hub of its failure domain. */
  bool IsHub() const { return this->Role() != HubRole::kMember; }

  /** @return Number of members of a failure domain, this one included. */
  std::size_t CountOf(const FailureDomainId& domain) const;

  /** A gateway other than this one. */
  struct Contact {
    GatewayMember member;
    TimePoint heard_at{};
  };

  /** @return All other gateways, by address. */
  const std::map<std::string, Contact>& Others() const { return this->others; }

 private:
  GatewayMember self;
  std::map<std::string, Contact> others;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_GATEWAY_ROSTER_H_
