/** @file placement.h Ways of choosing the endpoint for a chat. */

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

/** An endpoint that could take a call. */
struct PlacementSite {
  std::string name;            ///< Unique name of the endpoint.
  double weight = 1.0;         ///< Capacity, relative to other endpoints.
  double believed_load = 0.0;  ///< Calls believed to run or wait there.
};

/** What is known of a call when it is placed. */
struct PlacementQuery {
  std::string_view key;   ///< Names the chat; empty for a call without one.
  std::string_view hint;  ///< Endpoint that last served the chat, or empty.
  double load_multiple = 1.5;  ///< Most load, relative to the mean.
};

/** Why the first endpoint stands first. */
enum class PlacementReason {
  kRandom,     ///< Drawn at random.
  kLeastLoad,  ///< Least believed load.
  kHash,       ///< First of the chat's rendezvous order.
  kSpill,      ///< First of that order that is believed below the bound.
  kHint,       ///< Named by the hint.
};

/** Endpoints to try, best first. */
struct PlacementOrder {
  std::vector<std::size_t> sites;  ///< Indices into the sites.
  PlacementReason reason = PlacementReason::kRandom;
};

using PlacementRandom = std::mt19937_64;

/** One way of placing calls. */
struct PlacementPolicy {
  std::string_view name;
  std::string_view description;
  PlacementOrder (*place)(const PlacementQuery& query,
                          std::span<const PlacementSite> sites,
                          PlacementRandom& random);
};

/** @return All ways, the one to be used by default first. */
std::span<const PlacementPolicy> PlacementPolicies();

/** @return The way of a name, or null. */
const PlacementPolicy* FindPlacementPolicy(std::string_view name);

/** @return The name of a reason in logs. */
std::string_view PlacementReasonName(PlacementReason reason);

/**
 * @return Load above which an endpoint is believed full: the multiple of the
 * mean believed load per weight, counting the call to be placed, and at least
 * one call.
 */
double BelievedBound(const PlacementQuery& query,
                     std::span<const PlacementSite> sites,
                     const PlacementSite& site);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_PLACEMENT_H_
