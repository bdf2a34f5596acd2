/** @file publication_soak.cc Published changes under faults of the store. */

#include "soak/publication_soak.h"

#include <array>
#include <atomic>
#include <csignal>
#include <deque>
#include <optional>
#include <set>
#include <thread>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "soak/agenda.h"
#include "soak/persistent_connection.h"
#include "soak/publication_history.h"
#include "soak/publication_writers.h"
#include "soak/soak_evidence.h"
#include "soak/soak_timeline.h"
#include "soak/stop_history.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kCallersPerGateway = 3;
constexpr milliseconds kCallerPause{25};

/** Time for which a disturbance lasts. */
constexpr milliseconds kMinFault{100};
constexpr milliseconds kMaxFault{3000};

/** Age of the copy that the store comes back from. */
constexpr milliseconds kMinCopyAge{200};
constexpr milliseconds kMaxCopyAge{4000};
constexpr milliseconds kCopyInterval{100};

/** Sends requests to a gateway on a connection that is kept open until it
 * fails. */
class PublicationCaller {
 public:
  PublicationCaller(const GatewayFleet& fleet,
                    PublicationHistory& history,
                    std::size_t gateway,
                    std::uint64_t seed)
      : fleet(fleet), history(history), gateway(gateway), random(seed) {}

  void CallUntil(const std::atomic<bool>& is_over, const std::string& name) {
    for (int i = 0; !is_over; ++i) {
      if (this->Connect())
        this->CallOnce(kPublicationPrefix + name + "-" + std::to_string(i));
      std::this_thread::sleep_for(kCallerPause);
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

  void CallOnce(const std::string& id) {
    PublicationCall call;
    call.id = id;
    call.gateway = this->gateway;
    call.route = PublishedRoute(this->random() % kPublishedRoutes);
    CallerText text;
    text.id = id;
    text.path = call.route + "x";
    text.keeps_open = true;
    text.more_fields =
        "Buckthornpath-Deadline-Ms: " + std::to_string(kPlainDeadline.count()) +
        "\r\n";
    CallOutcome outcome;
    outcome.sent_at = Clock::now();
    if (!this->connection->Exchange(TextOf(text), kPlainDeadline, outcome))
      this->connection.reset();
    call.sent_at = outcome.sent_at;
    call.ended_at = Clock::now();
    call.status = outcome.status;
    call.is_complete = outcome.is_complete;
    call.has_timed_out = outcome.has_timed_out;
    this->history.RecordCall(call);
  }

  const GatewayFleet& fleet;
  PublicationHistory& history;
  std::size_t gateway;
  std::mt19937_64 random;
  std::optional<PersistentConnection> connection;
};

/** Disturbs the store, the links to it and the gateways. */
class PublicationFaults {
 public:
  PublicationFaults(GatewayFleet& fleet,
                    PublicationHistory& history,
                    Agenda& agenda,
                    SoakTimeline& timeline,
                    std::size_t gateways)
      : fleet(fleet),
        history(history),
        agenda(agenda),
        timeline(timeline),
        gateways(gateways),
        pace(agenda.Between(1, 4)),
        stopped_at(gateways) {}

  /** @param write_again Called when the store has come back from a copy. */
  void Begin(const Agenda::Action& write_again) {
    this->write_again = write_again;
    for (std::size_t i = 0; i < this->gateways; ++i) {
      this->history.RecordStart(i, Clock::now());
      this->AfterCalm([this, i] { this->DisturbProcess(i); });
      this->AfterCalm([this, i] { this->DisturbLink(i); });
    }
    this->AfterStoreCalm();
    this->Copy();
    this->Compact();
    this->WriteOthers();
  }

  /** Keeps up the faults that last, and the processes. */
  void Tick() {
    for (const std::size_t gateway : this->silenced)
      this->fleet.StoreProxy(gateway).SilenceOpen();
    for (std::size_t i = 0; i < this->gateways; ++i) {
      this->EndStop(i);
      this->CheckRuns(i);
    }
  }

  const std::vector<std::string>& Violations() const {
    return this->violations;
  }

  /** Lets all processes run. */
  void End() {
    for (std::size_t i = 0; i < this->gateways; ++i)
      this->fleet.Gateway(i).Signal(SIGCONT);
  }

 private:
  using ProcessFault = void (PublicationFaults::*)(std::size_t gateway);
  using StoreFault = void (PublicationFaults::*)();
  struct Copied {
    Clock::time_point at;
    StoreCopy copy;
  };

  /** Adds the next fault of a gateway. */
  void AfterCalm(Agenda::Action action) {
    this->agenda.Within(milliseconds(2000) * this->pace,
                        milliseconds(7000) * this->pace, std::move(action));
  }

  /** Adds the next fault of the store. Between some of them there is more than
   * the contact time. */
  void AfterStoreCalm() {
    this->agenda.Within(milliseconds(3000), milliseconds(10000),
                        [this] { this->DisturbStore(); });
  }

  /** Begins a disturbance that lasts for a random time.
   * @param end Removes it. */
  void Disturb(Disturbed disturbed,
               std::size_t gateway,
               const std::string& name,
               milliseconds longest,
               Agenda::Action end) {
    this->timeline.Add(name + " begins");
    const std::size_t number =
        this->history.BeginDisturbance(disturbed, gateway, Clock::now());
    this->agenda.Within(kMinFault, longest,
                        [this, number, name, end = std::move(end)] {
                          end();
                          this->history.EndDisturbance(number, Clock::now());
                          this->timeline.Add(name + " ends");
                        });
  }

  std::string NameOf(std::size_t gateway, const std::string& fault) const {
    return "gateway-" + std::to_string(gateway) + " " + fault;
  }

  void Start(std::size_t gateway) {
    this->history.RecordStart(gateway, Clock::now());
    this->fleet.Restart(gateway);
    this->killed.erase(gateway);
  }

  void DisturbProcess(std::size_t gateway) {
    constexpr std::array<ProcessFault, 3> kFaults = {&PublicationFaults::Kill,
                                                     &PublicationFaults::Pause,
                                                     &PublicationFaults::Stop};
    (this->*kFaults.at(this->agenda.Below(kFaults.size())))(gateway);
  }
  void Kill(std::size_t gateway) {
    const milliseconds longest = this->agenda.OneIn(2) ? kMinFault : kMaxFault;
    this->Disturb(
        Disturbed::kProcess, gateway, this->NameOf(gateway, "killed"), longest,
        [this, gateway] {
          this->Start(gateway);
          this->AfterCalm([this, gateway] { this->DisturbProcess(gateway); });
        });
    this->fleet.Gateway(gateway).Kill();
    this->killed.insert(gateway);
  }
  void Pause(std::size_t gateway) {
    this->Disturb(
        Disturbed::kProcess, gateway, this->NameOf(gateway, "paused"),
        kMaxFault, [this, gateway] {
          this->fleet.Gateway(gateway).Signal(SIGCONT);
          this->AfterCalm([this, gateway] { this->DisturbProcess(gateway); });
        });
    this->fleet.Gateway(gateway).Signal(SIGSTOP);
  }
  void Stop(std::size_t gateway) {
    this->timeline.Add(this->NameOf(gateway, "stops"));
    this->stopped_at[gateway] = {
        Clock::now(), this->history.BeginDisturbance(Disturbed::kStop, gateway,
                                                     Clock::now())};
    this->fleet.Gateway(gateway).Signal(SIGTERM);
  }

  /** Starts a gateway again that has ended by itself. */
  void CheckRuns(std::size_t gateway) {
    ChildProcess& process = this->fleet.Gateway(gateway);
    if (this->stopped_at[gateway] || this->killed.contains(gateway) ||
        process.IsRunning())
      return;
    this->violations.push_back(this->NameOf(gateway, "ended by itself, code ") +
                               std::to_string(process.ExitCode()));
    this->Start(gateway);
  }

  /** Starts a gateway that has stopped again. */
  void EndStop(std::size_t gateway) {
    auto& stopped = this->stopped_at[gateway];
    ChildProcess& process = this->fleet.Gateway(gateway);
    if (!stopped ||
        (process.IsRunning() && Clock::now() - stopped->first < kStopGrace))
      return;
    process.Kill();
    this->Start(gateway);
    this->history.EndDisturbance(stopped->second, Clock::now());
    this->timeline.Add(this->NameOf(gateway, "starts after its stop"));
    stopped.reset();
    this->AfterCalm([this, gateway] { this->DisturbProcess(gateway); });
  }

  void DisturbLink(std::size_t gateway) {
    constexpr std::array<ProcessFault, 4> kFaults = {
        &PublicationFaults::RefuseLink, &PublicationFaults::CutLink,
        &PublicationFaults::SilenceLink, &PublicationFaults::DelayLink};
    (this->*kFaults.at(this->agenda.Below(kFaults.size())))(gateway);
    this->AfterCalm([this, gateway] { this->DisturbLink(gateway); });
  }
  void RefuseLink(std::size_t gateway) {
    FaultProxy& proxy = this->fleet.StoreProxy(gateway);
    this->Disturb(Disturbed::kLink, gateway,
                  this->NameOf(gateway, "is refused by the store"), kMaxFault,
                  [&proxy] { proxy.RefuseNew(false); });
    proxy.RefuseNew(true);
    proxy.CutAll();
  }
  void CutLink(std::size_t gateway) {
    this->Disturb(Disturbed::kLink, gateway,
                  this->NameOf(gateway, "loses its store connections"),
                  kMinFault, [] {});
    this->fleet.StoreProxy(gateway).CutAll();
  }
  void SilenceLink(std::size_t gateway) {
    this->Disturb(Disturbed::kLink, gateway,
                  this->NameOf(gateway, "hears nothing of the store"),
                  kMaxFault,
                  [this, gateway] { this->silenced.erase(gateway); });
    this->silenced.insert(gateway);
  }
  void DelayLink(std::size_t gateway) {
    FaultProxy& proxy = this->fleet.StoreProxy(gateway);
    const milliseconds delay(this->agenda.Between(50, 600));
    this->Disturb(Disturbed::kLink, gateway,
                  this->NameOf(gateway, "hears the store late"), kMaxFault,
                  [&proxy] { proxy.SetFrameFaults({}); });
    proxy.SetFrameFaults({delay, 0, 0});
  }

  void DisturbStore() {
    constexpr std::array<StoreFault, 6> kFaults = {
        &PublicationFaults::RefuseReads,   &PublicationFaults::SilenceReads,
        &PublicationFaults::CutPagesShort, &PublicationFaults::ComeBack,
        &PublicationFaults::ComeBack,      &PublicationFaults::ComeBack};
    (this->*kFaults.at(this->agenda.Below(kFaults.size())))();
    this->AfterStoreCalm();
  }
  void RefuseReads() {
    this->SetModeForAWhile(StoreMode::kBusy, "answers 503");
  }
  void SilenceReads() {
    this->SetModeForAWhile(StoreMode::kSilent, "answers nothing");
  }
  void SetModeForAWhile(StoreMode mode, const std::string& name) {
    this->Disturb(Disturbed::kStore, 0, "store " + name, kMaxFault,
                  [this] { this->fleet.Store().SetMode(StoreMode::kServing); });
    this->fleet.Store().SetMode(mode);
  }
  void CutPagesShort() {
    this->Disturb(Disturbed::kStore, 0, "store serves first pages only",
                  kMaxFault,
                  [this] { this->fleet.Store().SetPages(PageMode::kSound); });
    this->fleet.Store().SetPages(PageMode::kOnlyTheFirst);
    this->fleet.Store().Compact();
  }

  /** The store is away for a moment, and comes back from a copy. */
  void ComeBack() {
    constexpr milliseconds kMaxAway{800};
    const auto open_watches =
        this->agenda.OneIn(2) ? OpenWatches::kEnd : OpenWatches::kGoOn;
    const bool is_away = this->agenda.OneIn(2);
    this->Disturb(Disturbed::kStore, 0, "return of the store",
                  is_away ? kMaxAway : kMinFault, [this, open_watches] {
                    this->fleet.Store().SetMode(StoreMode::kServing);
                    this->Return(open_watches);
                  });
    if (is_away) {
      this->fleet.Store().SetMode(this->agenda.OneIn(2) ? StoreMode::kBusy
                                                        : StoreMode::kSilent);
    }
  }
  void Return(OpenWatches open_watches) {
    const auto age = milliseconds(
        this->agenda.Between(kMinCopyAge.count(), kMaxCopyAge.count()));
    const auto now = Clock::now();
    while (this->copies.size() > 1 && this->copies.front().at < now - age)
      this->copies.pop_front();
    const Copied& copied = this->copies.front();
    this->fleet.Store().ComeBackFrom(copied.copy, open_watches);
    this->history.RecordReturn(copied.at, Clock::now());
    this->timeline.Add(
        "store comes back with what it held " +
        std::to_string(
            std::chrono::duration_cast<milliseconds>(now - copied.at).count()) +
        " ms before, revision " + std::to_string(copied.copy.revision) +
        (open_watches == OpenWatches::kEnd ? ", watches end"
                                           : ", watches go on"));
    this->write_again();
  }

  void Copy() {
    const auto now = Clock::now();
    this->copies.push_back({now, this->fleet.Store().TakeCopy()});
    while (this->copies.front().at < now - kMaxCopyAge)
      this->copies.pop_front();
    this->agenda.After(kCopyInterval, [this] { this->Copy(); });
  }

  /** Discards the history; the store may do so at any time. */
  void Compact() {
    this->agenda.Within(milliseconds(1000), milliseconds(8000), [this] {
      this->timeline.Add("store discards its history");
      this->fleet.Store().Compact();
      this->Compact();
    });
  }

  /** Others write to the store as well, so that a copy from before lacks many
   * revisions, and few changes come after them. */
  void WriteOthers() {
    this->agenda.Within(milliseconds(1000), milliseconds(9000), [this] {
      const std::int64_t count = this->agenda.Between(5, 250);
      for (std::int64_t i = 0; i < count; ++i)
        this->fleet.Store().Put("other/" + std::to_string(i), std::string("x"));
      this->timeline.Add("others write " + std::to_string(count) + " items");
      this->WriteOthers();
    });
  }

  GatewayFleet& fleet;
  PublicationHistory& history;
  Agenda& agenda;
  SoakTimeline& timeline;
  std::size_t gateways;
  std::int64_t pace;  ///< The greater, the rarer are faults of gateways.
  Agenda::Action write_again;
  std::set<std::size_t> silenced;
  std::set<std::size_t> killed;
  std::deque<Copied> copies;
  /** Time of a stop and the number of its disturbance. */
  std::vector<std::optional<std::pair<Clock::time_point, std::size_t>>>
      stopped_at;
  std::vector<std::string> violations;
};

GatewayPlan FleetPlanOf(Agenda& agenda) {
  const std::vector<std::string> domains = {"a", "b", "c"};
  GatewayPlan plan;
  plan.gateways = static_cast<std::size_t>(agenda.Between(2, 6));
  plan.failure_domains.assign(domains.begin(),
                              domains.begin() + agenda.Between(1, 3));
  plan.engines = 1;
  plan.ledgers = static_cast<std::size_t>(agenda.Between(4, 8));
  plan.store_proxied = true;
  constexpr int kDefaultWaitMs = 10000;
  if (agenda.OneIn(2))
    plan.settings = {{"configuration_wait", kDefaultWaitMs}};
  return plan;
}

/** Waits until all gateways use a version. */
void AwaitVersion(GatewayFleet& fleet,
                  std::size_t gateways,
                  std::uint64_t version) {
  for (std::size_t i = 0; i < gateways; ++i) {
    const bool is_in_force = WaitUntil([&] {
      const auto status = LocalFleet::StatusOf(fleet.Operator(i));
      return status.is_object() && status.value("configuration", 0U) == version;
    });
    if (!is_in_force)
      throw std::runtime_error("gateway " + std::to_string(i) +
                               " does not use the first version");
  }
}

}  // namespace

SoakResult RunPublicationSoak(const PublicationSoakPlan& plan) {
  PublicationHistory history;
  SoakTimeline timeline;
  Agenda agenda(plan.seed);
  const GatewayPlan fleet_plan = FleetPlanOf(agenda);
  std::optional<PublicationEndpoints> endpoints;
  GatewayFleet fleet(fleet_plan);
  timeline.Add(std::to_string(fleet_plan.gateways) + " gateways, " +
               std::to_string(fleet_plan.failure_domains.size()) +
               " failure domains, " + std::to_string(fleet_plan.ledgers) +
               " endpoints");
  if (agenda.OneIn(2))
    fleet.Store().SetPageSize(static_cast<std::size_t>(agenda.Between(2, 5)));
  endpoints.emplace(fleet, history, agenda, timeline, fleet_plan.ledgers);
  endpoints->Begin();
  PublicationOperator publisher(fleet, history, agenda, timeline);
  AwaitVersion(fleet, fleet_plan.gateways, publisher.Begin());
  PublicationFaults faults(fleet, history, agenda, timeline,
                           fleet_plan.gateways);
  faults.Begin([&] {
    agenda.Within(milliseconds(100), milliseconds(1000),
                  [&] { publisher.Write(); });
    endpoints->WriteAgain();
  });
  publisher.Change();
  endpoints->Live();
  std::atomic<bool> is_over = false;
  std::vector<std::thread> callers;
  const std::size_t caller_count = fleet_plan.gateways * kCallersPerGateway;
  callers.reserve(caller_count);
  for (std::size_t i = 0; i < caller_count; ++i) {
    callers.emplace_back([&, i] {
      PublicationCaller caller(fleet, history, i % fleet_plan.gateways,
                               plan.seed * 1000 + i);
      caller.CallUntil(is_over, std::to_string(i));
    });
  }
  const auto end = Clock::now() + plan.length;
  while (Clock::now() < end) {
    agenda.RunDue();
    faults.Tick();
    std::this_thread::sleep_for(milliseconds(5));
  }
  is_over = true;
  for (std::thread& caller : callers)
    caller.join();
  faults.End();
  SoakResult result = history.Judge();
  for (const std::string& violation : faults.Violations())
    result.violations.push_back(violation);
  if (result.served == 0)
    result.violations.emplace_back("nothing was served");
  if (!result.violations.empty()) {
    result.evidence += timeline.Lines();
    result.evidence += FindEvidence(
        fleet, fleet_plan.gateways, result.violations,
        {"\"configuration_in_force\"", "\"endpoint_", "\"store_",
         "\"watch_cut\"", "\"removal_deferred\"", "\"published_by_peer\"",
         "\"list_incomplete\"", "\"hub_", "\"item_", "\"woke_after_pause\""});
  }
  return result;
}

}  // namespace buckthornpath
