/** @file gossip.h Exchanges news with other processes of the fleet. */

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

/** A peer did not answer, or does not hold what it was asked for. */
class PeerFailed : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/**
 * Push-pull gossip by datagrams. Each interval the process tells one random
 * peer what it has in force and knows of members, and hears the same in
 * return. News is passed on at once to a few peers more. All of it runs on one
 * strand.
 */
class Gossip {
 public:
  /** Called on the strand when a peer has a greater index in force. */
  using OnGreaterIndex =
      std::function<void(const GossipAddress&, const IndexStamp&)>;

  /** Binds the gossip address, if there is one. */
  Gossip(const RoleContext& context,
         MemberList& members,
         const ConfigurationStore& configuration,
         OnGreaterIndex on_greater_index);

  bool IsEnabled() const { return this->socket.has_value(); }

  void Start();

  /** Tells a few random peers at once; from any thread. */
  void Spread();

  /** Exchanges with peers until all asked have answered or timed out. */
  asio::awaitable<void> AskAtStart();

  /**
   * Reads a value from a peer, piece by piece and paced. On the strand only.
   * @throws PeerFailed If the peer does not answer or has no such value.
   */
  asio::awaitable<std::string> Pull(GossipAddress peer, std::string name);

  /** Reads a value from any of a few random peers. @throws PeerFailed */
  asio::awaitable<std::string> PullFromAny(std::string name);

  const Strand& strand() const { return this->own_strand; }

  /** @return Time since a peer was last heard; nothing if none ever was. */
  std::optional<std::chrono::milliseconds> Silence() const;

 private:
  /** A request that waits for its answer. */
  struct Pending {
    explicit Pending(const Strand& strand) : timer(strand) {}
    asio::steady_timer timer;
    std::optional<GossipMessage> answer;
  };

  asio::awaitable<void> ReceiveAll();
  asio::awaitable<void> ExchangeForever();

  /** Exchanges with one peer; a listed one that is silent is suspected. */
  asio::awaitable<void> ExchangeWith(Peer peer);

  /** @return The answer, or nothing if it did not come in time. */
  asio::awaitable<std::optional<GossipMessage>> Ask(GossipAddress peer,
                                                    GossipMessage message);

  void Handle(const GossipAddress& from, const GossipDatagram& datagram);
  void HandleExchange(const GossipAddress& from,
                      const GossipExchange& exchange);
  GossipExchange MakeExchange(bool is_answer);
  Piece FindPiece(const PieceRequest& request) const;
  void Send(const GossipAddress& peer, const GossipDatagram& datagram);
  std::vector<Peer> ChoosePeers(std::size_t most);

  RoleContext context;
  MemberList& members;
  const ConfigurationStore& configuration;
  OnGreaterIndex on_greater_index;
  GossipCodec codec;
  Strand own_strand;
  std::optional<asio::ip::udp::socket> socket;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending;
  std::mt19937_64 random{std::random_device{}()};
  std::atomic<std::int64_t> heard_at = -1;  ///< Milliseconds of BootClock.
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_GOSSIP_H_
