/** @file fault_schedule.cc Injects generated faults into a fleet. */

#include "sweep/fault_schedule.h"

#include <rapidcheck.h>

#include <array>
#include <csignal>
#include <iostream>
#include <thread>

#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "sweep/sweep_callers.h"

namespace buckthornpath {

namespace {

constexpr std::size_t kRouters = 2;
constexpr std::size_t kEndpoints = 4;
constexpr std::size_t kCallers = 6;
constexpr std::size_t kCallsPerCaller = 4;
constexpr std::size_t kMaxFaults = 6;
constexpr int kMaxDelayMs = 250;

/** Longer than every timeout in SweepPlan(). */
constexpr std::chrono::milliseconds kProcessPause{900};

constexpr std::array<std::string_view, kFaultKindCount> kFaultNames = {
    "kill_router", "kill_endpoint", "pause_router", "pause_endpoint",
    "cut",         "cut_one_way",   "silence",      "silence_one_way",
    "delay",       "double",        "reorder",      "refuse_new",
    "list_change", "engine_break",  "engine_empty"};

FleetPlan SweepPlan() {
  FleetPlan plan;
  plan.routers = kRouters;
  plan.proxied = true;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"ledger-1", "ledger", false},
                    {"ledger-2", "ledger", false}};
  plan.settings = {{"connect_timeout", 150},  {"heartbeat_interval", 50},
                   {"silence_timeout", 200},  {"recovery_timeout", 500},
                   {"ticket_lifetime", 1500}, {"vm_list_interval", 50}};
  return plan;
}

/** Injects faults into a fleet and removes them at the end. */
class FaultInjector {
 public:
  explicit FaultInjector(LocalFleet& fleet) : fleet(fleet) {}

  void Inject(const FaultStep& step) {
    const std::size_t router = step.target % kRouters;
    const std::size_t endpoint = step.target % kEndpoints;
    FaultProxy& proxy = this->fleet.Proxy(endpoint);
    const Direction direction =
        step.target % 8 < 4 ? Direction::kToEndpoint : Direction::kToRouter;
    switch (step.kind) {
      case FaultKind::kKillRouter:
        this->fleet.RouterProcess(router).Kill();
        this->fleet.RestartRouter(router);
        break;
      case FaultKind::kKillEndpoint:
        this->fleet.EndpointProcess(endpoint).Kill();
        this->fleet.RestartEndpoint(endpoint);
        break;
      case FaultKind::kPauseRouter:
        this->Pause(this->fleet.RouterProcess(router));
        break;
      case FaultKind::kPauseEndpoint:
        this->Pause(this->fleet.EndpointProcess(endpoint));
        break;
      case FaultKind::kCut:
        proxy.CutAll();
        break;
      case FaultKind::kCutOneWay:
        proxy.CutDirection(direction);
        break;
      case FaultKind::kSilence:
        proxy.SilenceOpen();
        break;
      case FaultKind::kSilenceOneWay:
        proxy.SilenceOpen(direction);
        break;
      case FaultKind::kDelay:
        proxy.SetFrameFaults({std::chrono::milliseconds(20), 0, 0});
        break;
      case FaultKind::kDouble:
        proxy.SetFrameFaults({{}, 2, 0});
        break;
      case FaultKind::kReorder:
        proxy.SetFrameFaults({{}, 0, 3});
        break;
      case FaultKind::kRefuseNew:
        proxy.CutAll();
        proxy.RefuseNew(true);
        break;
      case FaultKind::kListChange:
        this->fleet.PublishVms(
            {{endpoint < 2 ? "draft-1" : "ledger-1", "leaving"}});
        break;
      case FaultKind::kEngineBreak:
        this->SetEngineFaults(R"({"break_next":2,"break_after":5})");
        break;
      case FaultKind::kEngineEmpty:
        this->SetEngineFaults(R"({"empty_next":1})");
        break;
    }
  }

  /** Removes all lasting faults, so that delayed messages arrive. */
  void RemoveFaults() {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      this->fleet.Proxy(i).SetFrameFaults({});
      this->fleet.Proxy(i).RefuseNew(false);
    }
    this->fleet.PublishVms();
    this->pauses.clear();
  }

 private:
  void SetEngineFaults(const char* faults) {
    constexpr std::size_t kModelEndpoints = 2;
    for (std::size_t i = 0; i < kModelEndpoints; ++i) {
      CallHttp(this->fleet.Engine(i),
               HttpRequest{"POST", "/control", {}, faults});
    }
  }

  void Pause(ChildProcess& process) {
    process.Signal(SIGSTOP);
    this->pauses.emplace_back([&process] {
      std::this_thread::sleep_for(kProcessPause);
      process.Signal(SIGCONT);
    });
  }

  LocalFleet& fleet;
  std::vector<std::jthread> pauses;
};

