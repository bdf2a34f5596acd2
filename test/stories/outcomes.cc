/** @file outcomes.cc Callers get correct outcomes under each single fault. */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

FleetPlan Plan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.proxied = true;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"ledger-1", "ledger", false}};
  plan.settings = {{"connect_timeout", 200},
                   {"heartbeat_interval", 50},
                   {"silence_timeout", 250},
                   {"recovery_timeout", 500}};
  return plan;
}

HttpRequest ReceiptRequest(const std::string& body = "receipt") {
  return ServiceRequest(kParishCredential, "receipt",
                        "/v1/services/ledger/issue", body);
}

std::string IssueTicket(const LocalFleet& fleet, const std::string& profile) {
  const HttpResponse response =
      CallHttp(fleet.Router(0),
               ServiceRequest(kParishCredential, profile, "/v1/tickets", ""));
  return nlohmann::json::parse(response.body).value("ticket", "");
}

HttpRequest WithIdempotencyKey(HttpRequest request, const std::string& key) {
  request.headers.Append("Idempotency-Key", key);
  return request;
}

HttpRequest TicketRequest(const std::string& method,
                          const std::string& ticket,
                          const std::string& credential = kParishCredential) {
  HttpRequest request;
  request.method = method;
  request.target = "/v1/requests/" + ticket;
  request.headers.Append("Authorization", "Bearer " + credential);
  return request;
}

std::string JsonField(const HttpResponse& response, const char* name) {
  return nlohmann::json::parse(response.body).value(name, "");
}

void AssertOutcome(const std::string& outcome, const HttpResponse& response) {
  CPPUNIT_ASSERT_EQUAL(outcome, JsonField(response, "outcome"));
}

void SetEngineFaults(const LocalFleet& fleet, const nlohmann::json& faults) {
  HttpRequest control;
  control.method = "POST";
  control.target = "/control";
  control.body = faults.dump();
  CallHttp(fleet.Engine(0), control);
  CallHttp(fleet.Engine(1), control);
}

std::size_t CountRuns(const LocalFleet& fleet, const std::string& body) {
  std::size_t runs = 0;
  for (const nlohmann::json& line : fleet.EngineHistory())
    runs += line.value("body", "") == body ? 1U : 0U;
  return runs;
}

void AssertCompleteAndRunOnce(const LocalFleet& fleet,
                              const HttpRequest& request,
                              const StreamedAnswer& answer) {
  CPPUNIT_ASSERT_EQUAL(std::string(), answer.type);
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRuns(fleet, request.body));
}

void CancelBeforeStart() {
  const LocalFleet fleet(Plan());
  const std::string ticket = IssueTicket(fleet, "receipt");
  AssertOutcome("not_run",
                CallHttp(fleet.Router(0), TicketRequest("DELETE", ticket)));
  AssertOutcome(
      "not_run",
      CallHttp(fleet.Router(1), WithIdempotencyKey(ReceiptRequest(), ticket)));
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
}

void CancelAfterStart() {
  const LocalFleet fleet(Plan());
  const std::string ticket = IssueTicket(fleet, "statement");
  const HttpRequest request = WithIdempotencyKey(
      ChatRequest(kParishCredential, "statement", "c", "long", 400), ticket);
  const StreamedAnswer answer =
      CallStream(fleet.Router(0), request, [&](std::size_t count) {
        if (count == 5) {
          CallHttp(fleet.Router(1), TicketRequest("DELETE", ticket));
        }
        return true;
      });
  CPPUNIT_ASSERT(!answer.complete);
  CPPUNIT_ASSERT_EQUAL(std::string("ran"), answer.outcome);
  AssertOutcome("ran",
                CallHttp(fleet.Router(1), TicketRequest("DELETE", ticket)));
}

void OtherOrganisationCannotCancel() {
  const LocalFleet fleet(Plan());
  const std::string ticket = IssueTicket(fleet, "receipt");
  const HttpResponse response = CallHttp(
      fleet.Router(0), TicketRequest("DELETE", ticket, kHospitalCredential));
  CPPUNIT_ASSERT_EQUAL(403U, response.status);
  const HttpResponse own =
      CallHttp(fleet.Router(0), WithIdempotencyKey(ReceiptRequest(), ticket));
  CPPUNIT_ASSERT_EQUAL(200U, own.status);
}

void RefusalUnderTicketIsUnknown() {
  const LocalFleet fleet(Plan());
  const std::string ticket = IssueTicket(fleet, "receipt");
  CallHttp(fleet.Router(0), WithIdempotencyKey(ReceiptRequest(), ticket));
  HttpRequest retry =
      WithIdempotencyKey(ServiceRequest(kParishCredential, "not-yet-known-here",
                                        "/v1/services/ledger/issue", "receipt"),
                         ticket);
  AssertOutcome("unknown", CallHttp(fleet.Router(1), retry));
  AssertOutcome("not_run",
                CallHttp(fleet.Router(1),
                         ServiceRequest(kParishCredential, "no-such",
                                        "/v1/services/ledger/issue", "x")));
}

