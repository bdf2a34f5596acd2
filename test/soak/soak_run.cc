/** @file soak_run.cc One randomized run of real gateways under faults. */

#include "soak/soak_run.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <optional>
#include <random>
#include <thread>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "soak/evacuation_watch.h"
#include "soak/soak_callers.h"
#include "soak/soak_evidence.h"
#include "soak/soak_history.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Random = std::mt19937_64;

constexpr std::size_t kEngines = 3;
constexpr std::size_t kLedgers = 3;
constexpr std::size_t kCallersPerGateway = 4;

/** Time for which the store stays available after a change. The platform's
 * time limits hold only for processes that can reach the store. */
constexpr milliseconds kPropagationTime{800};

/** Time limit of the platform for recovery after all faults have ended. */
constexpr milliseconds kRecoveryTime{12000};

/** Time for which endpoints fail all retryable requests. */
constexpr milliseconds kEndpointFailureTime{1500};

constexpr milliseconds kMaxPause{400};

/** Time until a crashed endpoint accepts connections again. */
constexpr milliseconds kRestartTime{300};

/** Failure domains of a run with evacuations, and those of them that may be
 * evacuated. The last holds the endpoint that leaves, so its return can't be
 * judged. */
constexpr std::array<const char*, 3> kDomains = {"a", "b", "c"};
constexpr std::size_t kEvacuable = 2;

/** Time for which a domain is evacuated: the limit until no request reaches it,
 * and the time in which that is checked. */
constexpr milliseconds kEvacuatedTime = kMaxEvacuationTime + milliseconds(1500);

std::size_t RandomBelow(Random& random, std::size_t limit) {
  return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

milliseconds RandomPause(Random& random) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      kMinPause.count(), kMaxPause.count())(random));
}

/** Injects random faults from outside the processes, one after the other. */
class FaultInjector {
 public:
  FaultInjector(GatewayFleet& fleet,
                SoakHistory& history,
                EndpointBehaviour& behaviour,
                EvacuationWatch& evacuations,
                const SoakPlan& plan)
      : fleet(fleet),
        history(history),
        behaviour(behaviour),
        evacuations(evacuations),
        plan(plan),
        random(plan.seed),
        evacuation_random(plan.seed) {}

  void RunUntil(Clock::time_point end) {
    // So early that an evacuation lasts long enough to be checked.
    if (this->plan.has_evacuations)
      this->BeginEvacuation();
    // These two come next: the time limit for the configuration to become
    // active then ends within the run, and no retries have accumulated when
    // every request needs one.
    this->PublishConfiguration();
    this->FailEndpoints();
    const auto leaving_at = Clock::now() + (end - Clock::now()) / 3;
    while (Clock::now() < end) {
      this->behaviour.is_leaving = Clock::now() >= leaving_at;
      this->RestartEnded();
      this->CheckMemory();
      if (this->plan.has_evacuations)
        this->ChangeEvacuation();
      this->Inject();
      this->history.RecordFault();
      std::this_thread::sleep_for(RandomPause(this->random));
    }
  }

  /** Restarts gateways that have exited, as the platform does. */
  void RestartEnded() {
    for (std::size_t i = 0; i < this->plan.gateways; ++i) {
      ChildProcess& gateway = this->fleet.Gateway(i);
      if (gateway.IsRunning())
        continue;
      this->history.RecordExit(i, gateway.ExitCode());
      this->Restart(i);
    }
  }

  /** Removes all faults, so that every gateway can recover. */
  void RemoveFaults() {
    if (this->evacuated)
      this->EndEvacuation();
    this->behaviour.is_failing = false;
    this->fleet.Store().SetMode(StoreMode::kServing);
    for (std::size_t i = 0; i < kLedgers; ++i)
      this->SetDraining(i, false);
    this->RestartEnded();
    for (std::size_t i = 0; i < this->fleet.ProxyCount(); ++i) {
      this->fleet.Proxy(i).RefuseNew(false);
      this->fleet.Proxy(i).SetFrameFaults({});
    }
  }

 private:
  using Fault = void (FaultInjector::*)();

  void Inject() {
    constexpr std::array<Fault, 12> kFaults = {
        &FaultInjector::Kill,
        &FaultInjector::Terminate,
        &FaultInjector::PauseProcess,
        &FaultInjector::Reload,
        &FaultInjector::CutLinks,
        &FaultInjector::CutOneWay,
        &FaultInjector::SilenceLinks,
        &FaultInjector::DelayFrames,
        &FaultInjector::ChangeStoreMode,
        &FaultInjector::PublishConfiguration,
        &FaultInjector::ChangeDraining,
        &FaultInjector::FailEndpoints};
    (this->*kFaults.at(RandomBelow(this->random, kFaults.size())))();
  }

  std::size_t RandomGateway() {
    return RandomBelow(this->random, this->plan.gateways);
  }
  FaultProxy& RandomProxy() {
    return this->fleet.Proxy(
        RandomBelow(this->random, this->fleet.ProxyCount()));
  }

