/** @file peer_exchange.cc Gossip between gateways. */

#include "gateway/peer_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/wake_signal.h"
#include "kernel/cbor.h"
#include "kernel/http_client.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Gossip interval up to kBaseIntervalPeers peers. */
constexpr milliseconds kBaseInterval{200};

/** Number of peers above which the interval grows in proportion, which keeps
 * the rate of datagrams per process constant. */
constexpr std::size_t kBaseIntervalPeers = 8;

/** Time without a datagram after which a peer is considered dead. */
constexpr milliseconds kPeerTimeout{2500};

/** Interval of the checks for a peer with a newer revision. */
constexpr milliseconds kSyncInterval{250};

/** Timeout for reading all published items from a peer. */
constexpr milliseconds kSyncTimeout{800};

/** Limit of the size of a datagram, set by the receive buffer. Datagrams should
 * avoid IP fragmentation where possible. */
constexpr std::size_t kMaxDatagramBytes = std::size_t{16} * 1024;

/** Limit of peer addresses in one datagram. */
constexpr std::size_t kMaxPeersPerDatagram = 8;

/** Limit of newly cached prompt segments announced in one datagram. */
constexpr std::size_t kMaxSegmentsPerDatagram = 128;

constexpr char kSnapshotPath[] = "/fleet/published";

asio::ip::udp::endpoint UdpEndpoint(const std::string& address) {
  const SocketAddress parsed = ParseSocketAddress(address);
  return {parsed.address(), parsed.port()};
}

json EncodeItems(const PublishedItems& all) {
  json items = json::array();
  for (const PublishedItem& item : all.items) {
    items.push_back({item.key,
                     json::binary({item.value.begin(), item.value.end()}),
                     item.revision});
  }
  return {{"revision", all.revision}, {"items", std::move(items)}};
}

/** @throws json::exception If the value is not a snapshot of items. */
PublishedItems DecodeItems(const json& value) {
  PublishedItems all;
  all.revision = value.at("revision").get<std::uint64_t>();
  for (const json& entry : value.at("items")) {
    const auto& bytes = entry.at(1).get_binary();
    all.items.push_back({entry.at(0).get<std::string>(),
                         std::string(bytes.begin(), bytes.end()),
                         entry.at(2).get<std::uint64_t>(), false});
  }
  return all;
}

}  // namespace

PeerExchange::PeerExchange(GatewayState& state,
                           PublicationFollower& follower,
                           WorkerPool& pool)
    : state(state),
      follower(follower),
      own_address(state.settings.gossip_address),
      socket(state.executor, UdpEndpoint(this->own_address)),
      server(pool,
             ParseSocketAddress(this->own_address),
             {},
             [this](HttpExchange& exchange) { return this->Serve(exchange); }),
      seeds(SplitAddresses(state.settings.gossip_seeds)) {
  std::erase(this->seeds, this->own_address);
}

void PeerExchange::Start() {
  this->server.Start();
  WorkerPool::SpawnOn(this->state.executor, this->Receive());
  WorkerPool::SpawnOn(this->state.executor, this->Send());
  WorkerPool::SpawnOn(this->state.executor, this->SyncFromPeers());
}

milliseconds PeerExchange::Interval() const {
  const std::size_t peer_count =
      std::max(this->peers.size(), kBaseIntervalPeers);
  return kBaseInterval * static_cast<std::int64_t>(peer_count) /
         static_cast<std::int64_t>(kBaseIntervalPeers);
}

json PeerExchange::NextPeerAddresses() {
  // Successive datagrams list different peers, so that each gateway learns of
  // all others.
  json named = json::array();
  auto next = this->peers.upper_bound(this->last_sent_address);
  for (std::size_t i = 0;
       i < std::min(kMaxPeersPerDatagram, this->peers.size()); ++i) {
    if (next == this->peers.end())
      next = this->peers.begin();
    named.push_back(next->first);
    this->last_sent_address = next->first;
    ++next;
  }
  return named;
}

std::string PeerExchange::EncodeDatagram() {
  json uses = json::object();
  for (const auto& [id, endpoint] : this->state.selector.All()) {
    if (endpoint->OwnRequests() != 0 || endpoint->OwnPrefillTokens() != 0)
      uses[id.str()] = {endpoint->OwnRequests(), endpoint->OwnPrefillTokens()};
  }
  const json datagram = {{"from", this->own_address},
                         {"revision", this->follower.Published().Revision()},
                         {"peers", this->NextPeerAddresses()},
                         {"parts", this->EncodeSegments()},
                         {"uses", std::move(uses)}};
  std::string bytes;
  json::to_cbor(datagram, bytes);
  return bytes;
}

json PeerExchange::EncodeSegments() const {
  json segments = json::array();
  for (const SegmentLocation& place : this->outgoing_segments)
    segments.push_back({place.endpoint.str(), place.segment});
  return segments;
}

void PeerExchange::SendToPeers() {
  // Each segment is sent in two datagrams, as one may be lost.
  std::vector<SegmentLocation> new_segments =
      this->state.selector.TakeNewSegments();
  if (new_segments.size() > kMaxSegmentsPerDatagram)
    new_segments.resize(kMaxSegmentsPerDatagram);
  this->outgoing_segments =
      std::exchange(this->previous_segments, new_segments);
  this->outgoing_segments.insert(this->outgoing_segments.end(),
                                 new_segments.begin(), new_segments.end());
  std::vector<std::string> targets;
  for (const auto& [address, peer] : this->peers)
    targets.push_back(address);
  for (const std::string& seed : this->seeds) {
    if (!this->peers.contains(seed))
      targets.push_back(seed);
  }
  const std::string bytes = this->EncodeDatagram();
  for (const std::string& target : targets) {
    boost::system::error_code error;
    this->socket.send_to(asio::buffer(bytes), UdpEndpoint(target), 0, error);
    if (error)
      ProcessMetrics().Add("peer_send_faults_total");
  }
}

