/** @file rendezvous.h Weighted rendezvous hashing. */

#ifndef BUCKTHORNPATH_RENDEZVOUS_H_
#define BUCKTHORNPATH_RENDEZVOUS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornpath {

/** Candidate that keys are distributed to. */
struct RendezvousSite {
  std::string name;     ///< Unique among the candidates.
  double weight = 1.0;  ///< Share of the keys, relative to other sites.
};

/**
 * Ranks sites for a key, best first, by weighted rendezvous hashing
 * (Thaler and Ravishankar 1998; weights by the logarithm method of
 * Schindelhauer and Schomaker 2005). Adding or removing a site moves only that
 * site's keys.
 * @param key Key to place.
 * @param sites Candidates; a weight must be above zero.
 * @return Indices into sites, best first.
 */
std::vector<std::size_t> RendezvousOrder(
    std::string_view key,
    const std::vector<RendezvousSite>& sites);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_RENDEZVOUS_H_
