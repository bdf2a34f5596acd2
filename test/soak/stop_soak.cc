/** @file stop_soak.cc Planned stops of gateways in series, under load. */

#include "soak/stop_soak.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include "harness/gateway_fleet.h"
#include "soak/persistent_connection.h"
#include "soak/soak_evidence.h"
#include "soak/stop_history.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kLedgers = 3;

/** Time without an event after which the caller of a stream leaves. */
constexpr milliseconds kCallerGap{2000};

/** Interval of the events of an engine, and its check of a queued request. */
constexpr milliseconds kEventInterval{25};
constexpr milliseconds kQueueInterval{10};

constexpr milliseconds kPlainTime{15};

/** Time in which a gateway has started and handles signals. */
constexpr milliseconds kStartTime{500};

/** Pause of a caller after a failed connection or a refusal. */
constexpr milliseconds kCallerPause{50};

/** Thread-safe random numbers. */
class SharedRandom {
 public:
  explicit SharedRandom(std::uint64_t seed) : random(seed) {}

  /** @return A number from first to last, each as likely. */
  std::int64_t Between(std::int64_t first, std::int64_t last) {
    const std::lock_guard lock(this->mutex);
    return std::uniform_int_distribution<std::int64_t>(first,
                                                       last)(this->random);
  }
  milliseconds Time(milliseconds first, milliseconds last) {
    return milliseconds(this->Between(first.count(), last.count()));
  }
  bool OneIn(std::int64_t count) { return this->Between(1, count) == 1; }

 private:
  std::mutex mutex;
  std::mt19937_64 random;
};

/** An engine with slots and a queue. It pauses single streams, as one that
 * preempts, and at times all of them. */
class PausingEngine {
 public:
  PausingEngine(StopHistory& history,
                std::string name,
                const StopSoakPlan& plan,
                std::uint64_t seed)
      : history(history), name(std::move(name)), plan(plan), random(seed) {}

  void PauseAll(milliseconds time) {
    this->paused_until = (Clock::now() + time).time_since_epoch();
  }

  bool IsPaused() const {
    return Clock::now() < Clock::time_point(this->paused_until.load());
  }

  void Serve(ScriptedCall& call) {
    const std::string id = call.Id();
    if (this->random.OneIn(this->plan.refused_one_in)) {
      this->history.RecordRefusal(id);
      call.Answer(503, "", "Buckthornpath-Not-Executed: 1\r\n");
      return;
    }
    this->history.RecordArrival(id, this->name);
    if (!this->TakeSlot(call)) {
      call.Close(false);
      return;
    }
    this->Stream(call, id);
    --this->running;
  }

 private:
  /** Waits for a slot. @return False if the gateway has left. */
  bool TakeSlot(ScriptedCall& call) {
    while (true) {
      std::size_t count = this->running;
      if (count < this->plan.slots) {
        if (this->running.compare_exchange_weak(count, count + 1))
          return true;
        continue;
      }
      if (call.WaitForClose(kQueueInterval))
        return false;
    }
  }

  /** Pauses the work on a request. @return False if the gateway has left. */
  bool Pause(ScriptedCall& call, milliseconds time) {
    const auto end = Clock::now() + time;
    while (true) {
      const auto until =
          std::max(end, Clock::time_point(this->paused_until.load()));
      const auto left = std::chrono::ceil<milliseconds>(until - Clock::now());
      if (left <= milliseconds(0))
        return true;
      if (call.WaitForClose(left))
        return false;
    }
  }

  void Stream(ScriptedCall& call, const std::string& id) {
    constexpr int kPausedOneIn = 6;
    const std::string after = call.Field("Last-Event-Id");
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    const int last = LastEventOf(id);
    const bool pauses =
        this->plan.has_joint_pauses && this->random.OneIn(kPausedOneIn);
    const std::int64_t paused_event = this->random.Between(first - 1, last);
    const milliseconds pause =
        this->random.Time(this->plan.min_pause, this->plan.max_pause);
    if (!this->Pause(call,
                     pauses && paused_event < first ? pause : kEventInterval))
      return;
    call.BeginEvents();
    for (int event = first; event <= last; ++event) {
      call.Event(event);
      this->history.RecordWork(id);
      const bool pauses_now = pauses && event == paused_event;
      if (!this->Pause(call, pauses_now ? pause : kEventInterval)) {
        call.Close(false);
        return;
      }
    }
    call.EndEvents();
    this->history.RecordEnd(id);
  }

  StopHistory& history;
  std::string name;
  const StopSoakPlan& plan;
  SharedRandom random;
  std::atomic<std::size_t> running = 0;
  std::atomic<Clock::duration> paused_until{Clock::duration::zero()};
};

