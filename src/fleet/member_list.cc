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
#include "kernel/reported_items.h"
#include "kernel/url_text.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kReadTimeout{3000};

/** Time for which a refusal alone excludes an endpoint from new work. */
constexpr std::chrono::milliseconds kRefusalLifetime{3000};

/** Processes per failure domain that long-poll the configuration service. */
constexpr std::size_t kWatchersPerDomain = 2;

/** @throws std::invalid_argument If the name is not one of a VM: it goes into
 * header fields and messages. */
VmId ParseVmId(const nlohmann::json& item) {
  const auto& name = item.at("vm").get_ref<const std::string&>();
  if (!IsPlainName(name))
    throw std::invalid_argument("vm " + std::string(kNotPlainName));
  return VmId(name);
}

Member ParseMember(const VmId& vm, const nlohmann::json& item) {
  Member member;
  member.vm = vm;
  member.id = EndpointId(vm.str());
  member.service = ServiceName(item.at("service").get<std::string>());
  member.failure_domain =
      FailureDomainId(item.at("failure_domain").get<std::string>());
  member.address = ParsePublishedAddress(item.at("address").get<std::string>());
  member.state = item.at("state").get<std::string>() == "live"
                     ? MemberState::kLive
                     : MemberState::kLeaving;
  return member;
}

/** What one item of the VM list says. */
struct ListedVm {
  VmId vm;
  bool is_leaving = false;
  std::optional<Member> member;
  std::optional<Peer> peer;
};

/** @throws nlohmann::json::exception, std::invalid_argument */
ListedVm ParseVm(const nlohmann::json& item) {
  ListedVm listed;
  listed.vm = ParseVmId(item);
  listed.is_leaving = item.at("state").get<std::string>() != "live";
  if (item.value("role", "endpoint") == "endpoint")
    listed.member = ParseMember(listed.vm, item);
  const auto gossip = item.value("gossip_address", std::string());
  if (!gossip.empty()) {
    listed.peer =
        Peer{listed.vm,
             FailureDomainId(item.at("failure_domain").get<std::string>()),
             ParsePublishedAddress(gossip)};
  }
  return listed;
}

void AddVm(const nlohmann::json& item, VmList& list) {
  std::string fault;
  try {
    ListedVm listed = ParseVm(item);
    list.known.insert(listed.vm);
    if (listed.is_leaving)
      list.leaving.insert(listed.vm);
    if (listed.member)
      list.members.push_back(std::move(*listed.member));
    if (listed.peer)
      list.peers.push_back(std::move(*listed.peer));
    return;
  } catch (const nlohmann::json::exception& error) {
    fault = error.what();
  } catch (const std::invalid_argument& error) {
    fault = error.what();
  }
  const bool has_name =
      item.is_object() && item.contains("vm") && item.at("vm").is_string();
  list.unusable.push_back(
      {has_name ? item.at("vm").get<std::string>() : "", std::move(fault)});
}

/** Logs the items that cannot be used, each once. */
void ReportUnusable(const VmList& list, ReportedItems& reported) {
  for (const VmId& vm : list.known)
    reported.Remove(vm.str());
  for (const UnusableVm& unusable : list.unusable) {
    if (reported.Add(unusable.vm))
      LogLine(LogLevel::kWarning, "vm_unusable",
              {{"vm", unusable.vm}, {"reason", unusable.reason}});
  }
}

/**
 * Reads the VM list once.
 * @param[in,out] etag ETag of the list read last; empty if there is none.
 * @param[in,out] reported Items that have been logged as unusable.
 * @throws HttpError, InvalidDocument
 */
asio::awaitable<void> ReadVmList(MemberList& list,
                                 const Settings& settings,
                                 std::string& etag,
                                 ReportedItems& reported) {
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
  VmList read = ParseVmList(response.body);
  ReportUnusable(read, reported);
  list.Replace(std::move(read));
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
  std::vector<DocumentFault> left_out;
  const nlohmann::json object =
      ParseJsonWithComments(ReplaceInvalidUtf8(text), left_out);
  if (!object.is_object() || !object.contains("vms") ||
      !object.at("vms").is_array())
    throw InvalidDocument("/vms", "is missing or not an array");
  VmList list;
  for (const DocumentFault& fault : left_out)
    list.unusable.push_back({"", fault.path + " " + fault.reason});
  for (const nlohmann::json& item : object.at("vms"))
    AddVm(item, list);
  return list;
}

asio::awaitable<void> FollowVmList(MemberList& list, const Settings& settings) {
  std::minstd_rand random{std::random_device{}()};
  std::string etag;
  ReportedItems reported;
  while (true) {
    try {
      co_await ReadVmList(list, settings, etag, reported);
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
