/** @file outcomes.cc What callers are told is true, under one fault each. */

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

HttpRequest Receipt(const std::string& body = "receipt") {
  return ServiceRequest(kParishCredential, "receipt",
                        "/v1/services/ledger/issue", body);
}

std::string Mint(const LocalFleet& fleet, const std::string& profile) {
  const HttpResponse response =
      CallHttp(fleet.Router(0),
               ServiceRequest(kParishCredential, profile, "/v1/tickets", ""));
  return nlohmann::json::parse(response.body).value("ticket", "");
}

HttpRequest With(HttpRequest request, const std::string& key) {
  request.headers.Append("Idempotency-Key", key);
  return request;
}

HttpRequest OnCall(const std::string& method,
                   const std::string& ticket,
                   const std::string& credential = kParishCredential) {
  HttpRequest request;
  request.method = method;
  request.target = "/v1/requests/" + ticket;
  request.headers.Append("Authorization", "Bearer " + credential);
  return request;
}

std::string Field(const HttpResponse& response, const char* name) {
  return nlohmann::json::parse(response.body).value(name, "");
}

void Told(const std::string& outcome, const HttpResponse& response) {
  CPPUNIT_ASSERT_EQUAL(outcome, Field(response, "outcome"));
}

void SetEngineFaults(const LocalFleet& fleet, const nlohmann::json& faults) {
  HttpRequest control;
  control.method = "POST";
  control.target = "/control";
  control.body = faults.dump();
  CallHttp(fleet.Engine(0), control);
  CallHttp(fleet.Engine(1), control);
}

std::size_t RunsOfBody(const LocalFleet& fleet, const std::string& body) {
  std::size_t runs = 0;
  for (const nlohmann::json& line : fleet.EngineHistory())
    runs += line.value("body", "") == body ? 1U : 0U;
  return runs;
}

void AssertWholeAndOnce(const LocalFleet& fleet,
                        const HttpRequest& request,
                        const StreamedAnswer& answer) {
  CPPUNIT_ASSERT_EQUAL(std::string(), answer.type);
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunsOfBody(fleet, request.body));
}

void CancelBeforeStart() {
  const LocalFleet fleet(Plan());
  const std::string ticket = Mint(fleet, "receipt");
  Told("not_run", CallHttp(fleet.Router(0), OnCall("DELETE", ticket)));
  Told("not_run", CallHttp(fleet.Router(1), With(Receipt(), ticket)));
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
}

void CancelAfterStart() {
  const LocalFleet fleet(Plan());
  const std::string ticket = Mint(fleet, "statement");
  const HttpRequest request = With(
      ChatRequest(kParishCredential, "statement", "c", "long", 400), ticket);
  const StreamedAnswer answer =
      CallStream(fleet.Router(0), request, [&](std::size_t count) {
        if (count == 5) {
          CallHttp(fleet.Router(1), OnCall("DELETE", ticket));
        }
        return true;
      });
  CPPUNIT_ASSERT(!answer.complete);
  CPPUNIT_ASSERT_EQUAL(std::string("ran"), answer.outcome);
  Told("ran", CallHttp(fleet.Router(1), OnCall("DELETE", ticket)));
}

void RivalCannotCancel() {
  const LocalFleet fleet(Plan());
  const std::string ticket = Mint(fleet, "receipt");
  const HttpResponse response =
      CallHttp(fleet.Router(0), OnCall("DELETE", ticket, kHospitalCredential));
  CPPUNIT_ASSERT_EQUAL(403U, response.status);
  const HttpResponse own = CallHttp(fleet.Router(0), With(Receipt(), ticket));
  CPPUNIT_ASSERT_EQUAL(200U, own.status);
}

void RefusalOfNamedCallIsUnknown() {
  const LocalFleet fleet(Plan());
  const std::string ticket = Mint(fleet, "receipt");
  CallHttp(fleet.Router(0), With(Receipt(), ticket));
  HttpRequest retry =
      With(ServiceRequest(kParishCredential, "not-yet-known-here",
                          "/v1/services/ledger/issue", "receipt"),
           ticket);
  Told("unknown", CallHttp(fleet.Router(1), retry));
  Told("not_run", CallHttp(fleet.Router(1),
                           ServiceRequest(kParishCredential, "no-such",
                                          "/v1/services/ledger/issue", "x")));
}

void TicketKeepsItsRequest() {
  const LocalFleet fleet(Plan());
  const std::string ticket = Mint(fleet, "receipt");
  CallHttp(fleet.Router(0), With(Receipt("first"), ticket));
  const HttpResponse second =
      CallHttp(fleet.Router(1), With(Receipt("second"), ticket));
  CPPUNIT_ASSERT_EQUAL(409U, second.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RunsOfBody(fleet, "second"));
}

void BareKeyNeedsTicket() {
  const LocalFleet fleet(Plan());
  const HttpResponse refused =
      CallHttp(fleet.Router(0), With(Receipt(), "order-17"));
  CPPUNIT_ASSERT_EQUAL(400U, refused.status);
  Told("not_run", refused);
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
  const HttpRequest question =
      With(ChatRequest(kParishCredential, "chat", "c", "a question"), "q-1");
  CPPUNIT_ASSERT(CallStream(fleet.Router(0), question).complete);
}

