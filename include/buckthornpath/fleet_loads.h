/** @file fleet_loads.h Load of all gateways at each endpoint. */

#ifndef BUCKTHORNPATH_FLEET_LOADS_H_
#define BUCKTHORNPATH_FLEET_LOADS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "buckthornpath/peer_loads.h"
#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/**
 * Load that the other gateways cause at each endpoint. The leader of a failure
 * domain sums the reports of its members and the digests of the other leaders;
 * the others subtract their own requests from the sum that the leader sends.
 * Does no I/O. Not thread-safe.
 */
class FleetLoads {
 public:
  using Changed = PeerLoads::Changed;

  /** Records the report that this gateway sends. @return Its sequence number.
   */
  std::uint64_t RecordOwnReport(EndpointUsageMap uses);

  /** Applies the report of a member of the own failure domain. */
  Changed ApplyReport(const std::string& address,
                      EndpointUsageMap uses,
                      std::uint64_t sequence);

  /** Applies the sum of another failure domain. */
  Changed ApplyDigest(const FailureDomainId& domain, EndpointUsageMap uses);

  /**
   * Applies the sum of all gateways.
   * @param acknowledged Sequence of the own report that it includes.
   */
  Changed ApplyView(EndpointUsageMap uses, std::uint64_t acknowledged);

  /** Applies the report of a gateway that sends no reports to hubs. */
  Changed ApplyDirect(const std::string& address, EndpointUsageMap uses);

  /** Removes what a gateway has reported. */
  Changed ForgetMember(const std::string& address);

  /** Removes the sum of a failure domain. */
  Changed ForgetDomain(const FailureDomainId& domain);

  /** Sets whether this gateway sums reports itself. @return Endpoints whose
   * load may have changed. */
  Changed SetLeader(bool is_leader);

  /** @return Sequence of the last report of a member; 0 if there is none. */
  std::uint64_t LastSequence(const std::string& address) const;

  /** @return The load of all other gateways at an endpoint; never negative. */
  EndpointUsage PeerLoad(const EndpointId& endpoint) const;

  /** @return The load of the own failure domain. @param own Own requests. */
  EndpointUsageMap DomainSum(const EndpointUsageMap& own) const;

  /** @return The load of all gateways that report to hubs. */
  EndpointUsageMap FleetSum(const EndpointUsageMap& own) const;

 private:
  struct SentReport {
    std::uint64_t sequence = 0;
    EndpointUsageMap uses;
  };

  Changed AllEndpoints() const;

  bool is_leader = false;
  PeerLoads members;  ///< By address; own failure domain.
  PeerLoads domains;  ///< By name; other failure domains.
  PeerLoads direct;   ///< By address.
  std::map<std::string, std::uint64_t> sequences;
  EndpointUsageMap view;
  EndpointUsageMap own_in_view;  ///< Own requests that the view includes.
  std::deque<SentReport> sent;   ///< Not acknowledged yet; the oldest first.
  std::uint64_t last_sequence = 0;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_FLEET_LOADS_H_
