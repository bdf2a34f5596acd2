/** @file soak_run.cc One randomized run of real gateways under faults. */

#include "soak/soak_run.h"

#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <random>
#include <thread>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "soak/soak_callers.h"
#include "soak/soak_history.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Random = std::mt19937_64;

constexpr std::size_t kEngines = 3;
constexpr std::size_t kLedgers = 3;
constexpr std::size_t kCallersPerGateway = 4;

/** Time in which the store serves all after a change, so that the platform's
 * bounds hold for every process. */
constexpr milliseconds kNewsTime{800};

/** Bound of the platform on recovery once all faults have ended. */
constexpr milliseconds kRecoveryTime{12000};

/** Time for which endpoints fail what may be repeated. */
constexpr milliseconds kSickTime{1500};

constexpr milliseconds kLongestPause{400};

std::size_t Below(Random& random, std::size_t limit) {
  return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

milliseconds Pause(Random& random) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      kShortestPause.count(), kLongestPause.count())(random));
}

/** Faults that come from outside the processes, one after the other. */
class FaultInjector {
 public:
  FaultInjector(GatewayFleet& fleet,
                SoakHistory& history,
                std::atomic<bool>& is_sick,
                const SoakPlan& plan)
      : fleet(fleet),
        history(history),
        is_sick(is_sick),
        plan(plan),
        random(plan.seed) {}

  void RunUntil(Clock::time_point end) {
    // Early enough that the bound on its taking force ends within the run;
    // nothing is saved up yet when all ask for retries.
    this->Configure();
    this->Sicken();
    while (Clock::now() < end) {
      this->RestartEnded();
      this->NoteMemory();
      this->Inject();
      this->history.NoteFault();
      std::this_thread::sleep_for(Pause(this->random));
    }
  }

  /** Restarts gateways that have ended, as the platform does. */
  void RestartEnded() {
    for (std::size_t i = 0; i < this->plan.gateways; ++i) {
      if (!this->fleet.Gateway(i).IsRunning())
        this->Restart(i);
    }
  }

  /** Ends every fault, so that all can recover. */
  void Heal() {
    this->is_sick = false;
    this->fleet.Store().SetMode(StoreMode::kServing);
    for (std::size_t i = 0; i < kLedgers; ++i)
      this->SetLeaving(i, false);
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
        &FaultInjector::Kill,         &FaultInjector::Terminate,
        &FaultInjector::PauseProcess, &FaultInjector::Reload,
        &FaultInjector::CutLinks,     &FaultInjector::CutOneWay,
        &FaultInjector::Silence,      &FaultInjector::Delay,
        &FaultInjector::StoreAway,    &FaultInjector::Configure,
        &FaultInjector::Leave,        &FaultInjector::Sicken};
    (this->*kFaults.at(Below(this->random, kFaults.size())))();
  }

  std::size_t AnyGateway() { return Below(this->random, this->plan.gateways); }
  FaultProxy& AnyProxy() {
    return this->fleet.Proxy(Below(this->random, this->fleet.ProxyCount()));
  }

  void Kill() {
    const std::size_t gateway = this->AnyGateway();
    this->history.NoteKill(gateway);
    this->fleet.Gateway(gateway).Kill();
    std::this_thread::sleep_for(Pause(this->random));
    this->Restart(gateway);
  }
  void Terminate() {
    ChildProcess& gateway = this->fleet.Gateway(this->AnyGateway());
    gateway.Signal(SIGTERM);
  }
  void PauseProcess() {
    ChildProcess& gateway = this->fleet.Gateway(this->AnyGateway());
    gateway.Signal(SIGSTOP);
    std::this_thread::sleep_for(Pause(this->random));
    gateway.Signal(SIGCONT);
  }
  void Reload() { this->fleet.Gateway(this->AnyGateway()).Signal(SIGHUP); }
  void CutLinks() { this->AnyProxy().CutAll(); }
  void CutOneWay() {
    this->AnyProxy().CutDirection(Below(this->random, 2) == 0
                                      ? Direction::kToEndpoint
                                      : Direction::kToRouter);
  }
  void Silence() { this->AnyProxy().SilenceOpen(); }
  void Delay() {
    this->AnyProxy().SetFrameFaults({Pause(this->random) / 10, 0, 0});
  }
  void StoreAway() {
    this->fleet.Store().SetMode(
        Below(this->random, 2) == 0 ? StoreMode::kBusy : StoreMode::kServing);
  }
  /** Adds a route; a store that answers nobody binds nobody. */
  void Configure() {
    this->fleet.Store().SetMode(StoreMode::kServing);
    ++this->version;
    nlohmann::json configuration = StandardConfiguration(this->version);
    // The last of the standard routes may be repeated and goes to the ledgers.
    nlohmann::json added = configuration["routes"].back();
    for (std::uint64_t i = 2; i <= this->version; ++i) {
      added["name"] = "added-" + std::to_string(i);
      added["prefix"] = "/v" + std::to_string(i) + "/";
      configuration["routes"].push_back(added);
    }
    this->fleet.Store().Put("op/config", configuration);
    this->history.NoteVersion(this->version);
    std::this_thread::sleep_for(kNewsTime);
  }

  /** Endpoints break off what may be repeated, all of them for a while. */
  void Sicken() {
    this->is_sick = true;
    std::this_thread::sleep_for(kSickTime);
    this->is_sick = false;
  }
  void Leave() {
    const std::size_t ledger = 1 + Below(this->random, kLedgers - 1);
    this->SetLeaving(ledger, Below(this->random, 3) > 0);
    std::this_thread::sleep_for(kNewsTime);
  }
  void Restart(std::size_t gateway) {
    this->history.NoteStart(gateway);
    this->fleet.Restart(gateway);
  }

  void NoteMemory() {
    for (std::size_t i = 0; i < this->plan.gateways; ++i) {
      this->history.NoteMemory(i, this->fleet.Gateway(i).ResidentBytes());
    }
  }

  void SetLeaving(std::size_t ledger, bool leaves) {
    const std::string name = "ledger-" + std::to_string(ledger);
    this->fleet.PublishEndpoint("ledger", ledger,
                                leaves ? "draining" : "ready");
    // A store that answers nobody binds nobody.
    this->fleet.Store().SetMode(StoreMode::kServing);
    this->history.NoteLeaving(name, leaves);
  }

  GatewayFleet& fleet;
  SoakHistory& history;
  std::atomic<bool>& is_sick;
  const SoakPlan& plan;
  Random random;
  std::uint64_t version = 1;
};

}  // namespace

