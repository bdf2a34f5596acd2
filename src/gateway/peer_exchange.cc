/** @file peer_exchange.cc Gossip between gateways. */

#include "gateway/peer_exchange.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "gateway/peer_snapshot.h"
#include "gateway/publication_feed.h"
#include "kernel/bodiless_port.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Gossip interval of failure domains with up to kBaseIntervalMembers gateways.
 * A prompt that many want at once crowds its home until its load is known. */
constexpr milliseconds kBaseInterval{100};

/** Members of a failure domain above which the interval grows in proportion,
 * which keeps the rate of datagrams of its leader constant. */
constexpr std::size_t kBaseIntervalMembers = 24;

/** Interval until a process that starts has found other gateways, and the time
 * after which it stops to hurry. */
constexpr milliseconds kStartInterval{50};
constexpr int kStartRounds = 40;

/** Interval between rounds of which one is early. */
constexpr milliseconds kMinInterval{20};

/** Rounds after which the leader sends the roster again. */
constexpr std::size_t kRosterRounds = 6;

/** Time without word from a gateway after which it is considered dead, in
 * addition to some intervals. */
constexpr milliseconds kPeerTimeout{1000};
constexpr int kPeerTimeoutIntervals = 5;

/** Intervals without a view after which a member looks for another hub. */
constexpr int kViewTimeoutIntervals = 8;

/** Members that are asked for hubs in each round then. */
constexpr std::size_t kMaxAskedMembers = 3;

/** Limit of addresses that are named to gateways of version 1. */
constexpr std::size_t kMaxKnownAddresses = 32;

/** Interval of messages to seeds that are not known to be alive. */
constexpr milliseconds kHelloInterval{1000};

/** Interval of the checks for a peer with a newer revision. */
constexpr milliseconds kSyncInterval{250};

/** Timeout for reading all published items from a peer. */
constexpr milliseconds kSyncTimeout{800};

/** Limit of the size of a datagram. */
constexpr std::size_t kMaxDatagramBytes = std::size_t{64} * 1024;

/** Limit of segments announced in one round. */
constexpr std::size_t kMaxSegmentsPerRound = 128;

asio::ip::udp::endpoint UdpEndpoint(const std::string& address) {
  const SocketAddress parsed = ParseSocketAddress(address);
  return {parsed.address(), parsed.port()};
}

/** @return True for a gateway of version 1, which names no failure domain and
 * exchanges its load with all others directly. */
bool IsVersion1(const GatewayMember& member) {
  return member.failure_domain.str().empty();
}

std::string NameOf(HubRole role) {
  constexpr std::array<const char*, 3> kNames = {"member", "hub", "leader"};
  return kNames.at(static_cast<std::size_t>(role));
}

bool Contains(const std::vector<std::string>& list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

}  // namespace

void PeerExchange::SegmentOutbox::Add(const SegmentLocation& place) {
  if (this->current.size() < kMaxSegmentsPerRound)
    this->current.push_back(place);
}

std::vector<SegmentLocation> PeerExchange::SegmentOutbox::TakeRound() {
  std::vector<SegmentLocation> round = std::move(this->previous);
  round.insert(round.end(), this->current.begin(), this->current.end());
  this->previous = std::exchange(this->current, {});
  return round;
}

PeerExchange::PeerExchange(GatewayState& state,
                           PublicationFollower& follower,
                           WorkerPool& pool)
    : state(state),
      follower(follower),
      socket(state.executor, UdpEndpoint(state.settings.gossip_address)),
      server(pool,
             ParseSocketAddress(state.settings.gossip_address),
             BodilessPortLimits(),
             [this](HttpExchange& exchange) { return this->Serve(exchange); }),
      seeds(SplitAddresses(state.settings.gossip_seeds)),
      early_round(state.executor),
      streams(state,
              [this](const std::vector<std::string>& addresses,
                     const StreamNews& news) {
                this->SendStreamNews(addresses, news);
              }) {
  state.announce_crashes = [this] { this->early_round.Set(); };
  std::erase(this->seeds, state.settings.gossip_address);
}

void PeerExchange::Start() {
  this->server.Start();
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->Receive(); });
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->Send(); });
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->SyncFromPeers(); });
  this->streams.Start();
}

std::size_t PeerExchange::PeerCount() const {
  return this->state.gateway_count - 1;
}

