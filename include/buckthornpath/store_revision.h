/** @file store_revision.h Position in the history of the platform's store. */

#ifndef BUCKTHORNPATH_STORE_REVISION_H_
#define BUCKTHORNPATH_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace buckthornpath {

/**
 * Position in the history of the platform's store. A store that comes back from
 * a copy begins a new era, in which it gives out numbers again. A later
 * position is greater.
 */
struct StoreRevision {
  constexpr StoreRevision() = default;
  constexpr StoreRevision(std::uint64_t era, std::uint64_t number)
      : era(era), number(number) {}

  auto operator<=>(const StoreRevision&) const = default;

  std::uint64_t era = 0;     ///< 0 if the store states none.
  std::uint64_t number = 0;  ///< 0 before the first position.
};

/** @return The position for errors. */
inline std::string ToString(const StoreRevision& revision) {
  return "revision " + std::to_string(revision.number) + " of era " +
         std::to_string(revision.era);
}

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_STORE_REVISION_H_
