/** @file entry_order.cc Order of the entries that an endpoint has written. */

#include "buckthornpath/entry_order.h"

namespace buckthornpath {

bool IsFromBeforeLeaving(const EntryOrder& offered, const EntryOrder& known) {
  return known.leaving && !offered.leaving && known.born_ms != 0 &&
         offered.born_ms == known.born_ms && offered.sequence <= known.sequence;
}

bool IsOfEarlierProcess(const EntryOrder& offered, const EntryOrder& known) {
  return offered.born_ms != 0 && offered.born_ms < known.born_ms;
}

}  // namespace buckthornpath
