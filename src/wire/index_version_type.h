/** @file index_version_type.h Version of the index that a process uses. */

#ifndef SRC_WIRE_INDEX_VERSION_TYPE_H_
#define SRC_WIRE_INDEX_VERSION_TYPE_H_

#include <compare>
#include <cstdint>

namespace buckthornpath {

/**
 * Identifies one version of the index. Of two versions the greater one takes
 * effect: by revision, then by digest.
 */
struct IndexVersion {
  std::uint64_t revision = 0;
  std::uint64_t digest = 0;  ///< XXH3-64 of the entry names and their digests.

  auto operator<=>(const IndexVersion&) const = default;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_INDEX_VERSION_TYPE_H_
