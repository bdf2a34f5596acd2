/** @file index_stamp_type.h Which index a process has in force. */

#ifndef SRC_WIRE_INDEX_STAMP_TYPE_H_
#define SRC_WIRE_INDEX_STAMP_TYPE_H_

#include <compare>
#include <cstdint>

namespace buckthornpath {

/** Names one content of the index; the one to be in force compares greater. */
struct IndexStamp {
  std::uint64_t revision = 0;
  std::uint64_t digest = 0;  ///< XXH3-64 of the names and their digests.

  auto operator<=>(const IndexStamp&) const = default;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_INDEX_STAMP_TYPE_H_
