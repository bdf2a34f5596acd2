/** @file soak_run.cc One randomized run of real gateways under faults. */

#include "soak/soak_run.h"

#include <array>
#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Random = std::mt19937_64;

constexpr std::size_t kEngines = 3;
constexpr std::size_t kLedgers = 3;
constexpr int kCallersPerGateway = 4;
constexpr int kEvents = 6;

/** Bound of the platform on an endpoint that leaves. */
constexpr milliseconds kDrainTime{2000};

/** Time in which the store serves all after an endpoint has begun to leave, so
 * that the bound holds for every process. */
constexpr milliseconds kNewsTime{800};

/** Bound of the platform on recovery once all faults have ended. */
constexpr milliseconds kRecoveryTime{12000};

constexpr milliseconds kShortestPause{50};
constexpr milliseconds kLongestPause{400};

std::size_t Below(Random& random, std::size_t limit) {
  return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

milliseconds Pause(Random& random) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      kShortestPause.count(), kLongestPause.count())(random));
}

/** What endpoints and callers saw; the only source of a verdict. */
class SoakHistory {
 public:
  void NoteRun(const std::string& id,
               const std::string& organisation,
               bool has_key,
               const std::string& endpoint) {
    const std::lock_guard lock(this->mutex);
    ++this->runs[id];
    if (organisation != "parish" || has_key)
      this->Violate(id + " ran with another organisation or with the key");
    const auto left = this->left_at.find(endpoint);
    if (left != this->left_at.end() &&
        Clock::now() - left->second > kDrainTime) {
      this->Violate(id + " ran at " + endpoint + " after it had left");
    }
  }

  void NoteLeaving(const std::string& endpoint, bool leaves) {
    const std::lock_guard lock(this->mutex);
    if (leaves) {
      this->left_at.try_emplace(endpoint, Clock::now());
    } else {
      this->left_at.erase(endpoint);
    }
  }

  void NoteAnswer(const std::string& id,
                  const std::string& path,
                  const RawAnswer& answer) {
    const std::lock_guard lock(this->mutex);
    ++this->result.calls;
    if (answer.status == 200)
      this->CheckSuccess(id, path, answer);
    if (answer.status == 503)
      this->refused.push_back(id);
    if (answer.status == 401 || answer.status == 404 || answer.status == 400)
      this->Violate(id + " was denied: " + std::to_string(answer.status));
  }

  void NoteFault() {
    const std::lock_guard lock(this->mutex);
    ++this->result.faults;
  }

  void Violate(const std::string& text) {
    this->result.violations.push_back(text);
  }

  SoakResult Finish() {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, count] : this->runs) {
      if (count > 1 && id.starts_with("once-"))
        this->Violate(id + " ran " + std::to_string(count) + " times");
    }
    for (const std::string& id : this->refused) {
      if (this->runs.contains(id) && id.starts_with("once-"))
        this->Violate(id + " was refused as not run and had run");
    }
    return this->result;
  }

 private:
  void CheckSuccess(const std::string& id,
                    const std::string& path,
                    const RawAnswer& answer) {
    if (path != "/talk/x") {
      // A body that is short against its stated length is no answer.
      const std::string whole = "answer to " + id;
      if (answer.body == whole)
        ++this->result.served;
      else if (answer.body.size() >= whole.size())
        this->Violate(id + " got a body that is not its own");
      return;
    }
    std::size_t from = 0;
    int next = 1;
    for (; next <= kEvents; ++next) {
      const std::string event = "data: d" + std::to_string(next) + "\n\n";
      const std::size_t at = answer.body.find("data: d", from);
      if (at == std::string::npos)
        break;
      if (answer.body.compare(at, event.size(), event) != 0) {
        // The last event of a stream that broke off may be cut.
        if (answer.body.find("\n\n", at) != std::string::npos)
          this->Violate(id + " got events out of order or twice");
        return;
      }
      from = at + event.size();
    }
    const bool is_ended =
        answer.body.ends_with("0\r\n\r\n") ||
        answer.head.find("Content-Length") != std::string::npos;
    if (is_ended && next <= kEvents)
      this->Violate(id + " got a short stream that looks complete");
    if (is_ended)
      ++this->result.served;
  }

  std::mutex mutex;
  SoakResult result;
  std::map<std::string, int> runs;
  std::map<std::string, Clock::time_point> left_at;
  std::vector<std::string> refused;
};

/** An endpoint that works a little, and now and then breaks off. */
EndpointScript Script(SoakHistory& history,
                      const std::string& name,
                      std::uint64_t seed) {
  auto random = std::make_shared<Random>(seed);
  auto mutex = std::make_shared<std::mutex>();
  return [&history, name, random, mutex](ScriptedCall& call) {
    history.NoteRun(call.Id(), call.Field("Buckthornpath-Tenant"),
                    !call.Field("X-Api-Key").empty(), name);
    std::size_t dice = 0;
    {
      const std::lock_guard lock(*mutex);
      dice = Below(*random, 40);
    }
    std::this_thread::sleep_for(milliseconds(5 + dice));
    if (dice == 0) {
      call.Close(true);
    } else if (call.Request().target() == "/talk/x") {
      const std::string after = call.Field("Last-Event-Id");
      call.BeginEvents();
      for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= kEvents;
           ++id) {
        std::this_thread::sleep_for(milliseconds(10));
        call.Event(id);
        if (dice == 1 && id == 3) {
          call.Close(true);
          return;
        }
      }
      call.EndEvents();
    } else {
      call.Answer(200, "answer to " + call.Id());
    }
  };
}

