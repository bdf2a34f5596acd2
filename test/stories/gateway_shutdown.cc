/** @file gateway_shutdown.cc Planned restarts interrupt no request. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <csignal>
#include <memory>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Timeout for an idle process to exit after SIGTERM. */
constexpr milliseconds kExitTimeout{8000};

/** A gateway with a request that runs until the test calls Finish(). */
struct RunningRequest {
  RunningRequest() {
    this->fleet.Ledger(0).SetScript([this](ScriptedCall& call) {
      this->started = true;
      WaitUntil([&] { return this->may_respond.load(); });
      call.Answer(200, "whole");
    });
    CallerText text;
    text.path = "/issue/x";
    text.keeps_open = true;
    this->connection.emplace(this->fleet.Caller(0));
    this->connection->Send(TextOf(text));
    CPPUNIT_ASSERT(WaitUntil([&] { return this->started.load(); }));
  }

  /** Lets the endpoint respond. @return The response that the caller gets. */
  RawAnswer Finish() {
    this->may_respond = true;
    return ParseRawAnswer(this->connection->ReadToEnd());
  }

  std::atomic<bool> started = false;
  std::atomic<bool> may_respond = false;
  GatewayFleet fleet{{}};
  std::optional<ByteConnection> connection;
};

void RunningRequestIsAnswered() {
  RunningRequest running;
  ChildProcess& gateway = running.fleet.Gateway(0);
  gateway.Signal(SIGTERM);
  CPPUNIT_ASSERT(WaitUntil([&] { return !running.fleet.IsReady(0); }));
  const RawAnswer answer = running.Finish();
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.body);
  CPPUNIT_ASSERT(answer.head.find("Connection: close") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(0, gateway.WaitForExit(kExitTimeout));
}

void RepeatedSigtermInterruptsNothing() {
  RunningRequest running;
  ChildProcess& gateway = running.fleet.Gateway(0);
  gateway.Signal(SIGTERM);
  CPPUNIT_ASSERT(WaitUntil([&] { return !running.fleet.IsReady(0); }));
  gateway.Signal(SIGTERM);
  // The pending SIGTERM is handled before this reload, whose log line shows
  // that both have been handled.
  gateway.Signal(SIGHUP);
  CPPUNIT_ASSERT(WaitUntil([&] {
    const std::string log = running.fleet.Log(0);
    return log.find("settings_reloaded") != std::string::npos ||
           log.find("cut_off") != std::string::npos;
  }));
  CPPUNIT_ASSERT_EQUAL(200U, running.Finish().status);
  CPPUNIT_ASSERT_EQUAL(0, gateway.WaitForExit(kExitTimeout));
}

void NewRequestsAreServedUntilOutOfRotation() {
  GatewayFleet fleet({});
  ByteConnection idle(fleet.Caller(0));
  fleet.Gateway(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(WaitUntil([&] { return !fleet.IsReady(0); }));
  CallerText text;
  CPPUNIT_ASSERT_EQUAL(200U, fleet.Call(0, TextOf(text)).status);
  CPPUNIT_ASSERT_EQUAL(0, fleet.Gateway(0).WaitForExit(kExitTimeout));
  // The idle kept-alive connection was closed before the process exited.
  CPPUNIT_ASSERT(idle.ReadToEnd().empty());
}

/** Callers connect and send while the process is paused near the end of its
 * drain: it accepts them together with the timer that stops it. */
void ConnectionsOfAPauseAreServed() {
  constexpr int kCallers = 40;
  GatewayFleet fleet({});
  ChildProcess& gateway = fleet.Gateway(0);
  gateway.Signal(SIGTERM);
  CPPUNIT_ASSERT(WaitUntil([&] { return !fleet.IsReady(0); }));
  std::this_thread::sleep_for(milliseconds(1500));
  gateway.Signal(SIGSTOP);
  std::vector<std::unique_ptr<ByteConnection>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<ByteConnection>(fleet.Caller(0)));
    CallerText text;
    text.id = "paused-" + std::to_string(i);
    callers.back()->Send(TextOf(text));
  }
  // The process is out of rotation when it wakes.
  std::this_thread::sleep_for(milliseconds(1500));
  gateway.Signal(SIGCONT);
  int answered = 0;
  std::string other_answers;
  for (const auto& caller : callers) {
    const RawAnswer answer = ParseRawAnswer(caller->ReadToEnd());
    answered += answer.status == 200 ? 1 : 0;
    if (answer.status != 200)
      other_answers += answer.head + answer.body + "; ";
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(other_answers, kCallers, answered);
  CPPUNIT_ASSERT_EQUAL(0, gateway.WaitForExit(kExitTimeout));
}

/** Callers send on idle connections at every moment of a shutdown. */
void ShutdownLosesNoRequest() {
  GatewayFleet fleet({});
  fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    std::this_thread::sleep_for(milliseconds(30));
    call.Answer(200, "whole");
  });
  std::atomic<bool> has_stopped = false;
  std::atomic<int> lost = 0;
  std::vector<std::thread> callers;
  callers.reserve(16);
  for (int caller = 0; caller < 16; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; !has_stopped; ++i) {
        CallerText text;
        text.id = "c" + std::to_string(caller) + "-" + std::to_string(i);
        try {
          ByteConnection connection(fleet.Caller(0));
          // The connection stays idle for a while before the request is sent.
          std::this_thread::sleep_for(milliseconds(7 * caller));
          connection.Send(TextOf(text));
          const RawAnswer answer = ParseRawAnswer(connection.ReadToEnd());
          if (answer.status == 0 && fleet.Ledger(0).CountOf(text.id) > 0)
            ++lost;
        } catch (const std::runtime_error&) {
          return;  // Refused: the process has exited or no longer accepts.
        }
      }
    });
  }
  WaitUntil([&] { return fleet.Ledger(0).Received().size() > 20; });
  fleet.Gateway(0).Signal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(0, fleet.Gateway(0).WaitForExit(kExitTimeout));
  has_stopped = true;
  for (std::thread& caller : callers)
    caller.join();
  CPPUNIT_ASSERT_EQUAL(0, lost.load());
}

