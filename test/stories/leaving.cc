/** @file leaving.cc An endpoint that leaves gets no new work. */

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

/** Within which a leaving endpoint is to refuse new work. */
constexpr milliseconds kLeavingTarget{3000};

constexpr std::size_t kLedger1 = 1;

FleetPlan Plan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"ledger-1", "ledger", false},
                    {"ledger-2", "ledger", false}};
  return plan;
}

/** The VM list cannot be read by those named. */
void HideList(const LocalFleet& fleet, const std::vector<std::string>& from) {
  SendHttp(fleet.ConfigurationService(), "POST", "/control",
           nlohmann::json{{"vm_list_outage_for", from}}.dump());
}

bool StatusIs(const SocketAddress& address, const char* name) {
  const nlohmann::json status = LocalFleet::StatusOf(address);
  return status.is_object() && status.value(name, false);
}

/** @return A ticket that names ledger-1, so that no other may run its call. */
std::string TicketAtLedger1(const LocalFleet& fleet) {
  for (int i = 0; i < 100; ++i) {
    const HttpResponse response = CallHttp(
        fleet.Router(0),
        ServiceRequest(kParishCredential, "receipt", "/v1/tickets", ""));
    std::string ticket =
        nlohmann::json::parse(response.body).value("ticket", "");
    const auto decoded = TicketMint("a-secret-for-tests-only").Decode(ticket);
    if (decoded && decoded->endpoint == EndpointId("ledger-1"))
      return ticket;
  }
  throw std::runtime_error("no ticket at ledger-1");
}

HttpRequest CallWith(const std::string& ticket) {
  HttpRequest request = ServiceRequest(kParishCredential, "receipt",
                                       "/v1/services/ledger/issue", "{}");
  request.headers.Append("Idempotency-Key", ticket);
  return request;
}

/** Calls under a ticket and checks that the endpoint refused it. */
void CheckRefused(const LocalFleet& fleet,
                  std::size_t router,
                  const std::string& ticket) {
  const HttpResponse response =
      CallHttp(fleet.Router(router), CallWith(ticket));
  CPPUNIT_ASSERT_EQUAL(503U, response.status);
  const auto problem = nlohmann::json::parse(response.body);
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), problem.value("outcome", ""));
  CPPUNIT_ASSERT(problem.value("type", "").find("endpoint_leaving") !=
                 std::string::npos);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.RunsOf(ticket));
}

/** Cut off from the list, router and endpoint are told by the others. */
void CutOffFromTheList() {
  LocalFleet fleet(Plan());
  const std::string ticket = TicketAtLedger1(fleet);
  HideList(fleet, {"router-0", "ledger-1"});
  fleet.PublishVms({{"ledger-1", "leaving"}});
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return StatusIs(fleet.EndpointOperator(kLedger1), "leaving"); },
      kLeavingTarget));
  CheckRefused(fleet, 0, ticket);
  for (int i = 0; i < 10; ++i) {
    const HttpResponse response = CallHttp(
        fleet.Router(0), ServiceRequest(kParishCredential, "receipt",
                                        "/v1/services/ledger/issue", "{}"));
    CPPUNIT_ASSERT_EQUAL(200U, response.status);
  }
}

/** A router that slept through the news still believes the old list. */
void RouterWithAnOldList() {
  LocalFleet fleet(Plan());
  const std::string ticket = TicketAtLedger1(fleet);
  fleet.RouterProcess(0).Signal(SIGSTOP);
  fleet.PublishVms({{"ledger-1", "leaving"}});
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return StatusIs(fleet.EndpointOperator(kLedger1), "leaving"); },
      kLeavingTarget));
  fleet.RouterProcess(0).Signal(SIGCONT);
  CheckRefused(fleet, 0, ticket);
}

