/** @file leaving.cc An endpoint that is leaving runs no new calls. */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"
#include "wire/ticket.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Time within which a leaving endpoint refuses new calls. */
constexpr milliseconds kLeavingTimeout{3000};

constexpr std::size_t kLedger1Index = 1;

FleetPlan Plan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"ledger-1", "ledger", false},
                    {"ledger-2", "ledger", false}};
  return plan;
}

/** Makes the VM list unreadable for these processes. */
void BlockVmList(const LocalFleet& fleet,
                 const std::vector<std::string>& from) {
  SendHttp(fleet.ConfigurationService(), "POST", "/control",
           nlohmann::json{{"vm_list_outage_for", from}}.dump());
}

bool IsStatusSet(const SocketAddress& address, const char* name) {
  const nlohmann::json status = LocalFleet::StatusOf(address);
  return status.is_object() && status.value(name, false);
}

/** @return A ticket for ledger-1; no other endpoint may run its call. */
std::string IssueTicketAtLedger1(const LocalFleet& fleet) {
  for (int i = 0; i < 100; ++i) {
    const HttpResponse response = CallHttp(
        fleet.Router(0),
        ServiceRequest(kParishCredential, "receipt", "/v1/tickets", ""));
    std::string ticket =
        nlohmann::json::parse(response.body).value("ticket", "");
    const auto decoded = TicketCodec("a-secret-for-tests-only").Decode(ticket);
    if (decoded && decoded->endpoint == EndpointId("ledger-1"))
      return ticket;
  }
  throw std::runtime_error("none of 100 tickets names ledger-1");
}

HttpRequest TicketedRequest(const std::string& ticket) {
  HttpRequest request = ServiceRequest(kParishCredential, "receipt",
                                       "/v1/services/ledger/issue", "{}");
  request.headers.Append("Idempotency-Key", ticket);
  return request;
}

/** Checks that the endpoint of a ticket refuses its call as leaving. */
void CheckRefusedAsLeaving(const LocalFleet& fleet,
                           std::size_t router,
                           const std::string& ticket) {
  const HttpResponse response =
      CallHttp(fleet.Router(router), TicketedRequest(ticket));
  CPPUNIT_ASSERT_EQUAL(503U, response.status);
  const auto problem = nlohmann::json::parse(response.body);
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), problem.value("outcome", ""));
  CPPUNIT_ASSERT(problem.value("type", "").find("endpoint_leaving") !=
                 std::string::npos);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.RunsOf(ticket));
}

/** Router and endpoint cannot read the list; their peers notify them. */
void EndpointWithoutVmListRefuses() {
  LocalFleet fleet(Plan());
  const std::string ticket = IssueTicketAtLedger1(fleet);
  BlockVmList(fleet, {"router-0", "ledger-1"});
  fleet.PublishVms({{"ledger-1", "leaving"}});
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return IsStatusSet(fleet.EndpointOperator(kLedger1Index), "leaving");
      },
      kLeavingTimeout));
  CheckRefusedAsLeaving(fleet, 0, ticket);
  for (int i = 0; i < 10; ++i) {
    const HttpResponse response = CallHttp(
        fleet.Router(0), ServiceRequest(kParishCredential, "receipt",
                                        "/v1/services/ledger/issue", "{}"));
    CPPUNIT_ASSERT_EQUAL(200U, response.status);
  }
}

/** A router that was paused during the change uses the outdated list. */
void CallFromOutdatedRouterIsRefused() {
  LocalFleet fleet(Plan());
  const std::string ticket = IssueTicketAtLedger1(fleet);
  fleet.RouterProcess(0).Signal(SIGSTOP);
  fleet.PublishVms({{"ledger-1", "leaving"}});
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return IsStatusSet(fleet.EndpointOperator(kLedger1Index), "leaving");
      },
      kLeavingTimeout));
  fleet.RouterProcess(0).Signal(SIGCONT);
  CheckRefusedAsLeaving(fleet, 0, ticket);
}

/** An endpoint paused during the change refuses as soon as it resumes. */
void ResumedEndpointRefuses() {
  LocalFleet fleet(Plan());
  const std::string ticket = IssueTicketAtLedger1(fleet);
  fleet.EndpointProcess(kLedger1Index).Signal(SIGSTOP);
  fleet.PublishVms({{"ledger-1", "leaving"}});
  std::this_thread::sleep_for(kLeavingTimeout + milliseconds(500));
  fleet.EndpointProcess(kLedger1Index).Signal(SIGCONT);
  CheckRefusedAsLeaving(fleet, 1, ticket);
}