SoakResult RunSoak(const SoakPlan& plan) {
  GatewayPlan shape;
  shape.gateways = plan.gateways;
  shape.engines = kEngines;
  shape.ledgers = kLedgers;
  shape.proxied = true;
  shape.settings = {{"retry_budget_percent", kRetryPercent},
                    {"retry_slack", kRetrySlack},
                    {"log_bytes_per_second", kLogBytes}};
  SoakHistory history;
  std::atomic<bool> is_sick = false;
  const auto begun = Clock::now();
  GatewayFleet fleet(shape);
  for (std::size_t i = 0; i < kEngines; ++i) {
    fleet.Engine(i).SetScript(SoakEndpoint(
        history, is_sick, "engine-" + std::to_string(i), plan.seed * 10 + i));
  }
  for (std::size_t i = 0; i < kLedgers; ++i) {
    fleet.Ledger(i).SetScript(SoakEndpoint(
        history, is_sick, "ledger-" + std::to_string(i), plan.seed * 20 + i));
  }
  std::atomic<bool> is_over = false;
  std::vector<std::thread> callers;
  for (std::size_t gateway = 0; gateway < plan.gateways; ++gateway) {
    history.NoteStart(gateway);
    for (std::size_t caller = 0; caller < kCallersPerGateway; ++caller) {
      callers.emplace_back([&, gateway, caller] {
        CallUntil(is_over, fleet, history, gateway, caller);
      });
    }
    callers.emplace_back(
        [&, gateway] { LeaveUntil(is_over, fleet, history, gateway); });
  }
  FaultInjector injector(fleet, history, is_sick, plan);
  injector.RunUntil(Clock::now() + plan.length);
  injector.Heal();
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
  is_over = true;
  for (std::thread& caller : callers)
    caller.join();
  for (std::size_t i = 0; i < plan.gateways; ++i)
    history.CheckLog(i, std::filesystem::file_size(fleet.LogPath(i)), begun);
  SoakResult result = history.Finish();
  if (!has_recovered)
    result.violations.emplace_back("not every gateway has recovered");
  if (result.served == 0)
    result.violations.emplace_back("nothing was served");
  return result;
}

}  // namespace buckthornpath