rc::Gen<FaultSchedule> Schedules(std::optional<FaultKind> only_kind) {
  const auto step = rc::gen::build<FaultStep>(
      rc::gen::set(
          &FaultStep::kind,
          rc::gen::map(rc::gen::inRange<std::size_t>(0, kFaultKindCount),
                       [only_kind](std::size_t index) {
                         return only_kind.value_or(
                             static_cast<FaultKind>(index));
                       })),
      rc::gen::set(&FaultStep::target, rc::gen::inRange<std::size_t>(0, 8)),
      rc::gen::set(&FaultStep::delay_before,
                   rc::gen::map(rc::gen::inRange(0, kMaxDelayMs), [](int ms) {
                     return std::chrono::milliseconds(ms);
                   })));
  // Draws from the full ranges, independent of the current rapidcheck size.
  constexpr int kFullSize = 100;
  return rc::gen::resize(
      kFullSize,
      rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, kMaxFaults + 1),
                      [step](std::size_t count) {
                        return rc::gen::container<FaultSchedule>(count, step);
                      }));
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  return kFaultNames.at(static_cast<std::size_t>(kind));
}

std::ostream& operator<<(std::ostream& out, const FaultStep& step) {
  return out << FaultName(step.kind) << "@" << step.target << "+"
             << step.delay_before.count() << "ms";
}

HistoryCheckResult RunSchedule(const FaultSchedule& schedule) {
  LocalFleet fleet(SweepPlan());
  const std::string path = (fleet.Directory() / "callers.history").string();
  HistoryFile history(path);
  {
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&fleet, &history, i] {
        SweepCaller(fleet, history, i).Run(kCallsPerCaller);
      });
    }
    FaultInjector injector(fleet);
    for (const FaultStep& step : schedule) {
      std::this_thread::sleep_for(step.delay_before);
      injector.Inject(step);
    }
    callers.clear();
    injector.RemoveFaults();
  }
  // Lets requests arrive that are in transit when the last caller times out.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  auto lines = ReadHistory(path);
  const auto runs = fleet.EngineHistory();
  lines.insert(lines.end(), runs.begin(), runs.end());
  return CheckHistory(lines);
}

std::optional<FaultKind> FindFault(std::string_view name) {
  for (std::size_t i = 0; i < kFaultNames.size(); ++i) {
    if (kFaultNames.at(i) == name)
      return static_cast<FaultKind>(i);
  }
  return std::nullopt;
}

SweepResult RunSweep(std::uint64_t seed,
                     int runs,
                     std::optional<FaultKind> only_kind) {
  SweepResult sweep;
  std::map<std::string, std::size_t> outcomes;
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = runs;
  rc::detail::TestMetadata metadata;
  metadata.id = "outcomes hold under generated faults";
  const auto result = rc::detail::checkTestable(
      [&] {
        const FaultSchedule schedule = *Schedules(only_kind);
        const HistoryCheckResult check = RunSchedule(schedule);
        ++sweep.runs;
        sweep.calls += check.calls;
        sweep.faults += schedule.size();
        sweep.violations += check.violations.size();
        for (const auto& [outcome, count] : check.outcomes)
          outcomes[outcome] += count;
        for (const std::string& violation : check.violations)
          std::cout << violation << std::endl;
        RC_ASSERT(check.violations.empty());
      },
      metadata, params);
  rc::detail::printResultMessage(result, std::cout);
  sweep.passed = result.template is<rc::detail::SuccessResult>();
  std::cout << "\n"
            << nlohmann::json{{"seed", seed},
                              {"faults_of",
                               only_kind ? FaultName(*only_kind) : "all"},
                              {"runs", sweep.runs},
                              {"calls", sweep.calls},
                              {"faults", sweep.faults},
                              {"told", outcomes},
                              {"violations", sweep.violations}}
                   .dump()
            << std::endl;
  return sweep;
}

}  // namespace buckthornpath