json PeerExchange::Status() const {
  const auto age = std::chrono::duration_cast<milliseconds>(
      Clock::now() - this->state.selector.PeerLoadsTime());
  return {{"role", NameOf(this->role)},
          {"hubs", this->hubs},
          {"loads_age_ms", age.count()},
          {"reads_store", this->follower.IsReadingStore()},
          {"followed_hub", this->follower.Hub()},
          {"stream_witnesses", this->streams.Witnesses()},
          {"stream_records", this->state.stream_origins.Size()}};
}

milliseconds PeerExchange::Interval() const {
  const std::size_t members =
      this->state.roster.CountOf(this->state.roster.Self().failure_domain);
  return kBaseInterval *
         static_cast<std::int64_t>(std::max(members, kBaseIntervalMembers)) /
         static_cast<std::int64_t>(kBaseIntervalMembers);
}

EndpointUsageMap PeerExchange::OwnUses() const {
  EndpointUsageMap uses;
  for (const auto& [id, endpoint] : this->state.selector.All()) {
    if (endpoint->OwnRequests() != 0 || endpoint->OwnPrefillTokens() != 0)
      uses[id] = {endpoint->OwnRequests(), endpoint->OwnPrefillTokens()};
  }
  return uses;
}

std::vector<std::string> PeerExchange::HubsOfOtherDomains() const {
  std::vector<std::string> hubs;
  std::vector<FailureDomainId> seen = {
      this->state.roster.Self().failure_domain};
  for (const auto& [address, contact] : this->state.roster.Others()) {
    const FailureDomainId& domain = contact.member.failure_domain;
    if (IsVersion1(contact.member) ||
        std::find(seen.begin(), seen.end(), domain) != seen.end())
      continue;
    seen.push_back(domain);
    for (std::string& hub : this->state.roster.HubsOf(domain))
      hubs.push_back(std::move(hub));
  }
  return hubs;
}

std::vector<RosterEntry> PeerExchange::RosterFor(
    const FailureDomainId& domain) const {
  const std::vector<std::string> hubs = this->HubsOfOtherDomains();
  const auto now = Clock::now();
  std::vector<RosterEntry> entries = {{this->state.roster.Self(), {}}};
  for (const auto& [address, contact] : this->state.roster.Others()) {
    const GatewayMember& member = contact.member;
    // The sender may be no leader: the other domain must hear of that one too.
    if (member.failure_domain == domain || IsVersion1(member) ||
        Contains(hubs, address) || Contains(this->hubs, address)) {
      entries.push_back({member, std::chrono::duration_cast<milliseconds>(
                                     now - contact.heard_at)});
    }
  }
  return entries;
}

GatewayMessage PeerExchange::MakeMessage(GatewayMessageKind kind) const {
  GatewayMessage message;
  message.kind = kind;
  message.sender = this->state.roster.Self();
  message.revision = this->follower.Published().Revision();
  message.gateway_count = this->state.gateway_count;
  if (!this->hubs.empty())
    message.leader = this->hubs.front();
  message.quarantine = this->state.quarantine.Report(Clock::now());
  return message;
}

GatewayMessage PeerExchange::MakeHello() const {
  GatewayMessage hello = this->MakeMessage(GatewayMessageKind::kReport);
  // Gateways of version 1 require the loads.
  hello.uses = this->OwnUses();
  return hello;
}

void PeerExchange::SendStreamNews(const std::vector<std::string>& addresses,
                                  const StreamNews& news) {
  // A view without loads: older gateways take nothing else from it.
  GatewayMessage message;
  message.kind = GatewayMessageKind::kView;
  message.sender = this->state.roster.Self();
  message.revision = this->follower.Published().Revision();
  message.gateway_count = this->state.gateway_count;
  message.streams = news;
  const std::string bytes = EncodeGatewayMessage(message);
  for (const std::string& address : addresses)
    this->SendBytes(address, bytes);
  ProcessMetrics().Add("stream_news_bytes_total", "",
                       bytes.size() * addresses.size());
}

void PeerExchange::SendTo(const std::string& address,
                          const GatewayMessage& message) {
  this->SendBytes(address, EncodeGatewayMessage(message));
}

void PeerExchange::SendBytes(const std::string& address,
                             const std::string& bytes) {
  boost::system::error_code error;
  this->socket.send_to(asio::buffer(bytes), UdpEndpoint(address), 0, error);
  if (error)
    ProcessMetrics().Add("peer_send_faults_total");
}

void PeerExchange::SendRosterTo(const GatewayMember& receiver) {
  GatewayMessage message = this->MakeMessage(GatewayMessageKind::kView);
  message.roster = this->RosterFor(receiver.failure_domain);
  this->SendTo(receiver.address, message);
}

