/** @file entry_order.h Order of the entries that an endpoint has written. */

#ifndef BUCKTHORNPATH_ENTRY_ORDER_H_
#define BUCKTHORNPATH_ENTRY_ORDER_H_

#include <cstdint>

namespace buckthornpath {

/** What an endpoint's entry states of its place among the entries of that
 * endpoint. */
struct EntryOrder {
  std::int64_t born_ms = 0;   ///< Start of its process; 0 if unknown.
  std::int64_t sequence = 0;  ///< Rises within a process.
  bool leaving = false;
};

/**
 * Handles entries that a store which came back from a copy lists again, and
 * ones that are written late. The revision of such an entry is new, but what it
 * says is not.
 * @return True if the writer of an entry had written another one, that it
 * leaves, at the same time or later. A process that does not state its start
 * cannot be told from the one before it, so that its entries are taken.
 */
bool IsFromBeforeLeaving(const EntryOrder& offered, const EntryOrder& known);

/** @return True if an entry is of a process before the one that has written
 * another, as both state their start. */
bool IsOfEarlierProcess(const EntryOrder& offered, const EntryOrder& known);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ENTRY_ORDER_H_
