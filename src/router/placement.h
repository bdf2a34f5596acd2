/** @file placement.h Chooses the endpoints for a call. */

#ifndef SRC_ROUTER_PLACEMENT_H_
#define SRC_ROUTER_PLACEMENT_H_

#include <string>
#include <vector>

#include "fleet/member_list.h"
#include "router/caller_request.h"

namespace buckthornpath {

/** A decision on where a call goes, with its inputs. */
struct PlacementDecision {
  std::vector<Member> candidates;  ///< Best first.
  std::string reason;
};

/** @return The endpoints to try for a call, best first. */
PlacementDecision PlaceCall(const CallerRequest& request,
                            const MemberList& members);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_PLACEMENT_H_
