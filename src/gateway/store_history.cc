/** @file store_history.cc Checks that a read continues the store's history. */

#include "gateway/store_history.h"

#include <string>

namespace buckthornpath {

void CheckNoLaterEra(const StoreRevision& read, std::uint64_t era) {
  if (era > read.era) {
    throw StoreHistoryCompacted("metadata store has begun era " +
                                std::to_string(era) + " since " +
                                ToString(read) + " was read");
  }
}

void CheckEra(const StoreRevision& after, std::uint64_t era) {
  CheckNoLaterEra(after, era);
  if (era < after.era) {
    throw StoreUnavailable("metadata store is behind: it answered in era " +
                           std::to_string(era) + " after " + ToString(after));
  }
}

void CheckNotBehind(const StoreRevision& known, const StoreRevision& answered) {
  if (answered < known) {
    throw StoreUnavailable("metadata store is behind: it answered with " +
                           ToString(answered) + " after " + ToString(known));
  }
}

}  // namespace buckthornpath