asio::awaitable<void> PeerExchange::Send() {
  while (true) {
    this->SendToPeers();
    this->RemoveSilentPeers(Clock::now());
    this->state.WakeAllWaiting();
    co_await SleepFor(this->Interval());
  }
}

void PeerExchange::RemoveSilentPeers(Clock::time_point now) {
  const milliseconds timeout = kPeerTimeout + this->Interval() * 2;
  std::vector<std::string> silent;
  for (const auto& [address, peer] : this->peers) {
    if (now - peer.last_seen > timeout)
      silent.push_back(address);
  }
  for (const std::string& address : silent)
    this->RemovePeer(address);
}

void PeerExchange::RemovePeer(const std::string& address) {
  LogLine(LogLevel::kNotice, "peer_lost", {{"peer", address}});
  this->peers.erase(address);
  this->ApplyLoads(this->loads.Forget(address));
  this->state.SetGatewayCount(this->peers.size() + 1);
}

void PeerExchange::ApplyLoads(const PeerLoads::Changed& changed) {
  for (const EndpointId& id : changed) {
    const EndpointUsage sum = this->loads.Sum(id);
    this->state.selector.SetPeerLoad(id, sum.requests, sum.prefill_tokens);
  }
}

asio::awaitable<void> PeerExchange::Receive() {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (true) {
    asio::ip::udp::endpoint sender;
    const auto [error, size] = co_await this->socket.async_receive_from(
        asio::buffer(buffer), sender, kAwaitResult);
    if (error)
      continue;
    try {
      this->HandleDatagram(std::string_view(buffer).substr(0, size));
    } catch (const json::exception& fault) {
      LogLine(LogLevel::kWarning, "peer_message_unreadable",
              {{"reason", fault.what()}});
    } catch (const std::invalid_argument& fault) {
      LogLine(LogLevel::kWarning, "peer_message_unreadable",
              {{"reason", fault.what()}});
    }
  }
}

void PeerExchange::HandleDatagram(std::string_view datagram) {
  const json message = ParseCbor(datagram);
  const auto sender_address = message.at("from").get<std::string>();
  ParseSocketAddress(sender_address);
  if (sender_address == this->own_address)
    return;
  const auto [peer, added] = this->peers.try_emplace(sender_address);
  peer->second.last_seen = Clock::now();
  peer->second.revision = message.at("revision").get<std::uint64_t>();
  if (added) {
    LogLine(LogLevel::kNotice, "peer_found", {{"peer", sender_address}});
    this->state.SetGatewayCount(this->peers.size() + 1);
  }
  EndpointUsageMap uses;
  for (const auto& [id, use] : message.at("uses").items()) {
    uses[EndpointId(id)] = {use.at(0).get<std::int64_t>(),
                            use.at(1).get<std::int64_t>()};
  }
  this->ApplyLoads(this->loads.SetLoads(sender_address, std::move(uses)));
  for (const json& place : message.at("parts")) {
    this->state.selector.RecordSegment(
        {EndpointId(place.at(0).get<std::string>()),
         place.at(1).get<std::uint64_t>()},
        peer->second.last_seen);
  }
  for (const json& named : message.at("peers")) {
    const auto address = named.get<std::string>();
    if (address == this->own_address || this->peers.contains(address))
      continue;
    boost::system::error_code ignored;
    const std::string bytes = this->EncodeDatagram();
    this->socket.send_to(asio::buffer(bytes), UdpEndpoint(address), 0, ignored);
  }
}

asio::awaitable<void> PeerExchange::SyncFromPeers() {
  while (true) {
    co_await SleepFor(kSyncInterval);
    const std::uint64_t own_revision = this->follower.Published().Revision();
    std::string newest_peer;
    std::uint64_t revision = own_revision;
    for (const auto& [address, peer] : this->peers) {
      if (peer.revision > revision) {
        newest_peer = address;
        revision = peer.revision;
      }
    }
    if (newest_peer.empty())
      continue;
    // The store usually delivers the revision first.
    co_await SleepFor(kSyncInterval);
    if (this->follower.Published().Revision() >= revision)
      continue;
    std::string fault;
    try {
      HttpRequest request;
      request.target = kSnapshotPath;
      const HttpResponse response = co_await HttpFetch(
          ParseSocketAddress(newest_peer), std::move(request), kSyncTimeout);
      PublishedItems all = DecodeItems(ParseCbor(response.body));
      co_await this->follower.ApplyFromPeer(std::move(all));
    } catch (const std::exception& error) {
      fault = error.what();
    }
    if (!fault.empty()) {
      LogLine(LogLevel::kNotice, "peer_unread",
              {{"peer", newest_peer}, {"reason", fault}});
    }
  }
}

asio::awaitable<void> PeerExchange::Serve(HttpExchange& exchange) {
  HttpResponse response;
  if (exchange.request().Path() == kSnapshotPath) {
    response.headers.Append("Content-Type", "application/cbor");
    json::to_cbor(EncodeItems(this->follower.Published().All()), response.body);
  } else {
    response.status = 404;
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace buckthornpath
