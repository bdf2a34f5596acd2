/** @file index_delta.h Differences between two published indices. */

#ifndef SRC_FLEET_INDEX_DELTA_H_
#define SRC_FLEET_INDEX_DELTA_H_

#include <string>

#include "fleet/published_type.h"

namespace buckthornpath {

/**
 * @return CBOR array of the revision of `to`, its entries that are new or
 *     changed since `from`, and the names that it no longer has.
 */
std::string EncodeIndexDelta(const Index& from, const Index& to);

/**
 * Reconstructs the later index from the earlier one and a delta.
 * @throws InvalidDocument If the delta is malformed.
 */
Index ApplyIndexDelta(const Index& from, const std::string& delta);

}  // namespace buckthornpath

#endif  // SRC_FLEET_INDEX_DELTA_H_
