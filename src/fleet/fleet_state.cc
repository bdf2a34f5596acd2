/** @file fleet_state.cc Fleet configuration and membership of a process. */

#include "fleet/fleet_state.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

#include "fleet/uptime.h"
#include "kernel/log.h"

namespace buckthornpath {

namespace {

/** Time after which a process serves with the configuration that it has. */
constexpr std::chrono::milliseconds kRefreshTimeout{3000};

/** Time to wait for the first VM list, which names the peers to ask. */
constexpr std::chrono::milliseconds kVmListTimeout{1000};
constexpr std::chrono::milliseconds kPollInterval{20};

/** Pause of the process after which its state counts as outdated. */
constexpr std::chrono::milliseconds kMaxPause{3000};
constexpr std::chrono::milliseconds kPauseCheckInterval{500};

/** Time without VM list and gossip after which new work is refused. */
constexpr std::chrono::milliseconds kIsolationTimeout{3000};

Incarnation NewIncarnation() {
  std::random_device device;
  const std::uint64_t high = device();
  return Incarnation{(high << 32U) | device()};
}

/**
 * @return The wall-clock time in milliseconds, which is above the epoch of an
 *     earlier run unless the clock was set back; gossip raises the epoch then.
 */
std::uint64_t InitialEpoch() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::vector<Peer> ParseSeeds(const std::string& text) {
  std::vector<Peer> seeds;
  for (const std::string& address : SplitAddresses(text))
    seeds.push_back({VmId(), FailureDomainId(), ParseSocketAddress(address)});
  return seeds;
}

nlohmann::json RefusedStatus(const std::optional<RefusedIndex>& refused) {
  if (!refused)
    return nullptr;
  nlohmann::json faults = nlohmann::json::array();
  for (const DocumentFault& fault : refused->faults)
    faults.push_back({{"path", fault.path}, {"reason", fault.reason}});
  return {{"revision", refused->version.revision},
          {"digest", FormatDigest(refused->version.digest)},
          {"faults", faults}};
}

}  // namespace

FleetState::FleetState(const RoleContext& context)
    : context(context),
      incarnation(NewIncarnation()),
      members(MemberUpdate{VmId(context.settings.vm), InitialEpoch(),
                           this->incarnation, MemberStatus::kLive}),
      gossip(context,
             this->members,
             this->store,
             [this](const GossipAddress& peer, const IndexVersion& version) {
               asio::co_spawn(this->gossip.strand(),
                              this->client.AdoptFromPeer(peer, version),
                              asio::detached);
             }),
      client(context.settings, this->store, this->members, this->gossip) {
  this->members.AddSeeds(ParseSeeds(context.settings.gossip_seeds));
}

void FleetState::Start() {
  this->context.pool.Spawn(FollowVmList(this->members, this->context.settings));
  this->gossip.Start();
  asio::co_spawn(this->gossip.strand(), this->RefreshAfterPauses(),
                 asio::detached);
}

bool FleetState::IsRefreshedSince(std::chrono::milliseconds start) const {
  if (this->client.IsFetching())
    return false;
  if (this->client.LastPollAt() >= start)
    return true;
  const auto silence = this->gossip.TimeSinceLastExchange();
  const bool has_configuration = this->Active()->index.version.revision > 0;
  return has_configuration && silence && Uptime() - *silence >= start;
}

asio::awaitable<void> FleetState::Refresh(std::chrono::milliseconds start) {
  const auto has_list = [this, start] {
    const auto age = this->members.ListAge();
    return age && Uptime() - *age >= start;
  };
  while (!has_list() && Uptime() < start + kVmListTimeout)
    co_await SleepFor(kPollInterval);
  co_await this->gossip.ExchangeAtStart();
  if (this->is_first_refresh) {
    asio::co_spawn(this->gossip.strand(), this->client.Follow(),
                   asio::detached);
  }
  while (!this->IsRefreshedSince(start) && Uptime() < start + kRefreshTimeout)
    co_await SleepFor(kPollInterval);
}

asio::awaitable<void> FleetState::RefreshAfterPauses() {
  while (true) {
    const auto now = Uptime();
    const std::chrono::milliseconds last(this->last_check_at);
    if (this->is_first_refresh || now - last > kMaxPause) {
      co_await this->Refresh(now);
      this->is_first_refresh = false;
      LogLine(LogLevel::kInfo, "fleet_asked",
              {{"revision", this->Active()->index.version.revision},
               {"took_ms", (Uptime() - now).count()}});
    }
    this->last_check_at = Uptime().count();
    co_await SleepFor(kPauseCheckInterval);
  }
}

bool FleetState::IsReady() const {
  const std::int64_t last = this->last_check_at;
  if (last < 0 || Uptime() - std::chrono::milliseconds(last) > kMaxPause)
    return false;
  return this->Active()->index.version.revision > 0;
}

bool FleetState::IsIsolated() const {
  const auto silence = this->gossip.TimeSinceLastExchange();
  if (!silence || *silence < kIsolationTimeout)
    return false;
  const auto list_age = this->members.ListAge();
  return !list_age || *list_age >= kIsolationTimeout;
}

const char* FleetState::RefusalProblem() const {
  if (this->members.Self().status == MemberStatus::kLeaving ||
      this->IsIsolated()) {
    return "endpoint_leaving";
  }
  return this->IsReady() ? nullptr : "no_configuration";
}

void FleetState::AnnounceLeave() {
  this->members.AnnounceLeave();
  this->gossip.ExchangeNow();
}

nlohmann::json FleetState::Status() const {
  const ConfigurationPtr active = this->Active();
  const MemberUpdate self = this->members.Self();
  const auto list_age = this->members.ListAge();
  const bool is_ready = this->IsReady();
  return {
      {"configuration_revision", is_ready ? active->index.version.revision : 0},
      {"configuration_digest", FormatDigest(active->index.version.digest)},
      {"configuration_refused", RefusedStatus(this->store.Refused())},
      {"ready", is_ready},
      {"members", this->members.AllMembers().size()},
      {"members_leaving", this->members.LeavingCount()},
      {"peers", this->members.Peers().size()},
      {"leaving", self.status == MemberStatus::kLeaving},
      {"isolated", this->IsIsolated()},
      {"epoch", self.epoch},
      {"incarnation", static_cast<std::uint64_t>(this->incarnation)},
      {"vm_list_age_ms", list_age ? list_age->count() : -1}};
}

}  // namespace buckthornpath
