/** @file peer_exchange.h Gossip between gateways. */

#ifndef SRC_GATEWAY_PEER_EXCHANGE_H_
#define SRC_GATEWAY_PEER_EXCHANGE_H_

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>
#include <vector>

#include "buckthornpath/fleet_loads.h"
#include "gateway/gateway_message.h"
#include "gateway/gateway_state.h"
#include "gateway/publication_follower.h"
#include "gateway/stream_origin_exchange.h"
#include "kernel/http_server.h"

namespace buckthornpath {

/**
 * Gossip between gateways. Members of a failure domain report their load to its
 * hubs; the leaders of the failure domains exchange sums and hand them on to
 * their members, together with the roster and newly cached prompt segments.
 * Serves the published items over HTTP at the same address.
 */
class PeerExchange {
 public:
  using Clock = std::chrono::steady_clock;

  PeerExchange(GatewayState& state,
               PublicationFollower& follower,
               WorkerPool& pool);

  /** Starts the HTTP server, and sending and receiving. */
  void Start();

  /** @return Number of other gateways that are considered alive. */
  std::size_t PeerCount() const;

  /** @return Role of this gateway, the hubs and the age of the loads. */
  nlohmann::json Status() const;

 private:
  /** Segments to announce; each is sent in two rounds, as datagrams get lost.
   */
  struct SegmentOutbox {
    std::vector<SegmentLocation> current;
    std::vector<SegmentLocation> previous;

    void Add(const SegmentLocation& place);
    std::vector<SegmentLocation> TakeRound();
  };

  asio::awaitable<void> Receive();
  asio::awaitable<void> Send();

  /** Waits for the next round; one that was asked for begins earlier. */
  asio::awaitable<void> AwaitRound(std::chrono::milliseconds interval);
  asio::awaitable<void> SyncFromPeers();
  asio::awaitable<void> Serve(HttpExchange& exchange);
  void HandleDatagram(std::string_view datagram);

  /** @return True if a message has only news of streams, and its sender is of
   * another failure domain and not known: all gateways send such news to the
   * hubs here, whose rosters have to stay small. */
  bool IsNewsOfStranger(const GatewayMessage& message) const;
  void HandleReport(GatewayMessage& message);
  void HandleDigest(GatewayMessage& message);
  void HandleView(GatewayMessage& message);
  void HandleVersion1(GatewayMessage& message);

  void SendRound();
  void SendReport();
  void SendAsLeader(bool with_roster);
  void SendHellos(Clock::time_point now);
  void SendRosterTo(const GatewayMember& receiver);
  void SendTo(const std::string& address, const GatewayMessage& message);
  void SendBytes(const std::string& address, const std::string& bytes);

  GatewayMessage MakeMessage(GatewayMessageKind kind) const;
  GatewayMessage MakeHello() const;
  void SendStreamNews(const std::vector<std::string>& addresses,
                      const StreamNews& news);
  EndpointUsageMap OwnUses() const;
  std::vector<RosterEntry> RosterFor(const FailureDomainId& domain) const;
  std::vector<std::string> HubsOfOtherDomains() const;

  bool RecordContact(const GatewayMember& member, Clock::time_point heard_at);
  void RecordLoadsTime(Clock::time_point time);
  void ApplyLoads(const FleetLoads::Changed& changed);
  void RemoveSilentPeers(Clock::time_point now);
  void UpdateRole();
  void UpdateGatewayCount();
  std::chrono::milliseconds Interval() const;

  GatewayState& state;
  PublicationFollower& follower;
  asio::ip::udp::socket socket;
  HttpServer server;
  std::vector<std::string> seeds;
  FleetLoads loads;
  std::map<std::string, StoreRevision> revisions;  ///< By gateway address.
  HubRole role = HubRole::kMember;
  std::vector<std::string> hubs;   ///< Of the own failure domain.
  std::size_t reported_count = 0;  ///< Gateways that the leader knows.
  Clock::time_point view_at{};     ///< Last view with loads.
  Clock::time_point hello_at{};    ///< Last hello to unknown seeds.
  std::size_t round = 0;
  WakeSignal early_round;  ///< Set if a round must not wait for its time.
  SegmentOutbox own_segments;
  SegmentOutbox domain_segments;   ///< Leader: from members and itself.
  SegmentOutbox foreign_segments;  ///< Leader: from other failure domains.
  StreamOriginExchange streams;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PEER_EXCHANGE_H_