void PeerExchange::SendReport() {
  GatewayMessage report = this->MakeMessage(GatewayMessageKind::kReport);
  report.uses = this->OwnUses();
  report.sequence = this->loads.RecordOwnReport(*report.uses);
  report.segments = this->own_segments.TakeRound();
  const auto now = Clock::now();
  std::vector<std::string> targets = this->hubs;
  const bool is_leader = this->role == HubRole::kLeader;
  const bool is_view_late =
      now - this->view_at > this->Interval() * kViewTimeoutIntervals;
  std::size_t asked = 0;
  // Gateways of version 1 learn of others from these addresses only.
  const bool has_version_1 = std::any_of(
      this->state.roster.Others().begin(), this->state.roster.Others().end(),
      [](const auto& entry) { return IsVersion1(entry.second.member); });
  for (const auto& [address, contact] : this->state.roster.Others()) {
    if (has_version_1 && report.known_addresses.size() < kMaxKnownAddresses)
      report.known_addresses.push_back(address);
    const bool may_know_hubs =
        !is_leader && is_view_late && asked < kMaxAskedMembers;
    if (IsVersion1(contact.member)) {
      targets.push_back(address);
    } else if (may_know_hubs && !Contains(this->hubs, address)) {
      targets.push_back(address);
      ++asked;
    }
  }
  std::erase(targets, this->state.roster.Self().address);
  const std::string bytes = EncodeGatewayMessage(report);
  for (const std::string& target : targets)
    this->SendBytes(target, bytes);
}

void PeerExchange::SendHellos(Clock::time_point now) {
  const bool is_starting =
      this->round < kStartRounds && this->state.roster.Count() == 1;
  if (!is_starting && now - this->hello_at < kHelloInterval)
    return;
  this->hello_at = now;
  const GatewayMessage hello = this->MakeHello();
  for (const std::string& seed : this->seeds) {
    if (!this->state.roster.Contains(seed))
      this->SendTo(seed, hello);
  }
}

void PeerExchange::SendAsLeader(bool with_roster) {
  const GatewayRoster& roster = this->state.roster;
  const FailureDomainId& domain = roster.Self().failure_domain;
  const EndpointUsageMap own = this->OwnUses();
  const std::vector<RosterEntry> entries =
      with_roster ? this->RosterFor(domain) : std::vector<RosterEntry>{};
  GatewayMessage digest = this->MakeMessage(GatewayMessageKind::kDigest);
  digest.uses = this->loads.DomainSum(own);
  digest.segments = this->domain_segments.TakeRound();
  digest.roster = entries;
  const std::string digest_bytes = EncodeGatewayMessage(digest);
  for (const std::string& hub : this->HubsOfOtherDomains())
    this->SendBytes(hub, digest_bytes);
  GatewayMessage view = this->MakeMessage(GatewayMessageKind::kView);
  view.uses = this->loads.FleetSum(own);
  view.segments = this->foreign_segments.TakeRound();
  view.segments.insert(view.segments.end(), digest.segments.begin(),
                       digest.segments.end());
  view.roster = entries;
  const std::string view_bytes = EncodeGatewayMessage(view);
  for (const auto& [address, contact] : roster.Others()) {
    if (contact.member.failure_domain != domain)
      continue;
    this->SendBytes(
        address,
        WithAcknowledged(view_bytes, this->loads.LastSequence(address)));
  }
}

void PeerExchange::SendRound() {
  const auto now = Clock::now();
  this->RemoveSilentPeers(now);
  this->UpdateRole();
  this->streams.UpdateWitnesses();
  this->state.quarantine.Expire(now);
  this->state.ApplyQuarantineChanges();
  const bool is_leader = this->role == HubRole::kLeader;
  for (const SegmentLocation& place : this->state.selector.TakeNewSegments()) {
    this->own_segments.Add(place);
    if (is_leader)
      this->domain_segments.Add(place);
  }
  if (is_leader) {
    this->SendAsLeader(this->round % kRosterRounds == 0);
    this->RecordLoadsTime(now);
  }
  this->SendReport();
  this->SendHellos(now);
  ++this->round;
}

asio::awaitable<void> PeerExchange::Send() {
  while (true) {
    this->SendRound();
    this->state.WakeAllWaiting();
    const bool is_starting =
        this->round < kStartRounds && this->state.roster.Count() == 1;
    co_await this->AwaitRound(is_starting ? kStartInterval : this->Interval());
  }
}