void TicketIsBoundToItsRequest() {
  const LocalFleet fleet(Plan());
  const std::string ticket = IssueTicket(fleet, "receipt");
  CallHttp(fleet.Router(0),
           WithIdempotencyKey(ReceiptRequest("first"), ticket));
  const HttpResponse second = CallHttp(
      fleet.Router(1), WithIdempotencyKey(ReceiptRequest("second"), ticket));
  CPPUNIT_ASSERT_EQUAL(409U, second.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountRuns(fleet, "second"));
}

void KeyThatIsNoTicketIsRefused() {
  const LocalFleet fleet(Plan());
  const HttpResponse refused = CallHttp(
      fleet.Router(0), WithIdempotencyKey(ReceiptRequest(), "order-17"));
  CPPUNIT_ASSERT_EQUAL(400U, refused.status);
  AssertOutcome("not_run", refused);
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
  const HttpRequest question = WithIdempotencyKey(
      ChatRequest(kParishCredential, "chat", "c", "a question"), "q-1");
  CPPUNIT_ASSERT(CallStream(fleet.Router(0), question).complete);
}

void OutcomeAfterRestartIsUnknown() {
  LocalFleet fleet(Plan());
  const std::string ticket = IssueTicket(fleet, "receipt");
  fleet.EndpointProcess(2).Kill();
  fleet.RestartEndpoint(2);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.EndpointOperator(2)).is_object();
  }));
  AssertOutcome(
      "unknown",
      CallHttp(fleet.Router(1), WithIdempotencyKey(ReceiptRequest(), ticket)));
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
}

void ExpiredTicketRunsNothing() {
  FleetPlan plan = Plan();
  plan.settings["ticket_lifetime"] = 1000;
  LocalFleet fleet(std::move(plan));
  const std::string ticket = IssueTicket(fleet, "receipt");
  const auto expiry =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(1100);
  fleet.EndpointProcess(2).Signal(SIGSTOP);
  AssertOutcome(
      "unknown",
      CallHttp(fleet.Router(0), WithIdempotencyKey(ReceiptRequest(), ticket)));
  std::this_thread::sleep_until(expiry);
  fleet.EndpointProcess(2).Signal(SIGCONT);
  AssertOutcome("not_run",
                CallHttp(fleet.Router(1), TicketRequest("GET", ticket)));
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
}

void LostThenUnreachableIsUnknown() {
  FleetPlan plan = Plan();
  plan.endpoints.pop_back();
  plan.engine_arguments = {"--step-ms=600"};
  LocalFleet fleet(std::move(plan));
  const HttpRequest request =
      ChatRequest(kParishCredential, "chat", "c", "a question", 64);
  std::jthread cutter([&] {
    WaitUntil([&] { return !fleet.EngineHistory().empty(); });
    for (const std::size_t i : {0U, 1U}) {
      fleet.Proxy(i).RefuseNew(true);
      fleet.Proxy(i).CutAll();
    }
  });
  const StreamedAnswer answer = CallStream(fleet.Router(0), request);
  CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.outcome);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRuns(fleet, request.body));
}

void UnsentCallFailsOver() {
  FleetPlan plan = Plan();
  plan.endpoints.push_back({"ledger-2", "ledger", false});
  LocalFleet fleet(std::move(plan));
  fleet.EngineProcess(2).Kill();
  for (int i = 0; i < 4; ++i) {
    const std::string body = "receipt " + std::to_string(i);
    const HttpResponse response =
        CallHttp(fleet.Router(0), ReceiptRequest(body));
    CPPUNIT_ASSERT_EQUAL(200U, response.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRuns(fleet, body));
  }
}

void EngineResumesStream() {
  const LocalFleet fleet(Plan());
  SetEngineFaults(fleet, {{"break_next", 2}, {"break_after", 7}});
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "long", 60);
  AssertCompleteAndRunOnce(fleet, request,
                           CallStream(fleet.Router(0), request));
}

void EmptyAnswerIsIncomplete() {
  const LocalFleet fleet(Plan());
  SetEngineFaults(fleet, {{"empty_next", 1}});
  const HttpRequest once =
      ChatRequest(kParishCredential, "statement", "c", "long", 10);
  const StreamedAnswer answer = CallStream(fleet.Router(0), once);
  CPPUNIT_ASSERT(!answer.complete);
  CPPUNIT_ASSERT_EQUAL(std::string("ran"), answer.outcome);
  SetEngineFaults(fleet, {{"empty_next", 0}});
  CallHttp(fleet.Engine(0),
           HttpRequest{"POST", "/control", {}, R"({"empty_next":1})"});
  for (int i = 0; i < 4; ++i) {
    const HttpRequest again =
        ChatRequest(kParishCredential, "chat", "c-" + std::to_string(i),
                    "question " + std::to_string(i), 10);
    CPPUNIT_ASSERT(ExpectedChunks(again) ==
                   CallStream(fleet.Router(0), again).chunks);
  }
}

