/** @file publication_state.h Published items as one process knows them. */

#ifndef SRC_GATEWAY_PUBLICATION_STATE_H_
#define SRC_GATEWAY_PUBLICATION_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/platform_adapter.h"

namespace buckthornpath {

/**
 * Merges lists and changes that arrive from the store and from peers, late,
 * twice or out of order. An item never goes back to an older revision. Items
 * that vanish around an outage of the store are kept for a while, as their
 * owners may only have been unable to renew them. Does no I/O.
 */
class PublicationState {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @param lapse_grace Time that items stay which an outage may have removed.
   */
  explicit PublicationState(std::chrono::milliseconds lapse_grace)
      : lapse_grace(lapse_grace) {}

  /**
   * Takes a list of all items.
   * @return Items that changed; a removed one has no value.
   */
  std::vector<PublishedItem> TakeAll(const PublishedItems& all, TimePoint now);

  /** Takes changes. @return As TakeAll(). */
  std::vector<PublishedItem> TakeChanges(const PublishedItems& changes,
                                         TimePoint now);

  /** Notes that the store could not be read. */
  void NoteOutage(TimePoint now);

  /** @return Items whose grace is over. */
  std::vector<PublishedItem> TakeLapsed(TimePoint now);

  /** @return Everything held, for peers. */
  PublishedItems All() const;

  std::uint64_t Revision() const { return this->revision; }

  /** @return Revision of an item's last change; 0 if it is not held. */
  std::uint64_t RevisionOf(const std::string& key) const {
    const auto found = this->items.find(key);
    return found == this->items.end() ? 0 : found->second.revision;
  }

 private:
  bool Take(const PublishedItem& item);
  void NoteRemoval(const std::string& key, std::uint64_t at_revision);
  void Remove(const std::string& key,
              std::uint64_t at_revision,
              TimePoint now,
              std::vector<PublishedItem>& changed);

  std::chrono::milliseconds lapse_grace;
  std::uint64_t revision = 0;
  std::map<std::string, PublishedItem> items;
  /** Revision of the newest removal of each key that is gone. */
  std::map<std::string, std::uint64_t> removals;
  std::map<std::string, TimePoint> lapsing;
  TimePoint outage_seen{};
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_STATE_H_
