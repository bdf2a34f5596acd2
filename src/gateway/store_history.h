/** @file store_history.h Checks that a read continues the store's history. */

#ifndef SRC_GATEWAY_STORE_HISTORY_H_
#define SRC_GATEWAY_STORE_HISTORY_H_

#include "buckthornpath/store_revision.h"
#include "gateway/platform_adapter.h"

namespace buckthornpath {

/**
 * Checks an era that has become known after a read.
 * @throws StoreHistoryCompacted If it is later than what was read.
 */
void CheckNoLaterEra(const StoreRevision& read, std::uint64_t era);

/**
 * Checks an answer to a read of the changes after a position.
 * @param era Era of the answer, whatever its status.
 * @throws StoreHistoryCompacted If a later era has begun: the changes since
 * then do not continue those that are known.
 * @throws StoreUnavailable If the answer is of an earlier era.
 */
void CheckEra(const StoreRevision& after, std::uint64_t era);

/**
 * Checks the position of an answer.
 * @param known Position that was known before the read.
 * @throws StoreUnavailable If the answer is of an earlier one: nothing in it is
 *     news, and what it lacks has not been removed.
 */
void CheckNotBehind(const StoreRevision& known, const StoreRevision& answered);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_STORE_HISTORY_H_
