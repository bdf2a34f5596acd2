/** @file placement.h Chooses the endpoints for a call. */

#ifndef SRC_ROUTER_PLACEMENT_H_
#define SRC_ROUTER_PLACEMENT_H_

#include <string>
#include <vector>

#include "buckthornpath/placement.h"
#include "fleet/member_list.h"
#include "kernel/settings.h"
#include "router/caller_request.h"
#include "router/chat_memory.h"
#include "router/endpoint_loads.h"
#include "router/location_hint.h"

namespace buckthornpath {

/** A decision on where a call goes, with its inputs. */
struct PlacementDecision {
  std::vector<Member> candidates;      ///< Best first.
  std::vector<double> believed_loads;  ///< Of each candidate.
  std::string reason;                  ///< Why the first one stands first.
};

/** Places the calls of one router. */
class Placement {
 public:
  /** @throws std::invalid_argument If the settings name an unknown policy. */
  Placement(const Settings& settings,
            const MemberList& members,
            const TicketMint& mint);

  /** @return The endpoints to try for a call, best first. */
  PlacementDecision Place(const CallerRequest& request) const;

  /**
   * Notes that an endpoint has admitted a call.
   * @param load Calls running and waiting there, as it reported.
   * @return The location hint that the answer carries; empty without a chat.
   */
  std::string NoteAdmitted(const CallerRequest& request,
                           const EndpointId& endpoint,
                           std::int64_t load);

  EndpointLoads& Loads() { return this->loads; }

 private:
  /** @return The endpoint that served the chat last, or an empty name. */
  EndpointId LastEndpoint(const CallerRequest& request) const;

  std::vector<PlacementSite> Sites(const std::vector<Member>& live) const;

  const MemberList& members;
  const PlacementPolicy* policy;
  LocationHint hints;
  ChatMemory memory;
  EndpointLoads loads;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_PLACEMENT_H_
