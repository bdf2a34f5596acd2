/** @file placement.h Policies for choosing the endpoint of a chat. */

#ifndef BUCKTHORNPATH_PLACEMENT_H_
#define BUCKTHORNPATH_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornpath {

/** Candidate endpoint for a call. */
struct PlacementCandidate {
  std::string name;             ///< Unique name of the endpoint.
  double weight = 1.0;          ///< Capacity, relative to other endpoints.
  double estimated_load = 0.0;  ///< Estimated running and queued calls.
};

/** Properties of a call that decide its placement. */
struct PlacementQuery {
  std::string_view key;   ///< Chat id; empty if the call has no chat.
  std::string_view hint;  ///< Endpoint that last served the chat, or empty.
  double load_multiple = 1.5;  ///< Maximum load, relative to the mean.
};

/** Why the first endpoint was ranked first. */
enum class PlacementReason {
  kRandom,     ///< Chosen at random.
  kLeastLoad,  ///< Lowest estimated load.
  kHash,       ///< First in the chat's rendezvous order.
  kSpill,      ///< First in that order whose load is within the bound.
  kHint,       ///< Given by the hint.
};

/** Endpoints in order of preference. */
struct PlacementOrder {
  std::vector<std::size_t> candidates;  ///< Indices of candidates.
  PlacementReason reason = PlacementReason::kRandom;
};

using PlacementRandom = std::mt19937_64;

/** Placement policy. */
struct PlacementPolicy {
  std::string_view name;
  std::string_view description;
  PlacementOrder (*place)(const PlacementQuery& query,
                          std::span<const PlacementCandidate> candidates,
                          PlacementRandom& random);
};

/** @return All policies; the first one is the default. */
std::span<const PlacementPolicy> PlacementPolicies();

/** @return The policy with this name, or null. */
const PlacementPolicy* FindPlacementPolicy(std::string_view name);

/** @return The name of a reason, as written to logs. */
std::string_view PlacementReasonName(PlacementReason reason);

/**
 * Maximum load of an endpoint (consistent hashing with bounded loads).
 * @return `load_multiple` times the site's weighted share of the estimated
 *     total load, including the call to be placed; at least 1.
 */
double MaxEstimatedLoad(const PlacementQuery& query,
                        std::span<const PlacementCandidate> candidates,
                        const PlacementCandidate& candidate);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_PLACEMENT_H_
