/** @file load.cc Load bound, priority classes, fair shares; real processes. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <csignal>
#include <thread>

#include "harness/caller.h"
#include "harness/load_history.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

constexpr int kTokens = 12;
constexpr std::size_t kSlots = 4;

/** Concurrent callers, one thread each; the destructor joins them. */
class ConcurrentCallers {
 public:
  ConcurrentCallers() = default;
  ConcurrentCallers(const ConcurrentCallers&) = delete;
  ConcurrentCallers& operator=(const ConcurrentCallers&) = delete;
  ~ConcurrentCallers() { this->Join(); }

  /** Sends calls concurrently, each in its own chat or all in the same. */
  void Send(const LocalFleet& fleet,
            std::size_t router,
            const char* credential,
            const char* profile,
            std::size_t count,
            bool same_chat = false,
            int tokens = kTokens) {
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t number = same_chat ? 0 : this->next_chat++;
      const std::string chat = "chat-" + std::to_string(number);
      const HttpRequest request =
          ChatRequest(credential, profile, chat, "a short question", tokens);
      this->threads.emplace_back([this, request, &fleet, router] {
        const StreamedAnswer answer = CallStream(fleet.Router(router), request);
        ++(answer.complete ? this->finished : this->refused);
      });
    }
  }

  void Join() {
    for (std::thread& thread : this->threads)
      thread.join();
    this->threads.clear();
  }

  std::atomic<std::size_t> finished = 0;
  std::atomic<std::size_t> refused = 0;

 private:
  std::vector<std::thread> threads;
  std::size_t next_chat = 0;
};

/** Slows the engine down while a flood arrives. At its full speed calls could
 * end as fast as a busy machine sends them, and no queue would form. */
class SlowEngine {
 public:
  explicit SlowEngine(const LocalFleet& fleet) : fleet(fleet) {
    this->SetStepFactor(kStepFactor);
  }
  SlowEngine(const SlowEngine&) = delete;
  SlowEngine& operator=(const SlowEngine&) = delete;
  ~SlowEngine() {
    try {
      this->SetStepFactor(1);
    } catch (const HttpError&) {
      // The engine has ended.
    }
  }

 private:
  /** Steps of 50 ms, so that no call ends while a flood arrives and no stream
   * counts as silent. */
  static constexpr int kStepFactor = 25;

  void SetStepFactor(int factor) {
    HttpRequest control;
    control.method = "POST";
    control.target = "/control";
    control.body = nlohmann::json({{"slow_factor", factor}}).dump();
    CallHttp(this->fleet.Engine(0), control);
  }

  const LocalFleet& fleet;
};

/** One endpoint with few slots; each priority class has a 20 % share. */
FleetPlan FloodPlan() {
  FleetPlan plan;
  plan.routers = 1;
  plan.endpoints = {{"draft-1", "drafting", true}};
  plan.settings = {{"max_running", kSlots}};
  for (const auto& [name, document] : StandardDocuments()) {
    if (name.rfind("profiles/", 0) != 0)
      continue;
    nlohmann::json changed = document;
    changed["minimum_share_percent"] = 20;
    plan.documents[name] = changed;
  }
  return plan;
}

std::size_t QueuedCalls(const LocalFleet& fleet, const char* rank) {
  const nlohmann::json status = LocalFleet::StatusOf(fleet.EndpointOperator(0));
  return status["load"]["ranks"][rank]["queued"].get<std::size_t>();
}

LoadHistory HistoryOf(const LocalFleet& fleet, const std::string& vm) {
  return ReadLoadHistory(fleet.Directory() / (vm + ".log"));
}

void BoundHoldsUnderConcurrentLoad() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"draft-3", "drafting", true}};
  // Routers try the same endpoint first for all calls of the chat.
  plan.settings = {{"load_exchange_interval", 50},
                   {"placement_policy", "hash"}};
  const LocalFleet fleet(plan);
  constexpr std::size_t kCalls = 60;
  ConcurrentCallers callers;
  callers.Send(fleet, 0, kParishCredential, "chat", kCalls, true);
  callers.Send(fleet, 1, kParishCredential, "chat", kCalls, true);
  callers.Join();
  std::size_t admitted = 0;
  for (const LocalEndpoint& endpoint : plan.endpoints) {
    const LoadCheckResult result =
        CheckLoadBound(HistoryOf(fleet, endpoint.vm));
    admitted += result.admitted;
    CPPUNIT_ASSERT_MESSAGE(
        result.violations.empty() ? "" : result.violations.front(),
        result.violations.empty());
  }
  CPPUNIT_ASSERT(admitted >= callers.finished);
  CPPUNIT_ASSERT_EQUAL(2 * kCalls, callers.finished + callers.refused);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, callers.refused.load());
}