EndpointScript LedgerScript(StopHistory& history, const std::string& name) {
  return [&history, name](ScriptedCall& call) {
    const std::string id = call.Id();
    history.RecordArrival(id, name);
    history.RecordWork(id);
    std::this_thread::sleep_for(kPlainTime);
    call.Answer(200, "answer to " + id);
    history.RecordEnd(id);
  };
}

/** A kind of request and how often it comes, of 20. */
struct CallKind {
  const char* prefix;
  const char* path;
  int share;
};

constexpr std::array<CallKind, 4> kCallKinds = {{{kChatPrefix, "/talk/x", 9},
                                                 {kDraftPrefix, "/draft/x", 5},
                                                 {"issue-", "/issue/x", 3},
                                                 {"lookup-", "/lookup/x", 3}}};

const CallKind& DrawKind(SharedRandom& random) {
  std::int64_t draw = random.Between(0, 19);
  for (const CallKind& kind : kCallKinds) {
    if (draw < kind.share)
      return kind;
    draw -= kind.share;
  }
  return kCallKinds.back();
}

/** Sends requests to a gateway, on a connection that is kept open. */
class Caller {
 public:
  Caller(const GatewayFleet& fleet,
         StopHistory& history,
         std::size_t gateway,
         std::uint64_t seed)
      : fleet(fleet), history(history), gateway(gateway), random(seed) {}

  void CallUntil(const std::atomic<bool>& is_over, const std::string& name) {
    for (int i = 0; !is_over; ++i) {
      if (!this->Connect()) {
        std::this_thread::sleep_for(kCallerPause);
        continue;
      }
      this->CallOnce(name + "-" + std::to_string(i));
    }
  }

 private:
  bool Connect() {
    try {
      if (!this->connection)
        this->connection.emplace(this->fleet.Caller(this->gateway));
    } catch (const boost::system::system_error&) {
      return false;  // The gateway is down.
    }
    return true;
  }

  void CallOnce(const std::string& name) {
    const CallKind& kind = DrawKind(this->random);
    const bool is_stream = IsStream(kind.prefix);
    // Mostly short streams, some long ones.
    const std::int64_t last_event = this->random.OneIn(4)
                                        ? this->random.Between(60, 136)
                                        : this->random.Between(3, 60);
    CallOutcome outcome;
    outcome.id = kind.prefix + name + "-" + std::to_string(last_event);
    outcome.gateway = this->gateway;
    const milliseconds deadline = is_stream ? kChatDeadline : kPlainDeadline;
    CallerText text;
    text.id = outcome.id;
    text.path = kind.path;
    text.keeps_open = true;
    text.more_fields =
        "Buckthornpath-Deadline-Ms: " + std::to_string(deadline.count()) +
        "\r\n";
    if (is_stream) {
      text.more_fields +=
          "Buckthornpath-Model: m\r\nBuckthornpath-Token-Usage: 90,400\r\n"
          "Buckthornpath-Prompt-Prefix: a:40,b" +
          std::to_string(this->random.Between(0, 40)) + ":50\r\n";
    }
    outcome.sent_at = Clock::now();
    if (!this->connection->Exchange(TextOf(text), deadline, outcome,
                                    is_stream ? kCallerGap : deadline))
      this->connection.reset();
    this->history.RecordOutcome(outcome);
    if (outcome.status != 200)
      std::this_thread::sleep_for(kCallerPause);
  }

  const GatewayFleet& fleet;
  StopHistory& history;
  std::size_t gateway;
  SharedRandom random;
  std::optional<PersistentConnection> connection;
};

/** Stops gateways, kills those that outlast the grace and starts them again. */
class StopInjector {
 public:
  StopInjector(GatewayFleet& fleet,
               StopHistory& history,
               std::vector<std::unique_ptr<PausingEngine>>& engines,
               const StopSoakPlan& plan)
      : fleet(fleet),
        history(history),
        engines(engines),
        plan(plan),
        random(plan.seed),
        stopped_at(plan.gateways),
        started_at(plan.gateways) {}