/** Neither VM list nor peers can inform the endpoint that it is leaving. */
void IsolatedEndpointRefuses() {
  LocalFleet fleet(Plan());
  BlockVmList(fleet, {"ledger-1"});
  for (const std::size_t router : {std::size_t{0}, std::size_t{1}})
    fleet.RouterProcess(router).Signal(SIGSTOP);
  for (const std::size_t endpoint : {std::size_t{0}, std::size_t{2}})
    fleet.EndpointProcess(endpoint).Signal(SIGSTOP);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return IsStatusSet(fleet.EndpointOperator(kLedger1Index), "isolated");
  }));
  fleet.RouterProcess(0).Signal(SIGCONT);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return !IsStatusSet(fleet.EndpointOperator(kLedger1Index), "isolated") &&
           IsStatusSet(fleet.RouterOperator(0), "ready");
  }));
  const std::string ticket = IssueTicketAtLedger1(fleet);
  CPPUNIT_ASSERT_EQUAL(
      200U, CallHttp(fleet.Router(0), TicketedRequest(ticket)).status);
}

/** An outage of the VM list for all processes stops no endpoint. */
void VmListOutageStopsNoEndpoint() {
  LocalFleet fleet(Plan());
  BlockVmList(fleet,
              {"router-0", "router-1", "draft-1", "ledger-1", "ledger-2"});
  CPPUNIT_ASSERT(WaitUntil([&] {
    const auto status =
        LocalFleet::StatusOf(fleet.EndpointOperator(kLedger1Index));
    return status.is_object() && status.value("vm_list_age_ms", 0) > 4000;
  }));
  const std::string ticket = IssueTicketAtLedger1(fleet);
  CPPUNIT_ASSERT_EQUAL(
      200U, CallHttp(fleet.Router(0), TicketedRequest(ticket)).status);
}

void RunningCallsFinish() {
  LocalFleet fleet(Plan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "a long draft", 200);
  const StreamedAnswer answer =
      CallStream(fleet.Router(0), request, [&](std::size_t count) {
        if (count == 5)
          fleet.PublishVms({{"draft-1", "leaving"}});
        return true;
      });
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
}

/** Every router removes a draining endpoint from its candidates. */
void DrainReachesEveryRouter() {
  LocalFleet fleet(Plan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "a long draft", 200);
  const StreamedAnswer answer =
      CallStream(fleet.Router(0), request, [&](std::size_t count) {
        if (count != 5)
          return true;
        fleet.EndpointProcess(0).Signal(SIGTERM);
        const auto shows_leaving = [&](std::size_t router) {
          const auto status =
              LocalFleet::StatusOf(fleet.RouterOperator(router));
          return status.is_object() && status.value("members_leaving", 0) == 1;
        };
        CPPUNIT_ASSERT(
            WaitUntil([&] { return shows_leaving(0) && shows_leaving(1); },
                      kLeavingTimeout));
        return true;
      });
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
  CPPUNIT_ASSERT_EQUAL(0, fleet.EndpointProcess(0).WaitForExit(kCallerTimeout));
}

const Story kStory("leaving", [] {
  return Section(
      "given two routers, a model endpoint and two ledger endpoints",
      {Section("when the VM list marks an endpoint as leaving",
               {Then("it refuses new calls although it cannot read the list",
                     EndpointWithoutVmListRefuses),
                Then("it refuses calls of a router with an outdated list",
                     CallFromOutdatedRouterIsRefused),
                Then("it refuses new calls after a pause during the change",
                     ResumedEndpointRefuses),
                Then("its running calls finish", RunningCallsFinish)}),
       Section("when an endpoint process drains",
               {Then("every router is notified", DrainReachesEveryRouter)}),
       Section("when an endpoint process gets no updates",
               {Then("from VM list and peers, it accepts no new calls",
                     IsolatedEndpointRefuses),
                Then("from the VM list alone, it keeps serving",
                     VmListOutageStopsNoEndpoint)})});
});

}  // namespace

}  // namespace buckthornpath