void LoadsAreExchangedWithinService() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"ledger-1", "ledger", false}};
  plan.settings = {{"load_exchange_interval", 50}};
  LocalFleet fleet(plan);
  const auto endpoints_in_mean = [&](std::size_t index) {
    const nlohmann::json status =
        LocalFleet::StatusOf(fleet.EndpointOperator(index));
    return status["load"]["mean_known"].get<std::size_t>();
  };
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return endpoints_in_mean(0) == 2 && endpoints_in_mean(1) == 2; }));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints_in_mean(2));
  fleet.EndpointProcess(1).Kill();
  CPPUNIT_ASSERT(WaitUntil([&] { return endpoints_in_mean(0) == 1; }));
}

void BulkFloodDoesNotDelayUrgent() {
  const LocalFleet fleet(FloodPlan());
  ConcurrentCallers callers;
  {
    const SlowEngine slow(fleet);
    callers.Send(fleet, 0, kHospitalCredential, "statement", 100);
    CPPUNIT_ASSERT(WaitUntil([&] { return QueuedCalls(fleet, "bulk") > 40; }));
  }
  callers.Send(fleet, 0, kParishCredential, "counter", 6);
  callers.Join();
  CPPUNIT_ASSERT_EQUAL(std::size_t{106}, callers.finished.load());
  // All six may be queued at once; a fifth of the starts meanwhile is bulk.
  CPPUNIT_ASSERT(MostStartedBefore(HistoryOf(fleet, "draft-1"), "rank",
                                   "urgent", "bulk") <= 3);
}

void UrgentFloodLeavesBulkItsShare() {
  const LocalFleet fleet(FloodPlan());
  ConcurrentCallers callers;
  {
    const SlowEngine slow(fleet);
    callers.Send(fleet, 0, kHospitalCredential, "counter", 100);
    CPPUNIT_ASSERT(
        WaitUntil([&] { return QueuedCalls(fleet, "urgent") > 70; }));
  }
  callers.Send(fleet, 0, kParishCredential, "statement", 30);
  callers.Join();
  CPPUNIT_ASSERT_EQUAL(std::size_t{130}, callers.finished.load());
  constexpr double kMinimumShare = 0.20;
  constexpr double kRequiredFraction = 0.95;
  CPPUNIT_ASSERT(
      ShareUnderFlood(HistoryOf(fleet, "draft-1"), "bulk", "urgent") >=
      kRequiredFraction * kMinimumShare);
}

void LargeOrganisationDoesNotDelaySmall() {
  const LocalFleet fleet(FloodPlan());
  ConcurrentCallers callers;
  {
    const SlowEngine slow(fleet);
    callers.Send(fleet, 0, kHospitalCredential, "chat", 100);
    CPPUNIT_ASSERT(
        WaitUntil([&] { return QueuedCalls(fleet, "standard") > 40; }));
  }
  callers.Send(fleet, 0, kParishCredential, "chat", 2);
  callers.Join();
  CPPUNIT_ASSERT_EQUAL(std::size_t{102}, callers.finished.load());
  CPPUNIT_ASSERT(MostStartedBefore(HistoryOf(fleet, "draft-1"), "organisation",
                                   "parish", "hospital") <= 2);
}

void UnmeetableDeadlineIsRefused() {
  FleetPlan plan = FloodPlan();
  nlohmann::json short_deadline = StandardDocuments().at("profiles/statement");
  short_deadline["deadline"] = 60;
  plan.documents["profiles/statement"] = short_deadline;
  const LocalFleet fleet(plan);
  ConcurrentCallers callers;
  callers.Send(fleet, 0, kHospitalCredential, "statement", 80);
  callers.Join();
  CPPUNIT_ASSERT(callers.finished > 0);
  CPPUNIT_ASSERT(callers.refused > 0);
  CPPUNIT_ASSERT_EQUAL(callers.finished.load(), fleet.EngineHistory().size());
}

/** A call that could start, but not send its first byte, by its deadline. */
void LateFirstByteIsRefused() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true}};
  plan.settings = {{"max_running", 1}};
  plan.engine_arguments = {"--step-ms=300"};
  nlohmann::json short_deadline = StandardDocuments().at("profiles/counter");
  short_deadline["deadline"] = 1000;
  plan.documents["profiles/counter"] = short_deadline;
  const LocalFleet fleet(plan);
  ConcurrentCallers first;
  first.Send(fleet, 0, kParishCredential, "chat", 1, false, 1);
  first.Join();
  first.Send(fleet, 0, kParishCredential, "chat", 1, false, 2);
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.EngineHistory().size() == 2; }));
  const StreamedAnswer late =
      CallStream(fleet.Router(0),
                 ChatRequest(kParishCredential, "counter", "c", "now", 1));
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), late.outcome);
  CPPUNIT_ASSERT_EQUAL(std::string("urn:buckthornpath:problem:deadline_unmet"),
                       late.type);
  first.Join();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.EngineHistory().size());
}

