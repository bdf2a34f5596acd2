/** @file member_list.cc Endpoints and gossip peers of the fleet. */

#include "fleet/member_list.h"

#include <algorithm>
#include <random>

#include "buckthornpath/rendezvous.h"
#include "fleet/platform_read.h"
#include "fleet/uptime.h"
#include "kernel/field_table.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kReadTimeout{3000};

/** Time for which a refusal alone excludes an endpoint from new work. */
constexpr std::chrono::milliseconds kRefusalLifetime{3000};

/** Processes per failure domain that long-poll the configuration service. */
constexpr std::size_t kWatchersPerDomain = 2;

Member ParseMember(const nlohmann::json& item) {
  Member member;
  member.vm = VmId(item.at("vm").get<std::string>());
  member.id = EndpointId(member.vm.str());
  member.service = ServiceName(item.at("service").get<std::string>());
  member.failure_domain =
      FailureDomainId(item.at("failure_domain").get<std::string>());
  member.address = ParseSocketAddress(item.at("address").get<std::string>());
  member.state = item.at("state").get<std::string>() == "live"
                     ? MemberState::kLive
                     : MemberState::kLeaving;
  return member;
}

void ParseVm(const nlohmann::json& item, VmList& list) {
  const VmId vm(item.at("vm").get<std::string>());
  list.known.insert(vm);
  if (item.at("state").get<std::string>() != "live")
    list.leaving.insert(vm);
  if (item.value("role", "endpoint") == "endpoint")
    list.members.push_back(ParseMember(item));
  const auto gossip = item.value("gossip_address", std::string());
  if (gossip.empty())
    return;
  list.peers.push_back(
      {vm, FailureDomainId(item.at("failure_domain").get<std::string>()),
       ParseSocketAddress(gossip)});
}

/**
 * Reads the VM list once.
 * @param[in,out] etag ETag of the list read last; empty if there is none.
 * @throws HttpError, InvalidDocument
 */
asio::awaitable<void> ReadVmList(MemberList& list,
                                 const Settings& settings,
                                 std::string& etag) {
  HttpRequest request;
  request.target = "/v1/vms";
  if (!etag.empty())
    request.headers.Append("If-None-Match", etag);
  const HttpResponse response = co_await ReadPlatform(
      settings.vm, ParseSocketAddress(settings.vm_list_address),
      std::move(request), kReadTimeout);
  if (response.status == 304) {
    list.ConfirmUnchanged();
    co_return;
  }
  if (response.status != 200)
    throw HttpError("VM list service answered with status " +
                    std::to_string(response.status));
  list.Replace(ParseVmList(response.body));
  etag = response.headers.Find("ETag").value_or("");
}

}  // namespace

void MemberList::Replace(std::vector<Member> next) {
  VmList read;
  for (const Member& member : next) {
    read.known.insert(member.vm);
    if (member.state == MemberState::kLeaving)
      read.leaving.insert(member.vm);
  }
  read.members = std::move(next);
  this->Replace(std::move(read));
}

void MemberList::Replace(VmList next) {
  {
    const OrderedLock lock(this->mutex);
    this->list = std::move(next);
  }
  this->ConfirmUnchanged();
}

void MemberList::ConfirmUnchanged() {
  const OrderedLock lock(this->mutex);
  this->list_read_at = Uptime();
  this->membership.ApplyVmList(this->list.known, this->list.leaving, Uptime());
}

void MemberList::AddSeeds(const std::vector<Peer>& more) {
  const OrderedLock lock(this->mutex);
  this->seeds.insert(this->seeds.end(), more.begin(), more.end());
}

bool MemberList::RefusesWork(const Member& member) const {
  if (member.state == MemberState::kLeaving ||
      this->membership.IsLeaving(member.vm)) {
    return true;
  }
  const auto refused = this->refused_until.find(member.id);
  return refused != this->refused_until.end() && refused->second > Uptime();
}

std::vector<Member> MemberList::UsableMembers(
    const ServiceName& service) const {
  const OrderedLock lock(this->mutex);
  std::vector<Member> live;
  std::vector<Member> unusable;
  for (const Member& member : this->list.members) {
    if (member.service != service || this->RefusesWork(member))
      continue;
    if (this->membership.IsUsable(member.vm)) {
      live.push_back(member);
    } else {
      unusable.push_back(member);
    }
  }
  return live.empty() ? unusable : live;
}

