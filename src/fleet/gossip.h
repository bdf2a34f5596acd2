/** @file gossip.h Gossip protocol between the processes of the fleet. */

#ifndef SRC_FLEET_GOSSIP_H_
#define SRC_FLEET_GOSSIP_H_

#include <array>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "fleet/configuration_store.h"
#include "fleet/member_list.h"
#include "kernel/role.h"
#include "wire/gossip_codec.h"

namespace buckthornpath {

using GossipAddress = asio::ip::udp::endpoint;

/** A peer did not answer, or does not hold the value requested. */
class PeerFailed : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/**
 * Push-pull gossip over UDP. Once per interval the process sends one random
 * peer the index version of its active configuration and member updates, and
 * receives the same in return. New updates are also forwarded at once to a few
 * peers. Everything runs on one strand.
 */
class Gossip {
 public:
  /** Called on the strand when a peer's active index is newer. */
  using OnNewerIndex =
      std::function<void(const GossipAddress&, const IndexVersion&)>;

  /**
   * Binds the gossip address; gossip is disabled if the settings name none.
   * @throws boost::system::system_error If the address cannot be bound.
   */
  Gossip(const RoleContext& context,
         MemberList& members,
         const ConfigurationStore& configuration,
         OnNewerIndex on_newer_index);

  bool IsEnabled() const { return this->socket.has_value(); }

  void Start();

  /** Exchanges with a few random peers now. May be called by any thread. */
  void ExchangeNow();

  /** Exchanges with several peers and waits until the time to answer is over.
   */
  asio::awaitable<void> ExchangeAtStart();

  /**
   * Fetches a value from a peer in chunks, at a limited rate. On the strand
   * only.
   * @param name "document/DIGEST" or "index/R1-D1/R2-D2".
   * @throws PeerFailed If the peer does not answer or has no such value.
   */
  asio::awaitable<std::string> Pull(GossipAddress peer, std::string name);

  /**
   * Fetches a value from the first of a few random peers that can send it.
   * @throws PeerFailed If none of them can.
   */
  asio::awaitable<std::string> PullFromAny(std::string name);

  const Strand& strand() const { return this->own_strand; }

  /** @return Time since the last exchange was received; nothing before it. */
  std::optional<std::chrono::milliseconds> TimeSinceLastExchange() const;

 private:
  /** A request that awaits its answer. */
  struct PendingRequest {
    explicit PendingRequest(const Strand& strand) : timer(strand) {}
    asio::steady_timer timer;
    std::optional<GossipMessage> answer;
  };

  asio::awaitable<void> ReceiveForever();
  asio::awaitable<void> ExchangeForever();

  /** Exchanges with a peer; if it is on the VM list and silent, suspects it. */
  asio::awaitable<void> ExchangeWith(Peer peer);

  /** Sends a request. @return The answer; nothing after the time-out. */
  asio::awaitable<std::optional<GossipMessage>> SendRequest(
      GossipAddress peer,
      GossipMessage message);

  void Handle(const GossipAddress& from, const GossipDatagram& datagram);
  void HandleExchange(const GossipAddress& from,
                      const GossipExchange& exchange);
  GossipExchange MakeExchange(bool is_reply);

  /** @return The chunk requested; one that is not held for unknown names. */
  ValueChunk FindChunk(const ValueChunkRequest& request) const;
  void Send(const GossipAddress& peer, const GossipDatagram& datagram);
  std::vector<Peer> ChoosePeers(std::size_t max_count);

  RoleContext context;
  MemberList& members;
  const ConfigurationStore& configuration;
  OnNewerIndex on_newer_index;
  GossipCodec codec;
  Strand own_strand;
  std::optional<asio::ip::udp::socket> socket;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pending;
  std::mt19937_64 random{std::random_device{}()};
  /** Uptime() in milliseconds; -1 at first. */
  std::atomic<std::int64_t> last_exchange_at = -1;
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_GOSSIP_H_
