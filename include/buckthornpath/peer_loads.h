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
struct EndpointUse {
  std::int64_t requests = 0;
  std::int64_t unread_tokens = 0;  ///< Prompt tokens waiting for prefill.
};

using EndpointUses = std::unordered_map<EndpointId, EndpointUse>;

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
  Changed Take(const std::string& peer, EndpointUses uses);

  /** Removes the report of a peer. @return As Take(). */
  Changed Forget(const std::string& peer) { return this->Take(peer, {}); }

  /** @return The total load of all peers at an endpoint. */
  EndpointUse Sum(const EndpointId& endpoint) const;

 private:
  std::map<std::string, EndpointUses> reports;
  EndpointUses sums;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_PEER_LOADS_H_