asio::awaitable<void> PeerExchange::AwaitRound(milliseconds interval) {
  const auto started_at = Clock::now();
  co_await SleepFor(kMinInterval);
  co_await this->early_round.WaitUntil(started_at + interval);
}

void PeerExchange::RemoveSilentPeers(Clock::time_point now) {
  const milliseconds timeout =
      kPeerTimeout + this->Interval() * kPeerTimeoutIntervals;
  for (const GatewayMember& member :
       this->state.roster.RemoveSilent(now, timeout)) {
    LogLine(LogLevel::kNotice, "peer_lost", {{"peer", member.address}});
    this->revisions.erase(member.address);
    this->ApplyLoads(this->loads.ForgetMember(member.address));
    if (this->state.roster.CountOf(member.failure_domain) == 0)
      this->ApplyLoads(this->loads.ForgetDomain(member.failure_domain));
  }
  this->UpdateGatewayCount();
}

void PeerExchange::UpdateRole() {
  if (this->state.is_draining)
    this->state.roster.AnnounceLeave();
  const GatewayRoster& roster = this->state.roster;
  std::vector<std::string> hubs = roster.HubsOf(roster.Self().failure_domain);
  const HubRole role = roster.Role();
  if (hubs == this->hubs && role == this->role)
    return;
  this->hubs = std::move(hubs);
  this->role = role;
  LogLine(LogLevel::kNotice, "hub_role",
          {{"role", NameOf(this->role)}, {"hubs", this->hubs}});
  this->ApplyLoads(this->loads.SetLeader(role == HubRole::kLeader));
}

void PeerExchange::UpdateGatewayCount() {
  const bool is_view_current =
      Clock::now() - this->view_at < kPeerTimeout + 2 * this->Interval();
  const std::size_t known = this->state.roster.Count();
  this->state.SetGatewayCount(
      is_view_current ? std::max(known, this->reported_count) : known);
}

void PeerExchange::ApplyLoads(const FleetLoads::Changed& changed) {
  for (const EndpointId& id : changed) {
    const EndpointUsage load = this->loads.PeerLoad(id);
    this->state.selector.SetPeerLoad(id, load.requests, load.prefill_tokens);
  }
}

void PeerExchange::RecordLoadsTime(Clock::time_point time) {
  // The reports in a sum are an interval old on average when it is used.
  this->state.selector.SetPeerLoadsTime(time - this->Interval() / 2);
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
    } catch (const MalformedGatewayMessage& fault) {
      LogLine(LogLevel::kWarning, "peer_message_unreadable",
              {{"reason", fault.what()}});
    }
  }
}

bool PeerExchange::RecordContact(const GatewayMember& member,
                                 Clock::time_point heard_at) {
  if (!this->state.roster.RecordContact(member, heard_at))
    return false;
  LogLine(LogLevel::kNotice, "peer_found", {{"peer", member.address}});
  return true;
}

bool PeerExchange::IsNewsOfStranger(const GatewayMessage& message) const {
  const GatewayRoster& roster = this->state.roster;
  return message.kind == GatewayMessageKind::kView && !message.uses &&
         message.streams.Count() != 0 &&
         message.sender.failure_domain != roster.Self().failure_domain &&
         !roster.Contains(message.sender.address);
}

void PeerExchange::HandleDatagram(std::string_view datagram) {
  GatewayMessage message = DecodeGatewayMessage(datagram);
  if (message.sender.address == this->state.roster.Self().address)
    return;
  const auto now = Clock::now();
  const std::size_t count_before = this->state.roster.Count();
  bool is_new_sender = false;
  if (!this->IsNewsOfStranger(message)) {
    is_new_sender = this->RecordContact(message.sender, now);
    this->revisions[message.sender.address] = message.revision;
  }
  for (const RosterEntry& entry : message.roster) {
    if (entry.age < kPeerTimeout)
      this->RecordContact(entry.member, now - entry.age);
  }
  for (const SegmentLocation& place : message.segments)
    this->state.selector.RecordSegment(place, now);
  this->state.quarantine.Merge(message.quarantine, now);
  this->state.ApplyQuarantineChanges();
  // Members have sent it to the leader themselves.
  if (this->state.quarantine.TakeNews() && this->role == HubRole::kLeader)
    this->early_round.Set();
  using Handler = void (PeerExchange::*)(GatewayMessage&);
  constexpr std::array<Handler, 3> kHandlers = {&PeerExchange::HandleReport,
                                                &PeerExchange::HandleDigest,
                                                &PeerExchange::HandleView};
  const Handler handler =
      IsVersion1(message.sender)
          ? &PeerExchange::HandleVersion1
          : kHandlers.at(static_cast<std::size_t>(message.kind));
  (this->*handler)(message);
  if (message.streams.Count() != 0)
    this->streams.Handle(message.sender, message.streams);
  // A process that has just started may name the same leader, itself, and know
  // no other gateway.
  if (is_new_sender && message.kind == GatewayMessageKind::kReport &&
      !IsVersion1(message.sender))
    this->SendRosterTo(message.sender);
  if (this->state.roster.Count() != count_before) {
    this->UpdateRole();
    this->streams.UpdateWitnesses();
    this->UpdateGatewayCount();
  }
}