void CancelledCallIsDequeued() {
  const LocalFleet fleet(FloodPlan());
  HttpRequest ticket_request =
      ServiceRequest(kParishCredential, "statement", "/v1/tickets", "");
  const std::string ticket =
      nlohmann::json::parse(CallHttp(fleet.Router(0), ticket_request).body)
          .value("ticket", "");
  ConcurrentCallers callers;
  bool queued = false;
  {
    const SlowEngine slow(fleet);
    callers.Send(fleet, 0, kHospitalCredential, "statement", 60, false, 100);
    CPPUNIT_ASSERT(WaitUntil([&] { return QueuedCalls(fleet, "bulk") >= 56; }));
    std::thread waiting([&] {
      HttpRequest request = ChatRequest(kParishCredential, "statement", "c",
                                        "a question", kTokens);
      request.headers.Append("Idempotency-Key", ticket);
      CallStream(fleet.Router(0), request);
    });
    queued = WaitUntil([&] { return QueuedCalls(fleet, "bulk") >= 57; });
    HttpRequest cancel;
    cancel.method = "DELETE";
    cancel.target = "/v1/requests/" + ticket;
    cancel.headers.Append("Authorization",
                          std::string("Bearer ") + kParishCredential);
    CallHttp(fleet.Router(0), cancel);
    waiting.join();
  }
  callers.Join();
  CPPUNIT_ASSERT(queued);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.RunsOf(ticket));
  std::string events;
  for (const nlohmann::json& line : HistoryOf(fleet, "draft-1")) {
    if (line.value("request", "") == ticket)
      events += line.value("event", "") + " " + line.value("how", "") + ";";
  }
  CPPUNIT_ASSERT_EQUAL(std::string("admitted ;released cancelled;"), events);
}

/** Load reports of a drained endpoint must not lower the mean load. */
void DrainedEndpointIsExcludedFromMean() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true}};
  plan.settings = {{"load_max_age", 60000}, {"load_exchange_interval", 20}};
  plan.engine_arguments = {"--step-ms=20"};
  LocalFleet fleet(std::move(plan));
  const auto endpoints_in_mean_of = [&](std::size_t endpoint) {
    const auto status = LocalFleet::StatusOf(fleet.EndpointOperator(endpoint));
    return status.is_object() ? status.at("load").value("mean_known", 0) : 0;
  };
  CPPUNIT_ASSERT(WaitUntil([&] { return endpoints_in_mean_of(1) == 2; }));
  fleet.EndpointProcess(0).Signal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(0, fleet.EndpointProcess(0).WaitForExit(kCallerTimeout));
  CPPUNIT_ASSERT(WaitUntil([&] { return endpoints_in_mean_of(1) == 1; }));
  constexpr std::size_t kCalls = 8;
  ConcurrentCallers callers;
  callers.Send(fleet, 0, kParishCredential, "chat", kCalls);
  callers.Join();
  CPPUNIT_ASSERT_EQUAL(kCalls, callers.finished.load());
}

const Story kStory("load", [] {
  return Section(
      "given real processes",
      {Section("when endpoints of a service exchange their loads",
               {Then("a drained endpoint is excluded from every mean",
                     DrainedEndpointIsExcludedFromMean),
                Then("each knows its own service only and drops dead endpoints",
                     LoadsAreExchangedWithinService),
                Then("no admission is above the bound under concurrent load",
                     BoundHoldsUnderConcurrentLoad)}),
       Section(
           "when one priority class floods an endpoint",
           {Then("a bulk flood delays urgent calls no more than its share",
                 BulkFloodDoesNotDelayUrgent),
            Then("an urgent flood leaves bulk calls their minimum share",
                 UrgentFloodLeavesBulkItsShare),
            Then("calls that cannot meet their deadline never run",
                 UnmeetableDeadlineIsRefused),
            Then("a call that cannot send its first byte in time never runs",
                 LateFirstByteIsRefused),
            Then("a cancelled call leaves the queue and never runs",
                 CancelledCallIsDequeued)}),
       Section("when one organisation sends 50 times the calls of another",
               {Then("at most two of its calls start before one of the other",
                     LargeOrganisationDoesNotDelaySmall)})});
});

}  // namespace

}  // namespace buckthornpath