std::vector<Member> MemberList::AllMembers() const {
  const OrderedLock lock(this->mutex);
  return this->list.members;
}

std::vector<Peer> MemberList::Peers() const {
  const OrderedLock lock(this->mutex);
  std::vector<Peer> peers = this->seeds;
  for (const Peer& peer : this->list.peers) {
    if (peer.vm != this->membership.Self().vm)
      peers.push_back(peer);
  }
  return peers;
}

void MemberList::RecordRefusal(const EndpointId& endpoint) {
  const OrderedLock lock(this->mutex);
  const auto now = Uptime();
  std::erase_if(this->refused_until,
                [&](const auto& item) { return item.second <= now; });
  this->refused_until[endpoint] = now + kRefusalLifetime;
}

bool MemberList::IsWatcher(const FailureDomainId& domain) const {
  const OrderedLock lock(this->mutex);
  const std::string self = this->membership.Self().vm.str();
  std::vector<RendezvousSite> sites{{self, 1.0}};
  for (const Peer& peer : this->list.peers) {
    if (peer.failure_domain == domain && peer.vm.str() != self &&
        this->membership.IsUsable(peer.vm)) {
      sites.push_back({peer.vm.str(), 1.0});
    }
  }
  const auto order = RendezvousOrder("configuration-watchers", sites);
  const auto position = std::find(order.begin(), order.end(), std::size_t{0});
  return static_cast<std::size_t>(position - order.begin()) <
         kWatchersPerDomain;
}

std::optional<std::chrono::milliseconds> MemberList::ListAge() const {
  const OrderedLock lock(this->mutex);
  if (!this->list_read_at)
    return std::nullopt;
  return Uptime() - *this->list_read_at;
}

std::size_t MemberList::LeavingCount() const {
  const OrderedLock lock(this->mutex);
  return static_cast<std::size_t>(std::count_if(
      this->list.members.begin(), this->list.members.end(),
      [this](const Member& member) { return this->RefusesWork(member); }));
}

MemberUpdate MemberList::Self() const {
  const OrderedLock lock(this->mutex);
  return this->membership.Self();
}

std::optional<MemberUpdate> MemberList::FindMember(const VmId& vm) const {
  const OrderedLock lock(this->mutex);
  return this->membership.FindMember(vm);
}

bool MemberList::ApplyUpdate(const MemberUpdate& update) {
  const OrderedLock lock(this->mutex);
  return this->membership.ApplyUpdate(update, Uptime());
}

void MemberList::RecordProbeFailure(const VmId& vm) {
  const OrderedLock lock(this->mutex);
  this->membership.RecordProbeFailure(vm, Uptime());
}

bool MemberList::Tick() {
  const OrderedLock lock(this->mutex);
  return this->membership.Tick(Uptime());
}

void MemberList::AnnounceLeave() {
  const OrderedLock lock(this->mutex);
  this->membership.AnnounceLeave();
}

bool MemberList::HasUnsentUpdates() const {
  const OrderedLock lock(this->mutex);
  return this->membership.HasUnsentUpdates();
}

std::vector<MemberUpdate> MemberList::TakeUpdates(std::size_t max_count) {
  const OrderedLock lock(this->mutex);
  return this->membership.TakeUpdates(max_count);
}

VmList ParseVmList(const std::string& text) {
  const nlohmann::json object = ParseJsonWithComments(text);
  try {
    VmList list;
    for (const nlohmann::json& item : object.at("vms"))
      ParseVm(item, list);
    return list;
  } catch (const nlohmann::json::exception& error) {
    throw InvalidDocument("/vms", error.what());
  } catch (const std::invalid_argument& error) {
    throw InvalidDocument("/vms", error.what());
  }
}

asio::awaitable<void> FollowVmList(MemberList& list, const Settings& settings) {
  std::minstd_rand random{std::random_device{}()};
  std::string etag;
  while (true) {
    try {
      co_await ReadVmList(list, settings, etag);
    } catch (const std::exception& error) {
      ProcessMetrics().Add("vm_list_faults_total");
      LogLine(LogLevel::kWarning, "vm_list_fault", {{"reason", error.what()}});
    }
    const auto interval = settings.vm_list_interval;
    const std::chrono::milliseconds jitter(
        random() % static_cast<unsigned>(interval.count() / 5 + 1));
    co_await SleepFor(interval - jitter);
  }
}

}  // namespace buckthornpath
