/** @file gateway_evacuation.cc Evacuated failure domains, with processes. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <set>
#include <string>
#include <thread>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Timeout for a published change to take effect, half of the platform's. */
constexpr milliseconds kApplyTimeout{2500};

/** Timeout for a change that is published during an outage of the store. */
constexpr milliseconds kRecoveryTimeout{5000};

constexpr char kEvacuationOfA[] = "op/evacuate/a";

/** Two gateways, engines and ledgers; those with number 0 in failure domain a,
 * the others in b. */
GatewayPlan TwoDomains() {
  GatewayPlan plan;
  plan.gateways = 2;
  plan.failure_domains = {"a", "b"};
  plan.engines = 2;
  plan.ledgers = 2;
  plan.store_proxied = true;
  return plan;
}

std::set<std::string> EvacuatedAt(GatewayFleet& fleet, std::size_t gateway) {
  std::set<std::string> domains;
  const json status = LocalFleet::StatusOf(fleet.Operator(gateway));
  if (!status.is_object())
    return domains;
  const json evacuated = status.value("evacuated", json::object());
  for (const auto& entry : evacuated.items())
    domains.insert(entry.key());
  return domains;
}

/** @return True if exactly these domains are evacuated, in time. */
bool BecomesEvacuated(GatewayFleet& fleet,
                      std::size_t gateway,
                      const std::set<std::string>& domains,
                      milliseconds timeout = kApplyTimeout) {
  return WaitUntil([&] { return EvacuatedAt(fleet, gateway) == domains; },
                   timeout);
}

/** Sends requests. @return Number of them that arrived at the ledger of a. */
std::size_t CountSentToA(GatewayFleet& fleet, std::size_t gateway) {
  const std::size_t before = fleet.Ledger(0).Received().size();
  for (int i = 0; i < 10; ++i) {
    CallerText text;
    text.path = "/issue/x";
    CPPUNIT_ASSERT_EQUAL(200U, fleet.Call(gateway, TextOf(text)).status);
  }
  return fleet.Ledger(0).Received().size() - before;
}

void NewRequestsGoElsewhere() {
  GatewayFleet fleet(TwoDomains());
  CPPUNIT_ASSERT(CountSentToA(fleet, 0) > 0);
  fleet.Store().Put(kEvacuationOfA, json::object());
  for (const std::size_t gateway : {0U, 1U}) {
    CPPUNIT_ASSERT(BecomesEvacuated(fleet, gateway, {"a"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSentToA(fleet, gateway));
    const json unusable = LocalFleet::StatusOf(fleet.Operator(gateway))
                              .value("unusable", json::object());
    CPPUNIT_ASSERT_EQUAL(std::string("evacuated"),
                         unusable.value("ledger-0", ""));
  }
  // An endpoint that is published anew is in the domain all the same.
  fleet.Store().Remove("servers/ledger-0");
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return fleet.Log(0).find("endpoint_gone") != std::string::npos; }));
  fleet.PublishEndpoint("ledger", 0, "ready");
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(0)).value("endpoints", 0) == 4;
  }));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSentToA(fleet, 0));
}

/** The content of the item says nothing, so it can't be wrong. */
void AnyValueCounts() {
  GatewayFleet fleet(TwoDomains());
  fleet.Store().Put(kEvacuationOfA, std::string("\xff["));
  fleet.Store().Put("op/evacuate/", json::object());
  CPPUNIT_ASSERT(BecomesEvacuated(fleet, 0, {"a"}));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSentToA(fleet, 0));
}

void RunningStreamFinishes() {
  GatewayPlan plan = TwoDomains();
  plan.engines = 1;
  GatewayFleet fleet(plan);
  std::atomic<bool> has_begun = false;
  std::atomic<bool> may_end = false;
  fleet.Engine(0).SetScript([&](ScriptedCall& call) {
    call.BeginEvents();
    call.Event(1);
    has_begun = true;
    WaitUntil([&] { return may_end.load(); });
    call.Event(2);
    call.EndEvents();
  });
  RawAnswer answer;
  std::thread caller([&] {
    CallerText text;
    text.path = "/draft/x";
    answer = fleet.Call(0, TextOf(text));
  });
  const bool has_started = WaitUntil([&] { return has_begun.load(); });
  fleet.Store().Put(kEvacuationOfA, json::object());
  const bool is_evacuated = BecomesEvacuated(fleet, 0, {"a"});
  may_end = true;
  caller.join();
  CPPUNIT_ASSERT(has_started && is_evacuated);
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT(answer.body.find("id: 2\n") != std::string::npos);
}

