/** @file endpoint_moves.cc Requests under way while an endpoint leaves. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

constexpr unsigned short kOtherPort = 7999;

RawAnswer CallLedger(GatewayFleet& fleet) {
  CallerText text;
  text.path = "/lookup/x";
  return fleet.Call(0, TextOf(text));
}

/** Waits until the gateway has applied all that was published before. */
void AwaitPublication(GatewayFleet& fleet) {
  fleet.Store().Put("op/config", StandardConfiguration(2));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(0)).value("configuration", 0) ==
           2;
  }));
}

/** @return The ledger's first entry, at another address. */
nlohmann::json MovedEntry(const std::string& address) {
  return {{"service", "ledger"},  {"address", address}, {"zone", "a"},
          {"version", "v1"},      {"slots", 8},         {"state", "ready"},
          {"coldRemainingMs", 0}, {"sequence", 1}};
}

/** Guards against a request to the process that was at the old address; the
 * address may be another endpoint's by then. */
void KeptConnectionIsNotUsedAfterAMove() {
  GatewayFleet fleet({});
  CPPUNIT_ASSERT_EQUAL(200U, CallLedger(fleet).status);
  const SocketAddress address(fleet.Caller(0).address(), kOtherPort);
  ScriptedEndpoint moved(address,
                         [](ScriptedCall& call) { call.Answer(200, "moved"); });
  const std::size_t before = fleet.Ledger(0).Received().size();
  fleet.Store().Put("servers/ledger-0",
                    MovedEntry(address.address().to_string() + ":" +
                               std::to_string(kOtherPort)));
  AwaitPublication(fleet);
  CPPUNIT_ASSERT_EQUAL(200U, CallLedger(fleet).status);
  CPPUNIT_ASSERT_EQUAL(before, fleet.Ledger(0).Received().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.Received().size());
}

/** The same with a connection that was in use when the endpoint moved. */
void ConnectionInUseIsNotKeptAfterAMove() {
  GatewayFleet fleet({});
  std::atomic<bool> may_answer = false;
  fleet.Ledger(0).SetScript([&](ScriptedCall& call) {
    WaitUntil([&] { return may_answer.load(); });
    call.Answer(200, "served");
  });
  std::thread caller([&] { CallLedger(fleet); });
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Ledger(0).Received().size() == 1; }));
  const SocketAddress address(fleet.Caller(0).address(), kOtherPort);
  ScriptedEndpoint moved(address,
                         [](ScriptedCall& call) { call.Answer(200, "moved"); });
  fleet.Store().Put("servers/ledger-0",
                    MovedEntry(address.address().to_string() + ":" +
                               std::to_string(kOtherPort)));
  AwaitPublication(fleet);
  may_answer = true;
  caller.join();
  CPPUNIT_ASSERT_EQUAL(200U, CallLedger(fleet).status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.Ledger(0).Received().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.Received().size());
}

/** The only endpoint leaves while a request waits for its only
 * connection. */
void WaitingRequestIsNotSent(
    const std::function<void(GatewayFleet& fleet)>& leave) {
  GatewayPlan plan;
  plan.max_connections = 1;
  GatewayFleet fleet(plan);
  std::atomic<bool> may_answer = false;
  fleet.Ledger(0).SetScript([&](ScriptedCall& call) {
    WaitUntil([&] { return may_answer.load(); });
    call.Answer(200, "served");
  });
  std::thread holder([&] { CallLedger(fleet); });
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Ledger(0).Received().size() == 1; }));
  RawAnswer answer;
  std::thread waiter([&] { answer = CallLedger(fleet); });
  // The waiting request has no effect that could be waited for.
  std::this_thread::sleep_for(milliseconds(200));
  leave(fleet);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return fleet.Log(0).find("\"endpoint_leaving\"") != std::string::npos ||
           fleet.Log(0).find("\"endpoint_gone\"") != std::string::npos;
  }));
  may_answer = true;
  holder.join();
  waiter.join();
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.Ledger(0).Received().size());
}

/** The first endpoint breaks off when the other one is leaving. */
void RetryGoesToNoneThatLeaves() {
  GatewayPlan plan;
  plan.ledgers = 2;
  GatewayFleet fleet(plan);
  std::atomic<bool> may_break = false;
  for (const std::size_t ledger : {0, 1}) {
    fleet.Ledger(ledger).SetScript([&](ScriptedCall& call) {
      WaitUntil([&] { return may_break.load(); });
      call.Close(true);
    });
  }
  RawAnswer answer;
  std::thread caller([&] { answer = CallLedger(fleet); });
  const auto received = [&](std::size_t ledger) {
    return fleet.Ledger(ledger).Received().size();
  };
  CPPUNIT_ASSERT(WaitUntil([&] { return received(0) + received(1) == 1; }));
  fleet.PublishEndpoint("ledger", received(0) == 1 ? 1 : 0, "draining");
  AwaitPublication(fleet);
  may_break = true;
  caller.join();
  CPPUNIT_ASSERT(answer.status != 200);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received(0) + received(1));
}

const Story kStory("endpoint_moves", [] {
  return Section(
      "given a request or a connection of an endpoint",
      {Section("when the endpoint is published at another address",
               {Then("a kept connection is not used",
                     KeptConnectionIsNotUsedAfterAMove),
                Then("nor one that was in use",
                     ConnectionInUseIsNotKeptAfterAMove)}),
       Section("when the endpoint leaves",
               {Then("a waiting request is not sent to one that drains",
                     [] {
                       WaitingRequestIsNotSent([](GatewayFleet& fleet) {
                         fleet.PublishEndpoint("ledger", 0, "draining");
                       });
                     }),
                Then("nor to one that was removed",
                     [] {
                       WaitingRequestIsNotSent([](GatewayFleet& fleet) {
                         fleet.Store().Remove("servers/ledger-0");
                       });
                     }),
                Then("nor is a request tried again there",
                     RetryGoesToNoneThatLeaves)})});
});

}  // namespace

}  // namespace buckthornpath