/** Guards against requests that wait for a slot being cut off, unanswered, at
 * the end of a planned stop. */
void WaitingRequestsAreRefusedOutOfRotation() {
  constexpr std::size_t kCallers = 6;
  GatewayPlan plan;
  plan.slots = 2;
  GatewayFleet fleet(plan);
  fleet.PublishLongTimeouts();
  std::atomic<bool> may_finish = false;
  fleet.Engine(0).SetScript([&](ScriptedCall& call) {
    WaitUntil([&] { return may_finish.load(); });
    call.Answer(200, "whole");
  });
  fleet.Gateway(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(WaitUntil([&] { return !fleet.IsReady(0); }));
  std::vector<std::unique_ptr<ByteConnection>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    CallerText text;
    text.path = "/draft/x";
    text.id = "wait-" + std::to_string(i);
    text.more_fields =
        "Buckthornpath-Model: m\r\nBuckthornpath-Token-Usage: 9,9\r\n"
        "Buckthornpath-Prompt-Prefix: a:4,b" +
        std::to_string(i) + ":5\r\n";
    callers.push_back(std::make_unique<ByteConnection>(fleet.Caller(0)));
    callers.back()->Send(TextOf(text));
  }
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return fleet.Log(0).find("\"draining\"") != std::string::npos; }));
  may_finish = true;
  std::size_t served = 0;
  std::size_t refused = 0;
  for (const auto& caller : callers) {
    const RawAnswer answer = ParseRawAnswer(caller->ReadToEnd());
    served += answer.status == 200 ? 1 : 0;
    refused += answer.status == 503 ? 1 : 0;
  }
  CPPUNIT_ASSERT(refused > 0);
  CPPUNIT_ASSERT_EQUAL(kCallers, served + refused);
  CPPUNIT_ASSERT_EQUAL(served, fleet.Engine(0).Received().size());
  CPPUNIT_ASSERT_EQUAL(0, fleet.Gateway(0).WaitForExit(kExitTimeout));
}

/** Guards against requests that run at the end of a planned stop being closed
 * without an answer. */
void RunningRequestIsAnsweredAtTheDrainTimeout() {
  GatewayPlan plan;
  plan.settings = {{"drain_timeout", 4000}};
  GatewayFleet fleet(plan);
  fleet.PublishLongTimeouts();
  fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    call.WaitForClose(kExitTimeout);
    call.Close(false);
  });
  CallerText text;
  text.path = "/issue/x";
  ByteConnection caller(fleet.Caller(0));
  caller.Send(TextOf(text));
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Ledger(0).CountOf(text.id) == 1; }));
  fleet.Gateway(0).Signal(SIGTERM);
  const RawAnswer answer = ParseRawAnswer(caller.ReadToEnd());
  // It may have run, so no status that promises the contrary.
  CPPUNIT_ASSERT_EQUAL(504U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("drain_timeout"),
                       fleet.LogOf(0, text.id).value("reason", std::string()));
  CPPUNIT_ASSERT(fleet.Log(0).find("drain_waits") != std::string::npos);
  CPPUNIT_ASSERT(fleet.Log(0).find(R"("phase":"sent")") != std::string::npos);
  constexpr int kCutOffExitCode = 3;
  CPPUNIT_ASSERT_EQUAL(kCutOffExitCode,
                       fleet.Gateway(0).WaitForExit(kExitTimeout));
}

void ReloadKeepsServing() {
  GatewayFleet fleet({});
  for (int i = 0; i < 3; ++i)
    fleet.Gateway(0).Signal(SIGHUP);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return fleet.Log(0).find("settings_reloaded") != std::string::npos;
  }));
  CPPUNIT_ASSERT(fleet.IsReady(0));
  CPPUNIT_ASSERT_EQUAL(200U, fleet.Call(0, TextOf({})).status);
}

const Story kStory("gateway_shutdown", [] {
  return Section(
      "given a gateway that receives a signal",
      {Section("when it receives SIGTERM",
               {Then("a running request is answered and its connection closed",
                     RunningRequestIsAnswered),
                Then("a second SIGTERM interrupts no request",
                     RepeatedSigtermInterruptsNothing),
                Then("new requests are served while it may be in rotation",
                     NewRequestsAreServedUntilOutOfRotation),
                Then("connections made during a pause at its end are served",
                     ConnectionsOfAPauseAreServed),
                Then("requests that wait for a slot are refused in time",
                     WaitingRequestsAreRefusedOutOfRotation),
                Then("a request that outlasts the drain gets an answer",
                     RunningRequestIsAnsweredAtTheDrainTimeout),
                Then("no request is lost at any moment of the shutdown",
                     ShutdownLosesNoRequest)}),
       Section(
           "when it receives SIGHUP",
           {Then("it stays ready and serves as before", ReloadKeepsServing)})});
});

}  // namespace

}  // namespace buckthornpath
