/** @file publication_follower.h Applies published items as they change. */

#ifndef SRC_GATEWAY_PUBLICATION_FOLLOWER_H_
#define SRC_GATEWAY_PUBLICATION_FOLLOWER_H_

#include <memory>

#include "gateway/gateway_state.h"
#include "gateway/publication_state.h"

namespace buckthornpath {

/**
 * Reads the published items from the store, watches for changes and applies
 * them to the gateway's state. Also accepts items from peers, for a process
 * that cannot reach the store.
 */
class PublicationFollower {
 public:
  using Clock = std::chrono::steady_clock;

  explicit PublicationFollower(GatewayState& state);

  /** Starts reading the store. */
  void Start();

  /** Applies all items of a peer; ignored if their revision is not newer. */
  asio::awaitable<void> ApplyFromPeer(PublishedItems all);

  const PublicationState& Published() const { return this->published; }

  /** @return True if the last call to the store succeeded. */
  bool IsStoreReachable() const { return this->is_store_reachable; }

  /** @return Time since the store or a peer last confirmed the items. */
  std::chrono::milliseconds Age() const;

 private:
  asio::awaitable<void> FollowStore();
  asio::awaitable<void> ReadNext();
  asio::awaitable<void> RunDeferredRemovals();
  void RecordStoreResult(bool is_reachable, const std::string& fault);
  asio::awaitable<void> ApplyAll(const PublishedItems& all);
  asio::awaitable<void> ApplyItems(std::vector<PublishedItem> changed);
  asio::awaitable<void> ApplyItem(PublishedItem item);
  void ApplyTable(std::shared_ptr<const RoutingTable> table);
  void ApplyEndpoint(const EndpointEntry& entry);

  GatewayState& state;
  std::unique_ptr<PublicationSource> source;
  PublicationState published;
  std::uint64_t read_revision = 0;  ///< Read from the store; 0: read all.
  bool is_store_reachable = true;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_FOLLOWER_H_