/** An endpoint process that slept through the news refuses as it wakes. */
void EndpointProcessSlept() {
  LocalFleet fleet(Plan());
  const std::string ticket = TicketAtLedger1(fleet);
  fleet.EndpointProcess(kLedger1).Signal(SIGSTOP);
  fleet.PublishVms({{"ledger-1", "leaving"}});
  std::this_thread::sleep_for(kLeavingTarget + milliseconds(500));
  fleet.EndpointProcess(kLedger1).Signal(SIGCONT);
  CheckRefused(fleet, 1, ticket);
}

/** Neither list nor peers can tell it that it leaves. */
void IsolatedEndpointRefuses() {
  LocalFleet fleet(Plan());
  HideList(fleet, {"ledger-1"});
  for (const std::size_t router : {std::size_t{0}, std::size_t{1}})
    fleet.RouterProcess(router).Signal(SIGSTOP);
  for (const std::size_t endpoint : {std::size_t{0}, std::size_t{2}})
    fleet.EndpointProcess(endpoint).Signal(SIGSTOP);
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return StatusIs(fleet.EndpointOperator(kLedger1), "isolated"); }));
  fleet.RouterProcess(0).Signal(SIGCONT);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return !StatusIs(fleet.EndpointOperator(kLedger1), "isolated") &&
           StatusIs(fleet.RouterOperator(0), "ready");
  }));
  const std::string ticket = TicketAtLedger1(fleet);
  CPPUNIT_ASSERT_EQUAL(200U,
                       CallHttp(fleet.Router(0), CallWith(ticket)).status);
}

/** An outage of the list for all stops nobody. */
void ListOutageStopsNobody() {
  LocalFleet fleet(Plan());
  HideList(fleet, {"router-0", "router-1", "draft-1", "ledger-1", "ledger-2"});
  CPPUNIT_ASSERT(WaitUntil([&] {
    const auto status = LocalFleet::StatusOf(fleet.EndpointOperator(kLedger1));
    return status.is_object() && status.value("vm_list_age_ms", 0) > 4000;
  }));
  const std::string ticket = TicketAtLedger1(fleet);
  CPPUNIT_ASSERT_EQUAL(200U,
                       CallHttp(fleet.Router(0), CallWith(ticket)).status);
}

/** Running work goes on to its end. */
void RunningWorkFinishes() {
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

/** A drained endpoint process is out of every router's candidates. */
void DrainIsToldToAll() {
  LocalFleet fleet(Plan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "statement", "c", "a long draft", 200);
  const StreamedAnswer answer =
      CallStream(fleet.Router(0), request, [&](std::size_t count) {
        if (count != 5)
          return true;
        fleet.EndpointProcess(0).Signal(SIGTERM);
        const auto told = [&](std::size_t router) {
          const auto status =
              LocalFleet::StatusOf(fleet.RouterOperator(router));
          return status.is_object() && status.value("members_leaving", 0) == 1;
        };
        CPPUNIT_ASSERT(
            WaitUntil([&] { return told(0) && told(1); }, kLeavingTarget));
        return true;
      });
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
  CPPUNIT_ASSERT_EQUAL(0, fleet.EndpointProcess(0).WaitForExit(kCallerTimeout));
}

const Story kStory("leaving", [] {
  return Section(
      "given two routers, a model endpoint and two ledgers",
      {Section(
           "when the VM list shows a ledger as leaving",
           {Then("it refuses although cut off from the list",
                 CutOffFromTheList),
            Then("it refuses a router with an old list", RouterWithAnOldList),
            Then("it refuses although it slept through the news",
                 EndpointProcessSlept),
            Then("its running work finishes", RunningWorkFinishes)}),
       Section("when an endpoint process drains",
               {Then("every router is told", DrainIsToldToAll)}),
       Section(
           "when an endpoint process hears nothing",
           {Then("from list and peers, it takes no new work",
                 IsolatedEndpointRefuses),
            Then("from the list alone, it goes on", ListOutageStopsNobody)})});
});

}  // namespace

}  // namespace buckthornpath
