/** @file publication_state.h Replica of the published items. */

#ifndef SRC_GATEWAY_PUBLICATION_STATE_H_
#define SRC_GATEWAY_PUBLICATION_STATE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "buckthornpath/entry_order.h"
#include "gateway/platform_adapter.h"

namespace buckthornpath {

/** Where items were read. */
enum class ItemSource {
  kStore,
  kGateway,  ///< Decides for its readers how long a removed item is kept.
};

/**
 * Replica of the published items. Merges snapshots and changes from the store
 * and from peers, which may arrive late, twice or out of order. An item never
 * returns to an older revision. Once the store has begun a new era, what is
 * known of earlier ones changes nothing, and items that the new era lacks are
 * kept for a grace period, as their writers may write them again. Items that
 * expire unless they are renewed, and are removed around an outage of the
 * store, are kept for a grace period, as their owners may only have been unable
 * to renew them. An entry from before its writer said that it leaves is left
 * out, however late it is published; so is one of an earlier process of its
 * writer that comes back with a new era. Does no I/O.
 */
class PublicationState {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  using KeyPredicate = std::function<bool(const std::string& key)>;

  /** @return What an item says of its place among those of its writer; nothing
   * if it says none. */
  using OrderReader =
      std::function<std::optional<EntryOrder>(const PublishedItem& item)>;

  /**
   * @param removal_grace Time after an outage of the store during which removed
   *     items are kept.
   * @param is_renewed True for the keys of items that expire unless their
   *     owners renew them. Others are removed on purpose only, and at once.
   * @param order_of Null if no item states its place.
   */
  PublicationState(std::chrono::milliseconds removal_grace,
                   KeyPredicate is_renewed,
                   OrderReader order_of = nullptr)
      : removal_grace(removal_grace),
        is_renewed(std::move(is_renewed)),
        order_of(std::move(order_of)) {}

  /**
   * Merges a snapshot of all items. Items that it lacks count as removed, if it
   * is complete.
   * @return Items that changed; a removed one has no value.
   */
  std::vector<PublishedItem> MergeSnapshot(
      const PublishedItems& all,
      TimePoint now,
      ItemSource source = ItemSource::kStore);

  /** Merges changes. @return As MergeSnapshot(). */
  std::vector<PublishedItem> MergeChanges(
      const PublishedItems& changes,
      TimePoint now,
      ItemSource source = ItemSource::kStore);

  /** Records that the store could not be read. */
  void RecordOutage(TimePoint now);

  /** Removes items whose grace period is over; later outages do not prolong
   * it. @return The removed items. */
  std::vector<PublishedItem> ApplyDeferredRemovals(TimePoint now);

  /** @return Items whose removal has been deferred since the last call, with
   * the end of their grace period. */
  std::vector<std::pair<std::string, TimePoint>> TakeDeferred();

  /** @return Keys of items that have been left out since the last call, as
   * their writers had said before that they leave. */
  std::vector<std::string> TakeOutdated();

  /** @return All items, for peers. */
  PublishedItems All() const;

  /** @return Number of changes that this process has applied. */
  std::uint64_t ChangeCount() const { return this->change_count; }

  /**
   * @param count A value that ChangeCount() has returned.
   * @return The items changed since then, removed ones included; nothing if
   * they do not tell all that is to be removed: older removals are no longer
   * known, or an era has been listed whose readers may hold other items of
   * earlier ones.
   */
  std::optional<PublishedItems> ChangesSince(std::uint64_t count) const;

  StoreRevision Revision() const { return this->revision; }

  /** @return True once a complete snapshot of the present era has been merged,
   * until a later one lacks a part. */
  bool IsComplete() const { return this->listed_era == this->revision.era; }

  /** @return Revision of an item's last change; the default one if there is no
   * such item. */
  StoreRevision RevisionOf(const std::string& key) const {
    const auto found = this->items.find(key);
    return found == this->items.end() ? StoreRevision{}
                                      : found->second.revision;
  }

  /** @return True if an item still has this value. Its revision may be another:
   * a new era gives one to items that have not changed. */
  bool Holds(const PublishedItem& item) const {
    const auto found = this->items.find(item.key);
    return found != this->items.end() && found->second.value == item.value;
  }

 private:
  /** Removal of an item that is still in its grace period. */
  struct DeferredRemoval {
    StoreRevision revision;
    TimePoint until{};
  };

  bool MergeItem(const PublishedItem& item);

  /** @return True if an item is from before its writer said that it leaves, or
   * if a new era lists one again that an earlier process of the writer had
   * written. */
  bool IsOutdated(const PublishedItem& item) const;

  /** Remembers whether the writer of an item that is used leaves. */
  void RecordLeaving(const PublishedItem& item);

  /** Moves to a position, unless it is an earlier one. */
  void MoveTo(const StoreRevision& position, TimePoint now);

  /** Removes an item that a complete list lacks. */
  void RemoveUnlisted(const std::string& key,
                      const StoreRevision& list,
                      TimePoint now,
                      ItemSource source,
                      std::vector<PublishedItem>& changed);
  void RecordRemoval(const std::string& key, const StoreRevision& at_revision);
  void Remove(const std::string& key,
              const StoreRevision& at_revision,
              TimePoint now,
              ItemSource source,
              std::vector<PublishedItem>& changed);
  void Defer(const std::string& key,
             const StoreRevision& at_revision,
             TimePoint until);
  void Erase(const std::string& key,
             const StoreRevision& at_revision,
             std::vector<PublishedItem>& changed);

  std::chrono::milliseconds removal_grace;
  KeyPredicate is_renewed;
  OrderReader order_of;
  StoreRevision revision;
  /** Of the last complete snapshot; none if a later one lacked a part. */
  std::optional<std::uint64_t> listed_era;
  TimePoint era_known_at{};  ///< When the present era became known.
  std::map<std::string, PublishedItem> items;
  /** Revision of the latest removal of each removed key. */
  std::map<std::string, StoreRevision> removals;
  std::uint64_t change_count = 0;
  /** Value of `change_count` after the last change of each key. */
  std::map<std::string, std::uint64_t> changed_at;
  /** Changes up to this count may lack removals. */
  std::uint64_t oldest_known_change = 0;
  std::map<std::string, DeferredRemoval> deferred_removals;
  std::vector<std::pair<std::string, TimePoint>> newly_deferred;
  TimePoint last_outage{};
  /** Items whose writers have said that they leave, removed ones included. */
  std::map<std::string, EntryOrder> leaving;
  std::vector<std::string> outdated;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_STATE_H_
