/** @file index_delta.h What changed between two indices. */

#ifndef SRC_FLEET_INDEX_DELTA_H_
#define SRC_FLEET_INDEX_DELTA_H_

#include <string>

#include "fleet/published_type.h"

namespace buckthornpath {

/** @return The entries of `to` that `from` lacks and the names it dropped. */
std::string EncodeIndexDelta(const Index& from, const Index& to);

/**
 * Makes the later index from the earlier one.
 * @throws DocumentRefused If the delta is malformed.
 */
Index ApplyIndexDelta(const Index& from, const std::string& delta);

}  // namespace buckthornpath

#endif  // SRC_FLEET_INDEX_DELTA_H_
