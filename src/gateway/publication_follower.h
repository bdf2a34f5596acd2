/** @file publication_follower.h Applies published items as they change. */

#ifndef SRC_GATEWAY_PUBLICATION_FOLLOWER_H_
#define SRC_GATEWAY_PUBLICATION_FOLLOWER_H_

#include <memory>
#include <optional>
#include <string>

#include "buckthornpath/upstream_selector.h"
#include "gateway/gateway_state.h"
#include "gateway/publication_feed.h"
#include "gateway/publication_state.h"
#include "gateway/read_pauses.h"
#include "kernel/boot_clock.h"
#include "kernel/reported_items.h"

namespace buckthornpath {

/**
 * Keeps the published items current and applies them to the gateway's state.
 * The hubs of a failure domain read the platform's store and watch it for
 * changes; the other gateways follow the feed of a hub, and read the store
 * themselves while no hub confirms its items. Also accepts items from peers,
 * for a process that cannot reach the store.
 */
class PublicationFollower {
 public:
  using Clock = std::chrono::steady_clock;

  explicit PublicationFollower(GatewayState& state);

  /** Starts to follow a hub or the store. */
  void Start();

  /** The feed for gateways that follow this one. */
  PublicationFeed& Feed() { return this->feed; }

  /** @return Address of the hub that is followed; empty if there is none. */
  const std::string& Hub() const { return this->hub; }

  /** @return True if this process reads the store itself. */
  bool IsReadingStore() const { return this->is_reading_store; }

  /** Applies all items of a peer; ignored if their revision is not newer. */
  asio::awaitable<void> ApplyFromPeer(PublishedItems all, std::string address);

  const PublicationState& Published() const { return this->published; }

  /** @return True if all items up to the revision of those that are published
   * are known, and in force. */
  bool HasAppliedAll() const {
    return this->published.IsComplete() && this->applying == 0;
  }

  /** @return True if the last call to the store succeeded. */
  bool IsStoreReachable() const { return this->is_store_reachable; }

  /** @return Time since the store or a peer last confirmed the items. */
  std::chrono::milliseconds Age() const;

 private:
  asio::awaitable<void> FollowStore();
  asio::awaitable<void> ReadNext();
  std::chrono::milliseconds WatchWait() const;
  asio::awaitable<void> FollowHubs();

  /** Applies the records of a hub until another one is to be followed.
   * @throws std::exception If the hub fails or falls silent. */
  asio::awaitable<void> ReadFeed(std::string address);

  /** @return False if the records after it do not tell all: they have only
   * changes to items that are too old to be used, or that are not all. */
  asio::awaitable<bool> ApplyRecord(const std::string& address,
                                    FeedRecord record);

  /** @param is_whole True if a hub has sent all that it has, up to a revision.
   * @return True if its changes do not tell all: this process holds items that
   * it has read elsewhere, and that may be gone at this revision. */
  bool MustAskForAll(const StoreRevision& revision, bool is_whole);
  std::optional<std::string> HubToFollow() const;
  bool MustReadStore() const;

  /** @return True if items may be taken from a gateway that may lag behind the
   * store. A process that starts asks the store first: keys and endpoints that
   * it would use could have been withdrawn. */
  bool MayUseStaleItems() const;
  void StopReadingStore();
  void PublishToFeed();

  /** Merges items and logs a new era. @param merge Member function that does.
   * @return The items that changed. */
  using Merge = std::vector<PublishedItem> (PublicationState::*)(
      const PublishedItems& items,
      PublicationState::TimePoint now,
      ItemSource source);
  std::vector<PublishedItem> MergeItems(Merge merge,
                                        const PublishedItems& items,
                                        const std::string& source);
  asio::awaitable<void> RunDeferredRemovals();

  /** Records that all entries are known, of a time if one is stated. */
  void ConfirmEntries(std::optional<BootClock::time_point> as_of);

  /** @return True if a watch has failed that may be repeated: only a read that
   * fails then as well is an outage. */
  bool MayRepeatWatch(std::chrono::milliseconds read_time,
                      const std::string& fault);
  void RecordStoreResult(std::chrono::milliseconds read_time,
                         const std::string& fault);
  /** @param source Where the items were read, for the log. */
  asio::awaitable<void> ApplyAll(const PublishedItems& all, std::string source);
  asio::awaitable<void> ApplyItems(std::vector<PublishedItem> changed,
                                   PublicationOrigin origin);
  asio::awaitable<void> ApplyItem(PublishedItem item, PublicationOrigin origin);
  void ApplyRemoval(const PublishedItem& item, const PublicationOrigin& origin);

  /** Logs items that have been left out as older than others. */
  void ReportOutdated();

  /** Leaves an item unused. @param reason Empty if it is not for gateways. */
  void IgnoreItem(const PublishedItem& item, const std::string& reason);

  /** @return The origin of items that are read now. */
  PublicationOrigin OriginOf(std::string source) const;
  void ApplyTable(std::shared_ptr<const RoutingTable> table);
  void ApplyEndpoint(const EndpointEntry& entry);

  GatewayState& state;
  std::unique_ptr<PublicationSource> source;
  PublicationState published;
  PublicationFeed feed;
  UpstreamSelector upstream;
  std::string hub;             ///< The hub that is followed, if any.
  FeedPosition feed_position;  ///< Read from the feeds of hubs so far.
  /** Of items that were read elsewhere since the hub sent all; default: none.
   */
  StoreRevision read_elsewhere;
  Clock::time_point hub_expected_until{};
  /** Read from the store by this process without a gap; default: read all. */
  StoreRevision read_revision;
  std::chrono::milliseconds read_timeout;
  ReadPauses pauses;
  ReportedItems reported;
  ReportedItems outdated;  ///< Left out, and logged.
  int applying = 0;        ///< Calls of ApplyItems() that have not ended.
  /** The store has answered at this time or later; nothing if this process has
   * not read it since it began to. */
  std::optional<BootClock::time_point> store_answered_at;
  /** Times of two checks for removals; the event loop has run between them. */
  BootClock::time_point ran_at{};
  BootClock::time_point ran_before{};
  bool is_watch_cut = false;  ///< The last watch failed; it is repeated.
  bool is_reading_store = false;
  bool is_store_reachable = true;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_FOLLOWER_H_
