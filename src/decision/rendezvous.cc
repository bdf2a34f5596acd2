/** @file rendezvous.cc Weighted rendezvous hashing. */

#include "buckthornpath/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace buckthornpath {

namespace {

/** @return The hash of key and site, mapped to (0, 1). */
double UnitHash(std::string_view key, std::string_view site) {
  constexpr int kMantissaBits = 53;
  const XXH64_hash_t seed = XXH3_64bits(site.data(), site.size());
  const XXH64_hash_t hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
  const auto mantissa = static_cast<double>(hash >> (64 - kMantissaBits));
  return (mantissa + 0.5) / std::ldexp(1.0, kMantissaBits);
}

}  // namespace

std::vector<std::size_t> RendezvousOrder(
    std::string_view key,
    const std::vector<RendezvousSite>& sites) {
  std::vector<double> scores;
  scores.reserve(sites.size());
  for (const RendezvousSite& site : sites) {
    scores.push_back(site.weight / -std::log(UnitHash(key, site.name)));
  }
  std::vector<std::size_t> order(sites.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (scores[a] != scores[b])
      return scores[a] > scores[b];
    return sites[a].name < sites[b].name;
  });
  return order;
}

}  // namespace buckthornpath