void RestartIsUnknown() {
  LocalFleet fleet(Plan());
  const std::string ticket = Mint(fleet, "receipt");
  fleet.EndpointProcess(2).Kill();
  fleet.RestartEndpoint(2);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.EndpointOperator(2)).is_object();
  }));
  Told("unknown", CallHttp(fleet.Router(1), With(Receipt(), ticket)));
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
}

void WakesAfterExpiry() {
  FleetPlan plan = Plan();
  plan.settings["ticket_lifetime"] = 1000;
  LocalFleet fleet(std::move(plan));
  const std::string ticket = Mint(fleet, "receipt");
  const auto expiry =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(1100);
  fleet.EndpointProcess(2).Signal(SIGSTOP);
  Told("unknown", CallHttp(fleet.Router(0), With(Receipt(), ticket)));
  std::this_thread::sleep_until(expiry);
  fleet.EndpointProcess(2).Signal(SIGCONT);
  Told("not_run", CallHttp(fleet.Router(1), OnCall("GET", ticket)));
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
}

void LostThenUnreachedIsUnknown() {
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
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunsOfBody(fleet, request.body));
}

void EngineDownMoves() {
  FleetPlan plan = Plan();
  plan.endpoints.push_back({"ledger-2", "ledger", false});
  LocalFleet fleet(std::move(plan));
  fleet.EngineProcess(2).Kill();
  for (int i = 0; i < 4; ++i) {
    const std::string body = "receipt " + std::to_string(i);
    const HttpResponse response = CallHttp(fleet.Router(0), Receipt(body));
    CPPUNIT_ASSERT_EQUAL(200U, response.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunsOfBody(fleet, body));
  }
}

void EngineResumesStream() {
  const LocalFleet fleet(Plan());
  SetEngineFaults(fleet, {{"break_next", 2}, {"break_after", 7}});
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "long", 60);
  AssertWholeAndOnce(fleet, request, CallStream(fleet.Router(0), request));
}

void EmptyAnswerIsFault() {
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

void KilledEndpointIsReplaced() {
  FleetPlan plan = Plan();
  // Longer than the caller waits: the call must not wait for it.
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

void SilenceCostsNoAnswer() {
  LocalFleet fleet(Plan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "long", 600);
  const auto silence = [&](std::size_t count) {
    // The second silence comes long after the first one's recovery.
    if (count == 10 || count == 500) {
      fleet.Proxy(0).SilenceOpen();
      fleet.Proxy(1).SilenceOpen();
    }
    return true;
  };
  AssertWholeAndOnce(fleet, request,
                     CallStream(fleet.Router(0), request, silence));
}

void SilentIdleConnection() {
  LocalFleet fleet(Plan());
  CPPUNIT_ASSERT_EQUAL(200U, CallHttp(fleet.Router(0), Receipt("one")).status);
  fleet.Proxy(2).SilenceOpen();
  const std::string ticket = Mint(fleet, "receipt");
  const HttpResponse second =
      CallHttp(fleet.Router(0), With(Receipt("two"), ticket));
  CPPUNIT_ASSERT_EQUAL(200U, second.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunsOfBody(fleet, "two"));
  CPPUNIT_ASSERT_EQUAL(200U,
                       CallHttp(fleet.Router(0), Receipt("three")).status);
}

void LateMessagesAreDropped() {
  LocalFleet fleet(Plan());
  for (std::size_t i = 0; i < 3; ++i)
    fleet.Proxy(i).SetFrameFaults({{}, 1, 0});
  for (int i = 0; i < 10; ++i) {
    const HttpRequest request = ChatRequest(kParishCredential, "statement", "c",
                                            "long " + std::to_string(i), 20);
    AssertWholeAndOnce(fleet, request, CallStream(fleet.Router(0), request));
    const std::string body = "receipt " + std::to_string(i);
    CallHttp(fleet.Router(0), Receipt(body));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunsOfBody(fleet, body));
  }
}

const Story kStory("outcomes", [] {
  return Section(
      "given calls that may not be repeated",
      {Section("when a caller cancels",
               {Then("a call not begun never runs", CancelBeforeStart),
                Then("a running stream ends as ran", CancelAfterStart),
                Then("a rival cannot cancel", RivalCannotCancel)}),
       Section("when a key is used again",
               {Then("a router's own refusal is unknown",
                     RefusalOfNamedCallIsUnknown),
                Then("another request under it does not run",
                     TicketKeepsItsRequest),
                Then("one that is no ticket is refused", BareKeyNeedsTicket)}),
       Section("when the endpoint process is gone or asleep",
               {Then("a restart makes the call unknown", RestartIsUnknown),
                Then("it runs nothing after the expiry", WakesAfterExpiry),
                Then("lost here and unreached there is unknown",
                     LostThenUnreachedIsUnknown),
                Then("a repeatable stream goes on elsewhere at once",
                     KilledEndpointIsReplaced)}),
       Section("when the engine fails",
               {Then("a call that did not leave moves", EngineDownMoves),
                Then("a broken stream is resumed there", EngineResumesStream),
                Then("an empty answer is not whole", EmptyAnswerIsFault)}),
       Section("when connections fail",
               {Then("a silent one costs no answer", SilenceCostsNoAnswer),
                Then("a silent idle one costs no answer", SilentIdleConnection),
                Then("late messages are dropped", LateMessagesAreDropped)})});
});

}  // namespace

}  // namespace buckthornpath