void PeerExchange::HandleReport(GatewayMessage& message) {
  const GatewayRoster& roster = this->state.roster;
  const bool is_member =
      message.sender.failure_domain == roster.Self().failure_domain;
  if (is_member && message.uses) {
    this->ApplyLoads(this->loads.ApplyReport(
        message.sender.address, std::move(*message.uses), message.sequence));
  }
  if (is_member && this->role == HubRole::kLeader) {
    for (const SegmentLocation& place : message.segments)
      this->domain_segments.Add(place);
  }
  // The sender reports to another leader, which does not know all members.
  if (!is_member || this->hubs.empty() ||
      message.leader != this->hubs.front()) {
    this->SendRosterTo(message.sender);
  }
}

void PeerExchange::HandleDigest(GatewayMessage& message) {
  if (message.sender.failure_domain == this->state.roster.Self().failure_domain)
    return;
  const std::vector<std::string> known_hubs =
      this->state.roster.HubsOf(message.sender.failure_domain);
  const bool is_leader =
      !known_hubs.empty() && known_hubs.front() == message.sender.address;
  if (!is_leader) {
    this->SendRosterTo(message.sender);
    return;
  }
  if (message.uses) {
    this->ApplyLoads(this->loads.ApplyDigest(message.sender.failure_domain,
                                             std::move(*message.uses)));
  }
  if (this->role == HubRole::kLeader) {
    for (const SegmentLocation& place : message.segments)
      this->foreign_segments.Add(place);
  }
}

void PeerExchange::HandleView(GatewayMessage& message) {
  // Two gateways lead the failure domain, and one of them does not know the
  // other.
  const bool is_leader_known =
      this->hubs.empty() || message.sender.address == this->hubs.front() ||
      message.sender.failure_domain != this->state.roster.Self().failure_domain;
  if (!message.uses)
    return;
  if (!is_leader_known)
    this->SendRosterTo(message.sender);
  this->view_at = Clock::now();
  this->reported_count = message.gateway_count;
  this->UpdateGatewayCount();
  if (this->role == HubRole::kLeader)
    return;
  this->ApplyLoads(
      this->loads.ApplyView(std::move(*message.uses), message.acknowledged));
  this->RecordLoadsTime(this->view_at - this->Interval() / 2);
}

void PeerExchange::HandleVersion1(GatewayMessage& message) {
  const GatewayMessage hello = this->MakeHello();
  for (const std::string& address : message.known_addresses) {
    if (!this->state.roster.Contains(address))
      this->SendTo(address, hello);
  }
  if (message.uses) {
    this->ApplyLoads(this->loads.ApplyDirect(message.sender.address,
                                             std::move(*message.uses)));
  }
}

asio::awaitable<void> PeerExchange::SyncFromPeers() {
  while (true) {
    co_await SleepFor(kSyncInterval);
    std::string newest_peer;
    StoreRevision revision = this->follower.Published().Revision();
    for (const auto& [address, peer_revision] : this->revisions) {
      if (peer_revision > revision) {
        newest_peer = address;
        revision = peer_revision;
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
      PublishedItems all =
          co_await FetchSnapshot(ParseSocketAddress(newest_peer), kSyncTimeout);
      co_await this->follower.ApplyFromPeer(std::move(all), newest_peer);
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
  if (exchange.request().Path() == kFeedPath) {
    co_await this->follower.Feed().Serve(exchange);
    co_return;
  }
  HttpResponse response;
  const PublicationState& published = this->follower.Published();
  if (exchange.request().Path() != kSnapshotPath) {
    response.status = 404;
  } else if (!published.IsComplete()) {
    response.status = 503;
  } else {
    response.headers.Append("Content-Type", "application/cbor");
    response.body = EncodeSnapshot(published.All());
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace buckthornpath
