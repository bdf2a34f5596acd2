/** @file peer_exchange.h What gateways tell each other. */

#ifndef SRC_GATEWAY_PEER_EXCHANGE_H_
#define SRC_GATEWAY_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <string>

#include "buckthornpath/peer_loads.h"
#include "gateway/gateway_state.h"
#include "gateway/publication_follower.h"
#include "kernel/http_server.h"

namespace buckthornpath {

/**
 * Datagrams with the own load at each endpoint, the revision held and the
 * peers known; and a port from which a peer reads all that is published.
 */
class PeerExchange {
 public:
  using Clock = std::chrono::steady_clock;

  PeerExchange(GatewayState& state,
               PublicationFollower& follower,
               WorkerPool& pool);

  /** Binds and starts to exchange. */
  void Start();

  /** @return Peers heard of within their lifetime. */
  std::size_t Size() const { return this->peers.size(); }

 private:
  struct Peer {
    Clock::time_point heard_at{};
    std::uint64_t revision = 0;
  };

  asio::awaitable<void> Receive();
  asio::awaitable<void> Send();
  asio::awaitable<void> CatchUp();
  asio::awaitable<void> Serve(HttpExchange& exchange);
  void Take(std::string_view datagram);
  void TellAll();
  std::string Datagram();
  nlohmann::json PeersToName();
  nlohmann::json PartsToTell() const;
  void Drop(const std::string& address);
  void NoteLoads(const PeerLoads::Changed& changed);
  void DropSilent(Clock::time_point now);
  std::chrono::milliseconds Interval() const;

  GatewayState& state;
  PublicationFollower& follower;
  std::string own_address;
  asio::ip::udp::socket socket;
  HttpServer server;
  std::map<std::string, Peer> peers;  ///< By address.
  std::string named_last;             ///< Address that was named last.
  std::vector<std::string> seeds;
  PeerLoads loads;
  std::vector<PartPlace> last_parts;  ///< Named first in the last datagram.
  std::vector<PartPlace> told_parts;  ///< Named in the datagram being made.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PEER_EXCHANGE_H_