void RepeatableStreamFailsOver() {
  FleetPlan plan = Plan();
  // Longer than the caller's timeout: failover must not wait for recovery.
  plan.settings["recovery_timeout"] = 300000;
  LocalFleet fleet(std::move(plan));
  const HttpRequest request =
      ChatRequest(kParishCredential, "chat", "c", "a question", 200);
  const StreamedAnswer answer =
      CallStream(fleet.Router(0), request, [&](std::size_t count) {
        if (count == 20) {
          const std::size_t busy =
              LocalFleet::StatusOf(fleet.EndpointOperator(0))
                          .value("running", 0) > 0
                  ? 0
                  : 1;
          fleet.EndpointProcess(busy).Kill();
        }
        return true;
      });
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
}

void StalledConnectionLosesNoAnswer() {
  LocalFleet fleet(Plan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "long", 600);
  const auto stall_connections = [&](std::size_t count) {
    // The second stall starts long after recovery from the first.
    if (count == 10 || count == 500) {
      fleet.Proxy(0).SilenceOpen();
      fleet.Proxy(1).SilenceOpen();
    }
    return true;
  };
  AssertCompleteAndRunOnce(
      fleet, request, CallStream(fleet.Router(0), request, stall_connections));
}

void StalledIdleConnectionLosesNoAnswer() {
  LocalFleet fleet(Plan());
  CPPUNIT_ASSERT_EQUAL(200U,
                       CallHttp(fleet.Router(0), ReceiptRequest("one")).status);
  fleet.Proxy(2).SilenceOpen();
  const std::string ticket = IssueTicket(fleet, "receipt");
  const HttpResponse second = CallHttp(
      fleet.Router(0), WithIdempotencyKey(ReceiptRequest("two"), ticket));
  CPPUNIT_ASSERT_EQUAL(200U, second.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRuns(fleet, "two"));
  CPPUNIT_ASSERT_EQUAL(
      200U, CallHttp(fleet.Router(0), ReceiptRequest("three")).status);
}

void DuplicateMessagesAreDropped() {
  LocalFleet fleet(Plan());
  for (std::size_t i = 0; i < 3; ++i)
    fleet.Proxy(i).SetFrameFaults({{}, 1, 0});
  for (int i = 0; i < 10; ++i) {
    const HttpRequest request = ChatRequest(kParishCredential, "statement", "c",
                                            "long " + std::to_string(i), 20);
    AssertCompleteAndRunOnce(fleet, request,
                             CallStream(fleet.Router(0), request));
    const std::string body = "receipt " + std::to_string(i);
    CallHttp(fleet.Router(0), ReceiptRequest(body));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRuns(fleet, body));
  }
}

const Story kStory("outcomes", [] {
  return Section(
      "given calls that must run at most once",
      {Section(
           "when a caller cancels",
           {Then("a call that has not started never runs", CancelBeforeStart),
            Then("a running stream ends with outcome ran", CancelAfterStart),
            Then("another organisation cannot cancel",
                 OtherOrganisationCannotCancel)}),
       Section("when an idempotency key is used again",
               {Then("a refusal by the router itself has outcome unknown",
                     RefusalUnderTicketIsUnknown),
                Then("a different request under the same ticket does not run",
                     TicketIsBoundToItsRequest),
                Then("a key that is not a ticket is refused",
                     KeyThatIsNoTicketIsRefused)}),
       Section("when the endpoint process is killed, paused or unreachable",
               {Then("after a restart the outcome of the call is unknown",
                     OutcomeAfterRestartIsUnknown),
                Then("a resumed process runs nothing after the ticket expires",
                     ExpiredTicketRunsNothing),
                Then("lost at one and unreachable at the other is unknown",
                     LostThenUnreachableIsUnknown),
                Then("a repeatable stream fails over at once",
                     RepeatableStreamFailsOver)}),
       Section(
           "when the engine fails",
           {Then("a call that was not sent fails over", UnsentCallFailsOver),
            Then("a broken stream is resumed at the same engine",
                 EngineResumesStream),
            Then("an empty answer is not complete", EmptyAnswerIsIncomplete)}),
       Section("when connections fail",
               {Then("a stalled connection loses no answer",
                     StalledConnectionLosesNoAnswer),
                Then("a stalled idle connection loses no answer",
                     StalledIdleConnectionLosesNoAnswer),
                Then("duplicate messages are dropped",
                     DuplicateMessagesAreDropped)})});
});

}  // namespace

}  // namespace buckthornpath
