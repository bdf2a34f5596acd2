/** @file publication_follower.h Keeps what is published in force. */

#ifndef SRC_GATEWAY_PUBLICATION_FOLLOWER_H_
#define SRC_GATEWAY_PUBLICATION_FOLLOWER_H_

#include <memory>

#include "gateway/gateway_state.h"
#include "gateway/publication_state.h"

namespace buckthornpath {

/**
 * Reads the store, follows its changes, and puts them in force. Peers may hand
 * over what they know, for a process that the store does not serve.
 */
class PublicationFollower {
 public:
  using Clock = std::chrono::steady_clock;

  explicit PublicationFollower(GatewayState& state);

  /** Starts to read. */
  void Start();

  /** Takes all that a peer knows; older than what is held changes nothing. */
  asio::awaitable<void> TakeFromPeer(PublishedItems all);

  const PublicationState& Held() const { return this->held; }

  /** @return True if the last call to the store was answered. */
  bool IsStoreReached() const { return this->is_store_reached; }

  /** @return Time since the store or a peer last confirmed what is held. */
  std::chrono::milliseconds Age() const;

 private:
  asio::awaitable<void> Follow();
  asio::awaitable<void> Step();
  asio::awaitable<void> SweepLapsed();
  void NoteStore(bool reached, const std::string& fault);
  asio::awaitable<void> PutAllInForce(const PublishedItems& all);
  asio::awaitable<void> PutInForce(std::vector<PublishedItem> changed);
  asio::awaitable<void> PutItemInForce(PublishedItem item);
  void PutTableInForce(std::shared_ptr<const RoutingTable> table);
  void PutEndpointInForce(const EndpointEntry& entry);

  GatewayState& state;
  std::unique_ptr<PublicationSource> source;
  PublicationState held;
  std::uint64_t read_revision = 0;  ///< Of the store itself; 0: list first.
  bool is_store_reached = true;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_FOLLOWER_H_
