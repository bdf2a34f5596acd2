/** @file peer_exchange.h Gossip between gateways. */

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
 * Gossip between gateways. Sends datagrams with this gateway's load at each
 * endpoint, the revision it holds and the peers it knows. Peers with an older
 * revision read all published items over HTTP at the same address.
 */
class PeerExchange {
 public:
  using Clock = std::chrono::steady_clock;

  PeerExchange(GatewayState& state,
               PublicationFollower& follower,
               WorkerPool& pool);

  /** Starts the HTTP server, and sending and receiving. */
  void Start();

  /** @return Number of peers that are considered alive. */
  std::size_t PeerCount() const { return this->peers.size(); }

 private:
  struct Peer {
    Clock::time_point last_seen{};
    std::uint64_t revision = 0;
  };

  asio::awaitable<void> Receive();
  asio::awaitable<void> Send();
  asio::awaitable<void> SyncFromPeers();
  asio::awaitable<void> Serve(HttpExchange& exchange);
  void HandleDatagram(std::string_view datagram);
  void SendToPeers();
  std::string EncodeDatagram();
  nlohmann::json NextPeerAddresses();
  nlohmann::json EncodeSegments() const;
  void RemovePeer(const std::string& address);
  void ApplyLoads(const PeerLoads::Changed& changed);
  void RemoveSilentPeers(Clock::time_point now);
  std::chrono::milliseconds Interval() const;

  GatewayState& state;
  PublicationFollower& follower;
  std::string own_address;
  asio::ip::udp::socket socket;
  HttpServer server;
  std::map<std::string, Peer> peers;  ///< By address.
  std::string last_sent_address;      ///< Address that was sent last.
  std::vector<std::string> seeds;
  PeerLoads loads;
  std::vector<SegmentLocation>
      previous_segments;  ///< New in the last datagram.
  std::vector<SegmentLocation> outgoing_segments;  ///< In the current datagram.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PEER_EXCHANGE_H_