  void RunUntil(Clock::time_point end) {
    auto next_stop = Clock::now() + milliseconds(1000);
    auto next_pause = Clock::now();
    while (Clock::now() < end || this->IsAnyStopping()) {
      const auto now = Clock::now();
      if (now >= next_stop && now < end) {
        this->Stop();
        next_stop =
            now + this->random.Time(milliseconds(200), milliseconds(3500));
      }
      if (now >= next_pause) {
        this->PauseEngine();
        next_pause = now + this->random.Time(this->plan.min_pause_interval,
                                             this->plan.max_pause_interval);
      }
      this->KillAndRestart();
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

 private:
  std::size_t Draw(std::size_t count) {
    return static_cast<std::size_t>(
        this->random.Between(0, static_cast<std::int64_t>(count) - 1));
  }

  void PauseEngine() {
    const bool is_any_paused =
        std::any_of(this->engines.begin(), this->engines.end(),
                    [](const auto& engine) { return engine->IsPaused(); });
    if (is_any_paused && !this->plan.has_joint_pauses)
      return;
    const milliseconds time =
        this->random.Time(this->plan.min_pause, this->plan.max_pause);
    this->engines.at(this->Draw(this->engines.size()))->PauseAll(time);
  }

  bool IsAnyStopping() const {
    return std::any_of(this->stopped_at.begin(), this->stopped_at.end(),
                       [](const auto& time) { return time.has_value(); });
  }

  void Stop() {
    const std::size_t index = this->Draw(this->stopped_at.size());
    this->fleet.Gateway(index).Signal(SIGTERM);
    // A repeated SIGTERM doesn't lengthen the grace.
    if (this->stopped_at[index])
      return;
    this->stopped_at[index] = Clock::now();
    this->history.RecordStop(index);
  }

  void KillAndRestart() {
    for (std::size_t i = 0; i < this->stopped_at.size(); ++i) {
      ChildProcess& gateway = this->fleet.Gateway(i);
      const bool is_running = gateway.IsRunning();
      if (is_running && this->stopped_at[i] &&
          Clock::now() - *this->stopped_at[i] >= kStopGrace) {
        gateway.Kill();
      } else if (is_running) {
        continue;
      } else {
        const bool was_starting =
            this->stopped_at[i] &&
            *this->stopped_at[i] - this->started_at[i] < kStartTime;
        this->history.RecordExit(i, gateway.ExitCode(), was_starting);
      }
      this->stopped_at[i].reset();
      std::this_thread::sleep_for(
          this->random.Time(milliseconds(0), milliseconds(50)));
      this->fleet.Restart(i);
      this->started_at[i] = Clock::now();
    }
  }

  GatewayFleet& fleet;
  StopHistory& history;
  std::vector<std::unique_ptr<PausingEngine>>& engines;
  const StopSoakPlan& plan;
  SharedRandom random;
  std::vector<std::optional<Clock::time_point>> stopped_at;
  std::vector<Clock::time_point> started_at;
};

GatewayPlan FleetPlanOf(const StopSoakPlan& plan) {
  GatewayPlan fleet_plan;
  fleet_plan.gateways = plan.gateways;
  fleet_plan.failure_domains = {"a", "b", "c"};
  fleet_plan.engines = plan.engines;
  fleet_plan.ledgers = kLedgers;
  fleet_plan.slots = plan.slots;
  fleet_plan.max_connections = 300;
  fleet_plan.settings = {{"retry_slack", 56}};
  return fleet_plan;
}

}  // namespace

SoakResult RunStopSoak(const StopSoakPlan& plan) {
  StopHistory history;
  // The threads of the fleet's endpoints use the engines to the end.
  std::vector<std::unique_ptr<PausingEngine>> engines;
  GatewayFleet fleet(FleetPlanOf(plan));
  fleet.PublishLongTimeouts();
  for (std::size_t i = 0; i < plan.engines; ++i) {
    engines.push_back(std::make_unique<PausingEngine>(
        history, "engine-" + std::to_string(i), plan, plan.seed * 100 + i));
    fleet.Engine(i).SetScript([engine = engines.back().get()](
                                  ScriptedCall& call) { engine->Serve(call); });
  }
  for (std::size_t i = 0; i < kLedgers; ++i)
    fleet.Ledger(i).SetScript(
        LedgerScript(history, "ledger-" + std::to_string(i)));
  std::atomic<bool> is_over = false;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < plan.gateways * plan.callers_per_gateway; ++i) {
    threads.emplace_back([&, i] {
      Caller caller(fleet, history, i % plan.gateways, plan.seed * 1000 + i);
      caller.CallUntil(is_over, std::to_string(i));
    });
  }
  StopInjector injector(fleet, history, engines, plan);
  injector.RunUntil(Clock::now() + plan.length);
  is_over = true;
  for (std::thread& thread : threads)
    thread.join();
  SoakResult result = history.Finish();
  if (!result.violations.empty())
    result.evidence = FindEvidence(fleet, plan.gateways, result.violations);
  return result;
}

}  // namespace buckthornpath
