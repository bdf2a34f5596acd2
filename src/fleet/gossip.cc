/** @file gossip.cc Gossip protocol between the processes of the fleet. */

#include "fleet/gossip.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "fleet/index_delta.h"
#include "fleet/uptime.h"
#include "kernel/control_traffic.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "wire/load_report_json.h"
#include "wire/message_codec.h"

namespace buckthornpath {

namespace {

/** IPv4 and UDP headers, counted as traffic with each datagram. */
constexpr std::size_t kIpUdpHeaderBytes = 28;

constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxChunkBytes = 1000;
constexpr std::size_t kMaxValueBytes = std::size_t{1024} * 1024;

/** Member updates in one datagram. */
constexpr std::size_t kMaxUpdatesPerExchange = 6;

constexpr std::size_t kPeersAtStart = 8;
constexpr std::size_t kFanout = 2;
constexpr std::size_t kMaxPullPeers = 3;
constexpr int kMaxUnansweredRequests = 4;
constexpr std::chrono::milliseconds kAnswerTimeout{300};

/** Chunks of a value fetched without delay; a pause precedes each later one. */
constexpr std::size_t kBurstChunks = 16;
constexpr std::chrono::milliseconds kChunkInterval{500};

GossipAddress ToGossipAddress(const SocketAddress& address) {
  return {address.address(), address.port()};
}

/** Parses "index/R1-D1/R2-D2". @return Nothing if it is malformed. */
std::optional<std::pair<IndexVersion, IndexVersion>> ParseDeltaName(
    const std::string& name) {
  IndexVersion from;
  IndexVersion to;
  if (std::sscanf(name.c_str(), "index/%lu-%lu/%lu-%lu", &from.revision,
                  &from.digest, &to.revision, &to.digest) != 4) {
    return std::nullopt;
  }
  return std::pair(from, to);
}

}  // namespace

Gossip::Gossip(const RoleContext& context,
               MemberList& members,
               const ConfigurationStore& configuration,
               OnNewerIndex on_newer_index)
    : context(context),
      members(members),
      configuration(configuration),
      on_newer_index(std::move(on_newer_index)),
      codec(context.settings.ticket_secret),
      own_strand(context.pool.NewStrand()) {
  const std::string& address = context.settings.gossip_address;
  if (!address.empty()) {
    this->socket.emplace(this->own_strand,
                         ToGossipAddress(ParseSocketAddress(address)));
  }
}

void Gossip::Start() {
  if (!this->IsEnabled())
    return;
  asio::co_spawn(this->own_strand, this->ReceiveForever(), asio::detached);
  asio::co_spawn(this->own_strand, this->ExchangeForever(), asio::detached);
}

std::optional<std::chrono::milliseconds> Gossip::TimeSinceLastExchange() const {
  const std::int64_t last_exchange = this->last_exchange_at;
  if (last_exchange < 0)
    return std::nullopt;
  return Uptime() - std::chrono::milliseconds(last_exchange);
}

asio::awaitable<void> Gossip::ReceiveForever() {
  std::array<char, 2 * kMaxDatagramBytes> buffer{};
  while (true) {
    GossipAddress from;
    auto [error, size] = co_await this->socket->async_receive_from(
        asio::buffer(buffer), from, kAwaitResult);
    if (error)
      continue;
    CountControlTraffic(ControlTrafficKind::kGossip,
                        ControlDirection::kReceived, size + kIpUdpHeaderBytes);
    try {
      this->Handle(from, this->codec.Decode({buffer.data(), size}));
    } catch (const MalformedMessage& fault) {
      ProcessMetrics().Add("malformed_messages_total");
      LogLine(LogLevel::kWarning, "malformed_gossip",
              {{"reason", fault.what()}});
    }
  }
}

void Gossip::Send(const GossipAddress& peer, const GossipDatagram& datagram) {
  const std::string bytes = this->codec.Encode(datagram);
  boost::system::error_code ignored;
  this->socket->send_to(asio::buffer(bytes), peer, 0, ignored);
  CountControlTraffic(ControlTrafficKind::kGossip, ControlDirection::kSent,
                      bytes.size() + kIpUdpHeaderBytes);
}

GossipExchange Gossip::MakeExchange(bool is_reply) {
  GossipExchange exchange;
  exchange.is_reply = is_reply;
  exchange.sender = this->members.Self();
  exchange.active_index = this->configuration.Active()->index.version;
  exchange.updates = this->members.TakeUpdates(kMaxUpdatesPerExchange);
  return exchange;
}

void Gossip::HandleExchange(const GossipAddress& from,
                            const GossipExchange& exchange) {
  this->last_exchange_at = Uptime().count();
  bool is_new = this->members.ApplyUpdate(exchange.sender);
  for (const MemberUpdate& update : exchange.updates)
    is_new = this->members.ApplyUpdate(update) || is_new;
  if (this->configuration.ShouldFetch(exchange.active_index))
    this->on_newer_index(from, exchange.active_index);
  if (is_new && this->members.HasUnsentUpdates())
    this->ExchangeNow();
}

void Gossip::Handle(const GossipAddress& from, const GossipDatagram& datagram) {
  if (const auto* exchange = std::get_if<GossipExchange>(&datagram.message)) {
    this->HandleExchange(from, *exchange);
    if (!exchange->is_reply) {
      GossipExchange answer = this->MakeExchange(true);
      const auto sender_update = this->members.FindMember(exchange->sender.vm);
      if (sender_update)
        answer.updates.push_back(*sender_update);
      this->Send(from, {datagram.nonce, std::move(answer)});
      return;
    }
  }
  if (const auto* request = std::get_if<ValueChunkRequest>(&datagram.message)) {
    this->Send(from, {datagram.nonce, this->FindChunk(*request)});
    return;
  }
  const auto found = this->pending.find(datagram.nonce);
  if (found == this->pending.end())
    return;
  found->second->answer = datagram.message;
  found->second->timer.cancel();
}

ValueChunk Gossip::FindChunk(const ValueChunkRequest& request) const {
  constexpr std::string_view kDocument = "document/";
  const ConfigurationPtr active = this->configuration.Active();
  std::string value;
  if (request.name.compare(0, kDocument.size(), kDocument) == 0) {
    const auto found =
        active->texts.find(request.name.substr(kDocument.size()));
    if (found == active->texts.end())
      return {};
    value = *found->second;
  } else {
    const auto versions = ParseDeltaName(request.name);
    if (!versions || versions->second != active->index.version)
      return {};
    const auto from = this->configuration.FindRecent(versions->first);
    value = EncodeIndexDelta(from.value_or(Index{}), active->index);
    value.insert(value.begin(), from ? 'd' : 'w');
  }
  if (request.offset >= value.size())
    return {};
  return {true, static_cast<std::uint32_t>(value.size()), request.offset,
          value.substr(request.offset, kMaxChunkBytes)};
}

asio::awaitable<std::optional<GossipMessage>> Gossip::SendRequest(
    GossipAddress peer,
    GossipMessage message) {
  const std::uint64_t nonce = this->random();
  auto awaited = std::make_shared<PendingRequest>(this->own_strand);
  this->pending[nonce] = awaited;
  const GossipDatagram datagram{nonce, std::move(message)};
  this->Send(peer, datagram);
  awaited->timer.expires_after(kAnswerTimeout);
  co_await awaited->timer.async_wait(kAwaitResult);
  this->pending.erase(nonce);
  co_return awaited->answer;
}

asio::awaitable<std::string> Gossip::Pull(GossipAddress peer,
                                          std::string name) {
  std::string value;
  std::size_t size = 1;
  int unanswered = 0;
  std::size_t chunks = 0;
  while (value.size() < size) {
    GossipMessage request =
        ValueChunkRequest{name, static_cast<std::uint32_t>(value.size())};
    const auto answer = co_await this->SendRequest(peer, std::move(request));
    const ValueChunk* chunk =
        answer ? std::get_if<ValueChunk>(&*answer) : nullptr;
    if (chunk == nullptr) {
      if (++unanswered >= kMaxUnansweredRequests)
        throw PeerFailed("peer did not answer requests for '" + name + "'");
      continue;
    }
    if (!chunk->is_found || chunk->size > kMaxValueBytes ||
        chunk->offset != value.size() || chunk->data.empty()) {
      throw PeerFailed("peer does not hold '" + name +
                       "' or sent an invalid chunk");
    }
    size = chunk->size;
    value += chunk->data;
    if (++chunks >= kBurstChunks)
      co_await SleepFor(kChunkInterval);
  }
  co_return value;
}

asio::awaitable<std::string> Gossip::PullFromAny(std::string name) {
  std::string reason = "no gossip peer is known";
  for (const Peer& peer : this->ChoosePeers(kMaxPullPeers)) {
    try {
      co_return co_await this->Pull(ToGossipAddress(peer.address), name);
    } catch (const PeerFailed& failed) {
      reason = failed.what();
    }
  }
  throw PeerFailed(reason);
}

std::vector<Peer> Gossip::ChoosePeers(std::size_t max_count) {
  std::vector<Peer> peers = this->members.Peers();
  std::shuffle(peers.begin(), peers.end(), this->random);
  if (peers.size() > max_count)
    peers.resize(max_count);
  return peers;
}

asio::awaitable<void> Gossip::ExchangeWith(Peer peer) {
  GossipMessage message = this->MakeExchange(false);
  const auto sent_at = Uptime();
  const auto answer = co_await this->SendRequest(ToGossipAddress(peer.address),
                                                 std::move(message));
  if (answer || peer.vm.empty())
    co_return;
  // If this process was paused, the time-out does not indicate a failed peer.
  if (Uptime() - sent_at < 2 * kAnswerTimeout)
    this->members.RecordProbeFailure(peer.vm);
}

asio::awaitable<void> Gossip::ExchangeForever() {
  while (true) {
    if (this->members.Tick()) {
      ProcessMetrics().Add("pauses_total");
      LogLine(LogLevel::kWarning, "woke_after_pause");
      this->ExchangeNow();
    }
    for (Peer& peer : this->ChoosePeers(1)) {
      asio::co_spawn(this->own_strand, this->ExchangeWith(std::move(peer)),
                     asio::detached);
    }
    const auto interval = this->context.settings.gossip_interval;
    const std::chrono::milliseconds jitter(this->random() %
                                           (interval.count() / 2 + 1));
    co_await SleepFor(interval * 3 / 4 + jitter);
  }
}

void Gossip::ExchangeNow() {
  if (!this->IsEnabled())
    return;
  asio::post(this->own_strand, [this] {
    for (Peer& peer : this->ChoosePeers(kFanout)) {
      asio::co_spawn(this->own_strand, this->ExchangeWith(std::move(peer)),
                     asio::detached);
    }
  });
}

asio::awaitable<void> Gossip::ExchangeAtStart() {
  if (!this->IsEnabled())
    co_return;
  for (Peer& peer : this->ChoosePeers(kPeersAtStart)) {
    asio::co_spawn(this->own_strand, this->ExchangeWith(std::move(peer)),
                   asio::detached);
  }
  co_await SleepFor(kAnswerTimeout);
}

}  // namespace buckthornpath
