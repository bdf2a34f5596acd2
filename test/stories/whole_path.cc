/** @file whole_path.cc A request crosses router, endpoint and engine. */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

FleetPlan SmallPlan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"ledger-1", "ledger", false}};
  return plan;
}

void AnswersAreComplete() {
  const LocalFleet fleet(SmallPlan());
  for (int i = 0; i < 8; ++i) {
    const HttpRequest request =
        ChatRequest(kParishCredential, "chat", "chat-" + std::to_string(i),
                    "dear donor " + std::to_string(i));
    const StreamedAnswer answer =
        CallStream(fleet.Router(static_cast<std::size_t>(i) % 2), request);
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    CPPUNIT_ASSERT(answer.complete);
    CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
  }
}

void ServiceRunsOnce() {
  const LocalFleet fleet(SmallPlan());
  const HttpResponse response =
      CallHttp(fleet.Router(0),
               ServiceRequest(kParishCredential, "receipt",
                              "/v1/services/ledger/issue", "{\"for\":7}"));
  CPPUNIT_ASSERT_EQUAL(200U, response.status);
  CPPUNIT_ASSERT_EQUAL(std::string("/issue"),
                       nlohmann::json::parse(response.body).value("path", ""));
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{1},
      fleet.RunsOf(response.headers.Find("X-Request-Id").value_or("none")));
}

void TicketIsValidAtEveryRouter() {
  const LocalFleet fleet(SmallPlan());
  HttpRequest ticket_request =
      ServiceRequest(kParishCredential, "receipt", "/v1/tickets", "");
  const std::string ticket =
      nlohmann::json::parse(CallHttp(fleet.Router(0), ticket_request).body)
          .value("ticket", "");
  HttpRequest request = ServiceRequest(
      kParishCredential, "receipt", "/v1/services/ledger/issue", "{\"for\":8}");
  request.headers.Append("Idempotency-Key", ticket);
  const HttpResponse first = CallHttp(fleet.Router(0), request);
  const HttpResponse second = CallHttp(fleet.Router(1), request);
  CPPUNIT_ASSERT_EQUAL(200U, first.status);
  CPPUNIT_ASSERT_EQUAL(first.body, second.body);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.RunsOf(ticket));
}

void OtherOrganisationCannotRead() {
  const LocalFleet fleet(SmallPlan());
  const StreamedAnswer answer = CallStream(
      fleet.Router(0),
      ChatRequest(kParishCredential, "chat", "c", "a private question"));
  HttpRequest resume;
  resume.target = "/v1/requests/" + answer.request_id;
  resume.headers.Append("Authorization",
                        std::string("Bearer ") + kHospitalCredential);
  CPPUNIT_ASSERT_EQUAL(403U, CallHttp(fleet.Router(1), resume).status);
}

void CallerResumesThroughAnotherRouter() {
  const LocalFleet fleet(SmallPlan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "a long draft", 100);
  const StreamedAnswer first = CallStream(
      fleet.Router(0), request, [](std::size_t count) { return count < 10; });
  HttpRequest resume;
  resume.target = "/v1/requests/" + first.request_id;
  resume.headers.Append("Authorization",
                        std::string("Bearer ") + kParishCredential);
  resume.headers.Append("Last-Event-ID", std::to_string(first.chunks.size()));
  const StreamedAnswer second = CallStream(fleet.Router(1), resume);
  CPPUNIT_ASSERT(second.complete);
  std::vector<std::string> received = first.chunks;
  received.insert(received.end(), second.chunks.begin(), second.chunks.end());
  CPPUNIT_ASSERT(ExpectedChunks(request) == received);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.RunsOf(first.request_id));
}

void InvalidRequestsAreRefused() {
  const LocalFleet fleet(SmallPlan());
  const auto status_of = [&](const HttpRequest& request) {
    return CallHttp(fleet.Router(0), request).status;
  };
  CPPUNIT_ASSERT_EQUAL(401U,
                       status_of(ChatRequest("nobody", "chat", "c", "x")));
  CPPUNIT_ASSERT_EQUAL(
      400U, status_of(ChatRequest(kParishCredential, "no-such", "c", "x")));
  HttpRequest malformed = ChatRequest(kParishCredential, "chat", "c", "x");
  malformed.body = "{";
  CPPUNIT_ASSERT_EQUAL(400U, status_of(malformed));
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
}

void DrainCompletesStreams() {
  LocalFleet fleet(SmallPlan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "a long draft", 200);
  const StreamedAnswer answer =
      CallStream(fleet.Router(0), request, [&](std::size_t count) {
        if (count == 5)
          fleet.RouterProcess(0).Signal(SIGTERM);
        return true;
      });
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
  CPPUNIT_ASSERT_EQUAL(0, fleet.RouterProcess(0).WaitForExit(kCallerTimeout));
}

const Story kStory("whole_path", [] {
  return Section(
      "given two routers, two model endpoints and a ledger endpoint",
      {Section("when chats are sent through either router",
               {Then("each answer is complete", AnswersAreComplete),
                Then("another organisation cannot read an answer",
                     OtherOrganisationCannotRead),
                Then("a caller resumes through another router",
                     CallerResumesThroughAnotherRouter)}),
       Section("when a receipt is issued",
               {Then("the ledger service runs it once", ServiceRunsOnce),
                Then("a ticket is valid at every router",
                     TicketIsValidAtEveryRouter)}),
       Section("when a request is invalid",
               {Then("it is refused and nothing is forwarded",
                     InvalidRequestsAreRefused)}),
       Section("when a router receives SIGTERM",
               {Then("its streams complete", DrainCompletesStreams)})});
});

}  // namespace

}  // namespace buckthornpath
