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

/** What one gateway, or several together, have at an endpoint. */
struct EndpointUse {
  std::int64_t requests = 0;
  std::int64_t unread_tokens = 0;
};

using EndpointUses = std::unordered_map<EndpointId, EndpointUse>;

/**
 * Latest report of each peer and their sums by endpoint. A report costs as
 * much as it names endpoints, however many peers there are.
 */
class PeerLoads {
 public:
  using Changed = std::vector<EndpointId>;

  /** Replaces what a peer reported. @return Endpoints whose sum may differ. */
  Changed Take(const std::string& peer, EndpointUses uses);

  /** Forgets a peer. @return As Take(). */
  Changed Forget(const std::string& peer) { return this->Take(peer, {}); }

  /** @return What all peers together have at an endpoint. */
  EndpointUse Sum(const EndpointId& endpoint) const;

 private:
  std::map<std::string, EndpointUses> reports;
  EndpointUses sums;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_PEER_LOADS_H_