  void Kill() {
    const std::size_t gateway = this->RandomGateway();
    this->history.RecordKill(gateway);
    this->fleet.Gateway(gateway).Kill();
    std::this_thread::sleep_for(RandomPause(this->random));
    this->Restart(gateway);
  }
  void Terminate() {
    ChildProcess& gateway = this->fleet.Gateway(this->RandomGateway());
    gateway.Signal(SIGTERM);
  }
  void PauseProcess() {
    const std::size_t index = this->RandomGateway();
    ChildProcess& gateway = this->fleet.Gateway(index);
    gateway.Signal(SIGSTOP);
    std::this_thread::sleep_for(RandomPause(this->random));
    this->history.RecordPause(index);
    gateway.Signal(SIGCONT);
  }
  void Reload() { this->fleet.Gateway(this->RandomGateway()).Signal(SIGHUP); }
  void CutLinks() { this->RandomProxy().CutAll(); }
  void CutOneWay() {
    this->RandomProxy().CutDirection(RandomBelow(this->random, 2) == 0
                                         ? Direction::kToEndpoint
                                         : Direction::kToRouter);
  }
  void SilenceLinks() { this->RandomProxy().SilenceOpen(); }
  void DelayFrames() {
    this->RandomProxy().SetFrameFaults({RandomPause(this->random) / 10, 0, 0});
  }
  void ChangeStoreMode() {
    this->fleet.Store().SetMode(RandomBelow(this->random, 2) == 0
                                    ? StoreMode::kBusy
                                    : StoreMode::kServing);
  }
  /** Publishes a configuration with one more route. The store must be serving:
   * without it no time limit applies. */
  void PublishConfiguration() {
    this->fleet.Store().SetMode(StoreMode::kServing);
    ++this->version;
    nlohmann::json configuration = StandardConfiguration(this->version);
    // The last of the standard routes is retryable and goes to the ledgers.
    nlohmann::json added = configuration["routes"].back();
    for (std::uint64_t i = 2; i <= this->version; ++i) {
      added["name"] = "added-" + std::to_string(i);
      added["prefix"] = "/v" + std::to_string(i) + "/";
      configuration["routes"].push_back(added);
    }
    this->fleet.Store().Put("op/config", configuration);
    this->history.RecordVersion(this->version);
    std::this_thread::sleep_for(kPropagationTime);
  }

  /** Makes all endpoints fail retryable requests for a while. */
  void FailEndpoints() {
    this->behaviour.is_failing = true;
    std::this_thread::sleep_for(kEndpointFailureTime);
    this->behaviour.is_failing = false;
  }
  void ChangeDraining() {
    const std::size_t ledger = 1 + RandomBelow(this->random, kLedgers - 1);
    this->SetDraining(ledger, RandomBelow(this->random, 3) > 0);
    std::this_thread::sleep_for(kPropagationTime);
  }
  /** Evacuates a domain, or restores it if that has lasted long enough. */
  void ChangeEvacuation() {
    if (!this->evacuated)
      this->BeginEvacuation();
    else if (Clock::now() - this->evacuated_at > kEvacuatedTime)
      this->EndEvacuation();
  }
  void BeginEvacuation() {
    this->evacuated =
        kDomains.at(RandomBelow(this->evacuation_random, kEvacuable));
    this->BeginOutage();
    this->fleet.Store().Put("op/evacuate/" + *this->evacuated,
                            nlohmann::json::object());
    this->evacuated_at = Clock::now();
    this->evacuations.RecordBegin(*this->evacuated);
    this->EndOutage();
  }
  void EndEvacuation() {
    this->BeginOutage();
    this->evacuations.RecordEnd(*this->evacuated);
    this->fleet.Store().Remove("op/evacuate/" + *this->evacuated);
    this->evacuated.reset();
    this->EndOutage();
  }

  /** Every other evacuation begins or ends during an outage of the store, which
   * serves for some time afterwards: without it no time limit applies. */
  void BeginOutage() {
    this->fleet.Store().SetMode(RandomBelow(this->evacuation_random, 2) == 0
                                    ? StoreMode::kBusy
                                    : StoreMode::kServing);
  }
  void EndOutage() {
    std::this_thread::sleep_for(RandomPause(this->evacuation_random));
    this->fleet.Store().SetMode(StoreMode::kServing);
    std::this_thread::sleep_for(kPropagationTime);
  }
  void Restart(std::size_t gateway) {
    this->history.RecordStart(gateway);
    this->fleet.Restart(gateway);
  }

  void CheckMemory() {
    for (std::size_t i = 0; i < this->plan.gateways; ++i) {
      this->history.CheckMemory(i, this->fleet.Gateway(i).ResidentBytes());
    }
  }

  void SetDraining(std::size_t ledger, bool is_draining) {
    const std::string name = "ledger-" + std::to_string(ledger);
    this->fleet.PublishEndpoint("ledger", ledger,
                                is_draining ? "draining" : "ready");
    // The time limits apply only while the store is serving.
    this->fleet.Store().SetMode(StoreMode::kServing);
    this->history.RecordDraining(name, is_draining);
  }