/** The only slot of a service is taken, and another request waits for it. */
void ServiceWithoutAnotherDomainRefusesAtOnce() {
  GatewayPlan plan = TwoDomains();
  plan.engines = 1;
  plan.slots = 1;
  GatewayFleet fleet(plan);
  fleet.PublishLongTimeouts();
  std::atomic<bool> may_end = false;
  fleet.Engine(0).SetScript([&](ScriptedCall& call) {
    call.BeginEvents();
    call.Event(1);
    WaitUntil([&] { return may_end.load(); }, milliseconds(15000));
    call.EndEvents();
  });
  CallerText text;
  text.path = "/draft/x";
  text.id = "running";
  text.more_fields = "Buckthornpath-Prompt-Prefix: 1a:100,2b:10\r\n";
  std::thread running([&] { fleet.Call(0, TextOf(text)); });
  const bool has_begun =
      WaitUntil([&] { return fleet.Engine(0).CountOf("running") == 1; });
  std::atomic<bool> is_answered = false;
  RawAnswer refusal;
  std::thread waiting([&] {
    CallerText second = text;
    second.id = "waiting";
    refusal = fleet.Call(0, TextOf(second));
    is_answered = true;
  });
  // A gateway counts the waiting request among its connections.
  const bool is_waiting = WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(0)).value("connections", 0) == 2;
  });
  fleet.Store().Put(kEvacuationOfA, json::object());
  const bool is_refused =
      WaitUntil([&] { return is_answered.load(); }, kApplyTimeout);
  may_end = true;
  running.join();
  waiting.join();
  CPPUNIT_ASSERT(has_begun && is_waiting);
  CPPUNIT_ASSERT(is_refused);
  CPPUNIT_ASSERT_EQUAL(503U, refusal.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.Engine(0).CountOf("waiting"));
  const json line = fleet.LogOf(0, "waiting");
  CPPUNIT_ASSERT_EQUAL(
      1, line.value("unusable", json::object()).value("evacuated", 0));
}

void CutOffGatewayLearnsFromOthers() {
  GatewayFleet fleet(TwoDomains());
  fleet.StoreProxy(1).RefuseNew(true);
  fleet.StoreProxy(1).CutAll();
  fleet.Store().Put(kEvacuationOfA, json::object());
  CPPUNIT_ASSERT(BecomesEvacuated(fleet, 1, {"a"}));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSentToA(fleet, 1));
  fleet.Store().Remove(kEvacuationOfA);
  CPPUNIT_ASSERT(BecomesEvacuated(fleet, 1, {}));
  CPPUNIT_ASSERT(CountSentToA(fleet, 1) > 0);
}

void RestartedGatewayKnowsBeforeItServes() {
  for (const StoreMode mode : {StoreMode::kServing, StoreMode::kBusy}) {
    GatewayFleet fleet(TwoDomains());
    fleet.Store().Put(kEvacuationOfA, json::object());
    CPPUNIT_ASSERT(BecomesEvacuated(fleet, 0, {"a"}));
    CPPUNIT_ASSERT(BecomesEvacuated(fleet, 1, {"a"}));
    fleet.Store().SetMode(mode);
    fleet.Gateway(1).Kill();
    fleet.Restart(1);
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.IsReady(1); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSentToA(fleet, 1));
  }
}

void OutageAndLostHistoryEndNothing() {
  GatewayFleet fleet(TwoDomains());
  fleet.Store().Put(kEvacuationOfA, json::object());
  CPPUNIT_ASSERT(BecomesEvacuated(fleet, 0, {"a"}));
  fleet.Store().SetMode(StoreMode::kBusy);
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return fleet.Log(0).find("store_lost") != std::string::npos; }));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSentToA(fleet, 0));
  fleet.Store().Compact();
  // Another one begins while nobody can be told.
  fleet.Store().Put("op/evacuate/c", json::object());
  fleet.Store().SetMode(StoreMode::kServing);
  CPPUNIT_ASSERT(BecomesEvacuated(fleet, 0, {"a", "c"}, kRecoveryTimeout));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountSentToA(fleet, 0));
}

void EndIsFollowed(StoreMode mode) {
  GatewayFleet fleet(TwoDomains());
  fleet.Store().Put(kEvacuationOfA, json::object());
  CPPUNIT_ASSERT(BecomesEvacuated(fleet, 0, {"a"}));
  fleet.Store().SetMode(mode);
  const bool is_outage = mode != StoreMode::kServing;
  if (is_outage) {
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return fleet.Log(0).find("store_lost") != std::string::npos; }));
    fleet.Store().RemoveUnseen(kEvacuationOfA);
    fleet.Store().SetMode(StoreMode::kServing);
  } else {
    fleet.Store().Remove(kEvacuationOfA);
  }
  CPPUNIT_ASSERT(BecomesEvacuated(
      fleet, 0, {}, is_outage ? kRecoveryTimeout : kApplyTimeout));
  CPPUNIT_ASSERT(CountSentToA(fleet, 0) > 0);
  CPPUNIT_ASSERT(fleet.Log(0).find("domain_restored") != std::string::npos);
}

const Story kStory("gateway_evacuation", [] {
  return Section(
      "given gateways and endpoints in two failure domains",
      {Section(
           "when one domain is evacuated",
           {Then("new requests go elsewhere", NewRequestsGoElsewhere),
            Then("whatever the item says", AnyValueCounts),
            Then("a stream that runs there finishes", RunningStreamFinishes),
            Then("a service that has no other refuses at once, what waits "
                 "included",
                 ServiceWithoutAnotherDomainRefusesAtOnce)}),
       Section("when gateways or the store fail meanwhile",
               {Then("a gateway that is cut off from the store hears of it",
                     CutOffGatewayLearnsFromOthers),
                Then("a gateway that starts knows before it serves",
                     RestartedGatewayKnowsBeforeItServes),
                Then("an outage that loses history ends no evacuation",
                     OutageAndLostHistoryEndNothing)}),
       Section(
           "when it is taken back",
           {Then("requests return", [] { EndIsFollowed(StoreMode::kServing); }),
            Then("also during an outage",
                 [] { EndIsFollowed(StoreMode::kBusy); })})});
});

}  // namespace

}  // namespace buckthornpath
