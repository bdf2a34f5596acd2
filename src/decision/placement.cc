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
                             std::span<const PlacementCandidate> sites,
                             PlacementRandom& random) {
  return {ShuffledOrder(sites.size(), random), PlacementReason::kRandom};
}

PlacementOrder PlaceByLoad(const PlacementQuery& /*query*/,
                           std::span<const PlacementCandidate> sites,
                           PlacementRandom& random) {
  PlacementOrder order{ShuffledOrder(sites.size(), random),
                       PlacementReason::kLeastLoad};
  std::stable_sort(order.sites.begin(), order.sites.end(),
                   [&](std::size_t a, std::size_t b) {
                     return sites[a].estimated_load / sites[a].weight <
                            sites[b].estimated_load / sites[b].weight;
                   });
  return order;
}

std::vector<std::size_t> HashOrder(std::string_view key,
                                   std::span<const PlacementCandidate> sites) {
  std::vector<RendezvousSite> candidates;
  candidates.reserve(sites.size());
  for (const PlacementCandidate& site : sites) {
    candidates.push_back({site.name, site.weight});
  }
  return RendezvousOrder(key, candidates);
}

PlacementOrder PlaceByHash(const PlacementQuery& query,
                           std::span<const PlacementCandidate> sites,
                           PlacementRandom& random) {
  if (query.key.empty())
    return PlaceByLoad(query, sites, random);
  return {HashOrder(query.key, sites), PlacementReason::kHash};
}

/** Rendezvous order, with the sites above the load bound moved to the end. */
PlacementOrder PlaceByBoundedHash(const PlacementQuery& query,
                                  std::span<const PlacementCandidate> sites,
                                  PlacementRandom& random) {
  if (query.key.empty())
    return PlaceByLoad(query, sites, random);
  PlacementOrder order{HashOrder(query.key, sites), PlacementReason::kHash};
  if (sites.empty())
    return order;
  const std::size_t home = order.sites.front();
  std::stable_partition(order.sites.begin(), order.sites.end(),
                        [&](std::size_t index) {
                          return sites[index].estimated_load + 1 <=
                                 MaxEstimatedLoad(query, sites, sites[index]);
                        });
  if (order.sites.front() != home)
    order.reason = PlacementReason::kSpill;
  return order;
}

/** Bounded hash, but the endpoint that last served the chat goes first while it
 * is within the load bound. */
PlacementOrder PlaceByHint(const PlacementQuery& query,
                           std::span<const PlacementCandidate> sites,
                           PlacementRandom& random) {
  PlacementOrder order = PlaceByBoundedHash(query, sites, random);
  const auto hinted = std::find_if(
      order.sites.begin(), order.sites.end(), [&](std::size_t index) {
        return !query.hint.empty() && sites[index].name == query.hint;
      });
  if (hinted == order.sites.end())
    return order;
  const PlacementCandidate& site = sites[*hinted];
  if (site.estimated_load + 1 > MaxEstimatedLoad(query, sites, site))
    return order;
  std::rotate(order.sites.begin(), hinted, std::next(hinted));
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
                        std::span<const PlacementCandidate> sites,
                        const PlacementCandidate& site) {
  double load = 1.0;
  double weight = 0.0;
  for (const PlacementCandidate& other : sites) {
    load += other.estimated_load;
    weight += other.weight;
  }
  const double share = load * site.weight / weight;
  return std::max(1.0, std::ceil(query.load_multiple * share));
}

}  // namespace buckthornpath
