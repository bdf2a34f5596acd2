/** @file placement.h Selects the endpoints for a call. */

#ifndef SRC_ROUTER_PLACEMENT_H_
#define SRC_ROUTER_PLACEMENT_H_

#include <string>
#include <vector>

#include "buckthornpath/placement.h"
#include "fleet/member_list.h"
#include "kernel/settings.h"
#include "router/caller_request.h"
#include "router/chat_affinity_cache.h"
#include "router/endpoint_loads.h"
#include "router/location_hint_codec.h"

namespace buckthornpath {

/** The endpoints selected for a call and the loads considered. */
struct PlacementDecision {
  std::vector<Member> candidates;       ///< Best first.
  std::vector<double> estimated_loads;  ///< Estimated load of each candidate.
  std::string reason;                   ///< Why the first candidate is best.
};

/** Selects endpoints for one router's calls by its placement policy. */
class Placement {
 public:
  /** @throws std::invalid_argument If the settings name an unknown policy. */
  Placement(const Settings& settings,
            const MemberList& members,
            const TicketCodec& ticket_codec);

  /** @return The endpoints to try for a call, best first. */
  PlacementDecision Place(const CallerRequest& request) const;

  /**
   * Records that an endpoint has admitted a call.
   * @param load Calls running and waiting there, as it reported.
   * @return The location hint to send with the answer; empty without a chat.
   */
  std::string RecordAdmission(const CallerRequest& request,
                              const EndpointId& endpoint,
                              std::int64_t load);

  EndpointLoads& Loads() { return this->loads; }

 private:
  /** @return The endpoint that last served the chat, or an empty id. */
  EndpointId LastEndpoint(const CallerRequest& request) const;

  /** @return The policy input for each live endpoint. */
  std::vector<PlacementCandidate> BuildCandidates(
      const std::vector<Member>& live) const;

  const MemberList& members;
  const PlacementPolicy* policy;
  LocationHintCodec hints;
  ChatAffinityCache chat_cache;
  EndpointLoads loads;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_PLACEMENT_H_