  GatewayFleet& fleet;
  SoakHistory& history;
  EndpointBehaviour& behaviour;
  EvacuationWatch& evacuations;
  const SoakPlan& plan;
  Random random;
  /** Of its own, so that a seed plays the same other faults without them. */
  Random evacuation_random;
  std::optional<std::string> evacuated;  ///< The domain, if any.
  Clock::time_point evacuated_at{};
  std::uint64_t version = 1;
};

GatewayPlan FleetPlanOf(const SoakPlan& plan) {
  GatewayPlan fleet_plan;
  fleet_plan.gateways = plan.gateways;
  fleet_plan.engines = kEngines;
  fleet_plan.ledgers = kLedgers;
  fleet_plan.proxied = true;
  if (plan.has_evacuations)
    fleet_plan.failure_domains = {kDomains.begin(), kDomains.end()};
  fleet_plan.settings = {{"retry_budget_percent", kRetryPercent},
                         {"retry_slack", kRetryBurst},
                         {"log_bytes_per_second", kLogBytesPerSecond}};
  return fleet_plan;
}

/** @return A script that also records where requests arrive. */
EndpointScript Watched(EvacuationWatch& evacuations,
                       std::size_t endpoint,
                       const EndpointScript& script) {
  return [&evacuations, endpoint, script](ScriptedCall& call) {
    evacuations.RecordArrival(call.Id(),
                              kDomains.at(endpoint % kDomains.size()));
    script(call);
  };
}

/** Takes an endpoint down until it has started again. */
void CrashEndpoint(GatewayFleet& fleet, const std::string& endpoint) {
  const std::size_t number =
      std::stoul(endpoint.substr(endpoint.find('-') + 1));
  FaultProxy& proxy =
      fleet.Proxy(endpoint.starts_with("engine") ? number : kEngines + number);
  proxy.SetDown(true);
  std::this_thread::sleep_for(kRestartTime);
  proxy.SetDown(false);
}

}  // namespace

SoakResult RunSoak(const SoakPlan& plan) {
  SoakHistory history;
  EndpointBehaviour behaviour;
  EvacuationWatch evacuations(plan.gateways);
  const auto started_at = Clock::now();
  GatewayFleet fleet(FleetPlanOf(plan));
  behaviour.crash = [&](const std::string& endpoint) {
    CrashEndpoint(fleet, endpoint);
  };
  for (std::size_t i = 0; i < kEngines; ++i) {
    fleet.Engine(i).SetScript(
        Watched(evacuations, i,
                SoakEndpoint(history, behaviour, "engine-" + std::to_string(i),
                             plan.seed * 10 + i)));
  }
  for (std::size_t i = 0; i < kLedgers; ++i) {
    fleet.Ledger(i).SetScript(
        Watched(evacuations, i,
                SoakEndpoint(history, behaviour, "ledger-" + std::to_string(i),
                             plan.seed * 20 + i)));
  }
  std::atomic<bool> is_over = false;
  std::vector<std::thread> callers;
  for (std::size_t gateway = 0; gateway < plan.gateways; ++gateway) {
    history.RecordStart(gateway);
    for (std::size_t caller = 0; caller < kCallersPerGateway; ++caller) {
      callers.emplace_back([&, gateway, caller] {
        CallUntil(is_over, fleet, history, gateway, caller);
      });
    }
    callers.emplace_back(
        [&, gateway] { DisconnectUntil(is_over, fleet, history, gateway); });
  }
  callers.emplace_back(
      [&] { RepeatDeadlyUntil(is_over, fleet, history, plan.gateways); });
  FaultInjector injector(fleet, history, behaviour, evacuations, plan);
  injector.RunUntil(Clock::now() + plan.length);
  injector.RemoveFaults();
  const bool has_recovered = WaitUntil(
      [&] {
        injector.RestartEnded();
        for (std::size_t i = 0; i < plan.gateways; ++i) {
          if (!fleet.IsReady(i))
            return false;
        }
        return true;
      },
      kRecoveryTime);
  WaitUntil([&] { return evacuations.HaveAllReturned(); }, kMaxEvacuationTime);
  is_over = true;
  for (std::thread& caller : callers)
    caller.join();
  for (std::size_t i = 0; i < plan.gateways; ++i)
    history.CheckLog(i, std::filesystem::file_size(fleet.LogPath(i)),
                     started_at);
  SoakResult result = history.Finish();
  for (const std::string& violation : evacuations.Violations())
    result.violations.push_back(violation);
  if (!has_recovered)
    result.violations.emplace_back("not every gateway has recovered");
  if (result.served == 0)
    result.violations.emplace_back("nothing was served");
  if (!result.violations.empty())
    result.evidence = FindEvidence(fleet, plan.gateways, result.violations);
  return result;
}

}  // namespace buckthornpath