/** Sends requests on connections that are kept until the other side closes. */
void CallUntil(const std::atomic<bool>& is_over,
               GatewayFleet& fleet,
               SoakHistory& history,
               std::size_t gateway,
               int caller) {
  constexpr std::array<std::pair<const char*, const char*>, 3> kKinds = {
      {{"once-", "/issue/x"}, {"many-", "/lookup/x"}, {"talk-", "/talk/x"}}};
  for (std::size_t i = 0; !is_over; ++i) {
    const auto& [prefix, path] = kKinds.at(i % kKinds.size());
    CallerText text;
    text.path = path;
    text.id = prefix + std::to_string(gateway) + "-" + std::to_string(caller) +
              "-" + std::to_string(i);
    text.more_fields = "Buckthornpath-Deadline-Ms: 3000\r\n";
    try {
      const RawAnswer answer = fleet.Call(gateway, TextOf(text));
      history.NoteAnswer(text.id, path, answer);
      if (answer.status != 200)
        std::this_thread::sleep_for(kShortestPause);
    } catch (const std::runtime_error&) {
      std::this_thread::sleep_for(kShortestPause);  // No process there now.
    }
  }
}

/** Faults that come from outside the processes, one after the other. */
class FaultInjector {
 public:
  FaultInjector(GatewayFleet& fleet, SoakHistory& history, const SoakPlan& plan)
      : fleet(fleet), history(history), plan(plan), random(plan.seed) {}

  void RunUntil(Clock::time_point end) {
    while (Clock::now() < end) {
      this->RestartEnded();
      this->Inject();
      this->history.NoteFault();
      std::this_thread::sleep_for(Pause(this->random));
    }
  }

  /** Restarts gateways that have ended, as the platform does. */
  void RestartEnded() {
    for (std::size_t i = 0; i < this->plan.gateways; ++i) {
      if (!this->fleet.Gateway(i).IsRunning())
        this->fleet.Restart(i);
    }
  }

  /** Ends every fault, so that all can recover. */
  void Heal() {
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
    constexpr std::array<Fault, 11> kFaults = {
        &FaultInjector::Kill,         &FaultInjector::Terminate,
        &FaultInjector::PauseProcess, &FaultInjector::Reload,
        &FaultInjector::CutLinks,     &FaultInjector::CutOneWay,
        &FaultInjector::Silence,      &FaultInjector::Delay,
        &FaultInjector::StoreAway,    &FaultInjector::Configure,
        &FaultInjector::Leave};
    (this->*kFaults.at(Below(this->random, kFaults.size())))();
  }

  std::size_t AnyGateway() { return Below(this->random, this->plan.gateways); }
  FaultProxy& AnyProxy() {
    return this->fleet.Proxy(Below(this->random, this->fleet.ProxyCount()));
  }

  void Kill() {
    const std::size_t gateway = this->AnyGateway();
    this->fleet.Gateway(gateway).Kill();
    std::this_thread::sleep_for(Pause(this->random));
    this->fleet.Restart(gateway);
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
  void Configure() {
    this->fleet.Store().Put("op/config",
                            StandardConfiguration(++this->version));
  }
  void Leave() {
    const std::size_t ledger = 1 + Below(this->random, kLedgers - 1);
    this->SetLeaving(ledger, Below(this->random, 3) > 0);
    std::this_thread::sleep_for(kNewsTime);
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
  SoakHistory history;
  GatewayFleet fleet(shape);
  for (std::size_t i = 0; i < kEngines; ++i)
    fleet.Engine(i).SetScript(
        Script(history, "engine-" + std::to_string(i), plan.seed * 10 + i));
  for (std::size_t i = 0; i < kLedgers; ++i)
    fleet.Ledger(i).SetScript(
        Script(history, "ledger-" + std::to_string(i), plan.seed * 20 + i));
  std::atomic<bool> is_over = false;
  std::vector<std::thread> callers;
  for (std::size_t gateway = 0; gateway < plan.gateways; ++gateway) {
    for (int caller = 0; caller < kCallersPerGateway; ++caller) {
      callers.emplace_back([&, gateway, caller] {
        CallUntil(is_over, fleet, history, gateway, caller);
      });
    }
  }
  FaultInjector injector(fleet, history, plan);
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
  SoakResult result = history.Finish();
  if (!has_recovered)
    result.violations.emplace_back("not every gateway has recovered");
  if (result.served == 0)
    result.violations.emplace_back("nothing was served");
  return result;
}

}  // namespace buckthornpath
