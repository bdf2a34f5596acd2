/** @file placement.cc Policies for choosing the endpoint of a chat. */

#include "buckthornpath/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

#include "buckthornpath/rendezvous.h"

namespace buckthornpath {

namespace {

std::vector<std::size_t> ShuffledOrder(std::size_t count,
                                       PlacementRandom& random) {
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::shuffle(order.begin(), order.end(), random);
  return order;
}

PlacementOrder PlaceAtRandom(const PlacementQuery& /*query*/,
                             std::span<const PlacementCandidate> candidates,
                             PlacementRandom& random) {
  return {ShuffledOrder(candidates.size(), random), PlacementReason::kRandom};
}

PlacementOrder PlaceByLoad(const PlacementQuery& /*query*/,
                           std::span<const PlacementCandidate> candidates,
                           PlacementRandom& random) {
  PlacementOrder order{ShuffledOrder(candidates.size(), random),
                       PlacementReason::kLeastLoad};
  std::stable_sort(order.candidates.begin(), order.candidates.end(),
                   [&](std::size_t a, std::size_t b) {
                     return candidates[a].estimated_load /
                                candidates[a].weight <
                            candidates[b].estimated_load / candidates[b].weight;
                   });
  return order;
}

std::vector<std::size_t> HashOrder(
    std::string_view key,
    std::span<const PlacementCandidate> candidates) {
  std::vector<RendezvousSite> sites;
  sites.reserve(candidates.size());
  for (const PlacementCandidate& candidate : candidates) {
    sites.push_back({candidate.name, candidate.weight});
  }
  return RendezvousOrder(key, sites);
}

PlacementOrder PlaceByHash(const PlacementQuery& query,
                           std::span<const PlacementCandidate> candidates,
                           PlacementRandom& random) {
  if (query.key.empty())
    return PlaceByLoad(query, candidates, random);
  return {HashOrder(query.key, candidates), PlacementReason::kHash};
}

/** Rendezvous order, with the candidates above the load bound moved to the end.
 */
PlacementOrder PlaceByBoundedHash(
    const PlacementQuery& query,
    std::span<const PlacementCandidate> candidates,
    PlacementRandom& random) {
  if (query.key.empty())
    return PlaceByLoad(query, candidates, random);
  PlacementOrder order{HashOrder(query.key, candidates),
                       PlacementReason::kHash};
  if (candidates.empty())
    return order;
  const std::size_t home = order.candidates.front();
  std::stable_partition(
      order.candidates.begin(), order.candidates.end(), [&](std::size_t index) {
        return candidates[index].estimated_load + 1 <=
               MaxEstimatedLoad(query, candidates, candidates[index]);
      });
  if (order.candidates.front() != home)
    order.reason = PlacementReason::kSpill;
  return order;
}

/** Bounded hash, but the endpoint that last served the chat goes first while it
 * is within the load bound. */
PlacementOrder PlaceByHint(const PlacementQuery& query,
                           std::span<const PlacementCandidate> candidates,
                           PlacementRandom& random) {
  PlacementOrder order = PlaceByBoundedHash(query, candidates, random);
  const auto hinted = std::find_if(
      order.candidates.begin(), order.candidates.end(), [&](std::size_t index) {
        return !query.hint.empty() && candidates[index].name == query.hint;
      });
  if (hinted == order.candidates.end())
    return order;
  const PlacementCandidate& candidate = candidates[*hinted];
  if (candidate.estimated_load + 1 >
      MaxEstimatedLoad(query, candidates, candidate))
    return order;
  std::rotate(order.candidates.begin(), hinted, std::next(hinted));
  order.reason = PlacementReason::kHint;
  return order;
}

constexpr std::array<PlacementPolicy, 5> kPolicies = {{
    {"hint", "bounded hash, but the endpoint that last served the chat first",
     &PlaceByHint},
    {"bounded_hash", "rendezvous hash, endpoints above the load bound last",
     &PlaceByBoundedHash},
    {"hash", "rendezvous hash", &PlaceByHash},
    {"least_load", "lowest estimated load", &PlaceByLoad},
    {"random", "at random", &PlaceAtRandom},
}};

constexpr std::array<std::string_view, 5> kReasonNames = {
    "random", "least_load", "hash", "spill", "hint"};

}  // namespace

std::span<const PlacementPolicy> PlacementPolicies() {
  return kPolicies;
}

const PlacementPolicy* FindPlacementPolicy(std::string_view name) {
  const auto* found =
      std::find_if(kPolicies.begin(), kPolicies.end(),
                   [&](const auto& policy) { return policy.name == name; });
  return found == kPolicies.end() ? nullptr : found;
}

std::string_view PlacementReasonName(PlacementReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

double MaxEstimatedLoad(const PlacementQuery& query,
                        std::span<const PlacementCandidate> candidates,
                        const PlacementCandidate& candidate) {
  double load = 1.0;
  double weight = 0.0;
  for (const PlacementCandidate& other : candidates) {
    load += other.estimated_load;
    weight += other.weight;
  }
  const double share = load * candidate.weight / weight;
  return std::max(1.0, std::ceil(query.load_multiple * share));
}

}  // namespace buckthornpath
