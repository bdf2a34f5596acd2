/** @file peer_loads.h Sums of the loads that peers report. */

#ifndef BUCKTHORNPATH_PEER_LOADS_H_
#define BUCKTHORNPATH_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Load at an endpoint from one gateway or from several. */
struct EndpointUsage {
  std::int64_t requests = 0;
  std::int64_t prefill_tokens = 0;  ///< Prompt tokens waiting for prefill.
};

using EndpointUsageMap = std::unordered_map<EndpointId, EndpointUsage>;

/**
 * Latest load report of each peer, with totals per endpoint. The cost of an
 * update is linear in the endpoints of the old and the new report and does not
 * depend on the number of peers.
 */
class PeerLoads {
 public:
  using Changed = std::vector<EndpointId>;

  /** Replaces the report of a peer. @return Endpoints whose total may have
   * changed. */
  Changed SetLoads(const std::string& peer, EndpointUsageMap uses);

  /** Removes the report of a peer. @return As SetLoads(). */
  Changed Forget(const std::string& peer) { return this->SetLoads(peer, {}); }

  /** @return The total load of all peers at an endpoint. */
  EndpointUsage Sum(const EndpointId& endpoint) const;

  /** @return The total load of all peers at every endpoint that has any. */
  const EndpointUsageMap& Sums() const { return this->sums; }

 private:
  std::map<std::string, EndpointUsageMap> reports;
  EndpointUsageMap sums;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_PEER_LOADS_H_
