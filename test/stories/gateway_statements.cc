/** @file gateway_statements.cc What endpoints say of themselves in responses.
 */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** The platform's limit after which an endpoint that leaves gets nothing, of
 * the smallest site; the default of the setting. */
constexpr milliseconds kLeaveTime{2000};

/** Time after a refusal from which an endpoint's wish holds. */
constexpr milliseconds kNoticeTime{500};

constexpr const char* kLeaving = "Server-Leaving: 1\r\n";

EndpointScript Answering(const std::string& fields) {
  return [fields](ScriptedCall& call) { call.Answer(200, "served", fields); };
}

/** @return A script that refuses with a Retry-After. */
EndpointScript Refusing(const std::string& retry_after) {
  return [retry_after](ScriptedCall& call) {
    call.Answer(503, "",
                "Buckthornpath-Not-Executed: 1\r\n" + retry_after + "\r\n");
  };
}

/** A gateway, two endpoints of a plain service, and its callers. */
struct LedgerFleet {
  explicit LedgerFleet(std::size_t ledgers = 2)
      : LedgerFleet(PlanOf(ledgers)) {}
  explicit LedgerFleet(const GatewayPlan& plan) : fleet(plan) {}

  static GatewayPlan PlanOf(std::size_t ledgers) {
    GatewayPlan plan;
    plan.ledgers = ledgers;
    plan.store_proxied = true;
    return plan;
  }

  RawAnswer Send(const std::string& path = "/lookup/x") {
    CallerText text;
    text.path = path;
    const std::string number = std::to_string(++this->sent);
    text.id = "r" + number;
    // Refusals of a service without prompts lower its admission; prompts with
    // nothing in common go to different endpoints.
    text.more_fields =
        "Buckthornpath-Prompt-Prefix: a" + number + ":9,b" + number + ":9\r\n";
    return this->fleet.Call(0, TextOf(text));
  }

  std::size_t Arrivals(std::size_t ledger) {
    return this->fleet.Ledger(ledger).Received().size();
  }

  /** Sends requests until one has reached an endpoint. */
  void SendUntilArrivalAt(std::size_t ledger) {
    CPPUNIT_ASSERT(WaitUntil([&] {
      this->Send();
      return this->Arrivals(ledger) > 0;
    }));
  }

  /** @param id Number in the endpoint's id, if another one has its address. */
  void PublishLedger(std::size_t index,
                     std::int64_t born_ms,
                     std::optional<std::size_t> id = std::nullopt) {
    json entry = {{"service", "ledger"},
                  {"address", this->AddressOf(index)},
                  {"zone", "a"},
                  {"slots", 8},
                  {"state", "ready"}};
    if (born_ms > 0)
      entry["born"] = born_ms;
    const std::string key =
        "servers/ledger-" + std::to_string(id.value_or(index));
    this->fleet.Store().Put(key, entry);
  }

  std::string AddressOf(std::size_t index) {
    const std::string gateway = this->fleet.Caller(0).address().to_string();
    return gateway.substr(0, gateway.rfind('.')) + "." +
           std::to_string(150 + index) + ":7105";
  }

  std::string StateOf(const std::string& endpoint) {
    const json status = LocalFleet::StatusOf(this->fleet.Operator(0));
    return status.value("unusable", json::object()).value(endpoint, "usable");
  }

  GatewayFleet fleet;
  std::atomic<std::size_t> sent = 0;
};

void LeavingEndpointIsLeftForOthers() {
  LedgerFleet ledgers;
  ledgers.fleet.Ledger(0).SetScript(Answering(kLeaving));
  ledgers.SendUntilArrivalAt(0);
  const std::size_t before = ledgers.Arrivals(0);
  for (int i = 0; i < 20; ++i)
    CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  CPPUNIT_ASSERT_EQUAL(before, ledgers.Arrivals(0));
  CPPUNIT_ASSERT_EQUAL(std::string("leaving"), ledgers.StateOf("ledger-0"));
}

void AnyStatusSaysIt() {
  for (const unsigned status : {404U, 500U}) {
    LedgerFleet ledgers;
    ledgers.fleet.Ledger(0).SetScript(
        [status](ScriptedCall& call) { call.Answer(status, "", kLeaving); });
    ledgers.SendUntilArrivalAt(0);
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), ledgers.StateOf("ledger-0"));
  }
}

void LastEndpointServesUntilTheLimit() {
  LedgerFleet ledgers(1);
  ledgers.fleet.Ledger(0).SetScript(Answering(kLeaving));
  CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  const auto said_at = Clock::now();
  CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return ledgers.StateOf("ledger-0") == "left"; }));
  CPPUNIT_ASSERT(Clock::now() - said_at < kLeaveTime);
  const std::size_t before = ledgers.Arrivals(0);
  for (int i = 0; i < 5; ++i)
    CPPUNIT_ASSERT_EQUAL(503U, ledgers.Send().status);
  CPPUNIT_ASSERT_EQUAL(before, ledgers.Arrivals(0));
}

void WaitingRequestIsNotSentAfterTheLimit() {
  GatewayPlan plan = LedgerFleet::PlanOf(1);
  plan.slots = 1;
  LedgerFleet ledgers(plan);
  ledgers.fleet.Ledger(0).SetScript(Answering(kLeaving));
  CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  // The next one holds the only slot beyond the time for a last resort.
  ledgers.fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    std::this_thread::sleep_for(milliseconds(1700));
    call.Answer(200, "served", kLeaving);
  });
  std::thread holder([&] { ledgers.Send(); });
  CPPUNIT_ASSERT(WaitUntil([&] { return ledgers.Arrivals(0) == 2; }));
  const RawAnswer answer = ledgers.Send();
  holder.join();
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledgers.Arrivals(0));
}

/** @param publish Publishes the endpoint once more, after it has left. */
void CheckThatItStaysAway(const std::function<void(LedgerFleet&)>& publish) {
  LedgerFleet ledgers(1);
  ledgers.fleet.Ledger(0).SetScript(Answering(kLeaving));
  CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return ledgers.StateOf("ledger-0") == "left"; }));
  publish(ledgers);
  const std::size_t before = ledgers.Arrivals(0);
  for (int i = 0; i < 5; ++i)
    CPPUNIT_ASSERT_EQUAL(503U, ledgers.Send().status);
  CPPUNIT_ASSERT_EQUAL(before, ledgers.Arrivals(0));
}

void WaitForPublication(LedgerFleet& ledgers) {
  ledgers.fleet.Store().Put("op/config", StandardConfiguration(2));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(ledgers.fleet.Operator(0))
               .value("configuration", 0) == 2;
  }));
}

void PublicationDoesNotBringItBack() {
  CheckThatItStaysAway([](LedgerFleet& ledgers) {
    ledgers.fleet.Store().Remove("servers/ledger-0");
    ledgers.PublishLedger(0, 0);
    WaitForPublication(ledgers);
  });
}

void StoreThatIsAwayChangesNothing() {
  CheckThatItStaysAway([](LedgerFleet& ledgers) {
    ledgers.fleet.Store().SetMode(StoreMode::kBusy);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return !LocalFleet::StatusOf(ledgers.fleet.Operator(0))
                  .value("store_reached", true);
    }));
    ledgers.fleet.Store().SetMode(StoreMode::kServing);
    ledgers.PublishLedger(0, 0);
    WaitForPublication(ledgers);
  });
}

void NewProcessWithTheIdIsUsed() {
  LedgerFleet ledgers(1);
  ledgers.PublishLedger(0, 1000);
  WaitForPublication(ledgers);
  ledgers.fleet.Ledger(0).SetScript(Answering(kLeaving));
  CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return ledgers.StateOf("ledger-0") == "left"; }));
  ledgers.fleet.Ledger(0).SetScript(Answering(""));
  ledgers.PublishLedger(0, 2000);
  CPPUNIT_ASSERT(WaitUntil([&] { return ledgers.Send().status == 200; }));
  CPPUNIT_ASSERT_EQUAL(std::string("usable"), ledgers.StateOf("ledger-0"));
}

void SuccessorAtTheAddressIsUsed() {
  LedgerFleet ledgers(1);
  ledgers.fleet.Ledger(0).SetScript(Answering(kLeaving));
  CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return ledgers.StateOf("ledger-0") == "left"; }));
  ledgers.fleet.Ledger(0).SetScript(Answering(""));
  ledgers.PublishLedger(0, 0, 9);
  CPPUNIT_ASSERT(WaitUntil([&] { return ledgers.Send().status == 200; }));
  CPPUNIT_ASSERT_EQUAL(std::string("left"), ledgers.StateOf("ledger-0"));
  CPPUNIT_ASSERT_EQUAL(std::string("usable"), ledgers.StateOf("ledger-9"));
}

void BrokenStreamIsResumedElsewhere() {
  GatewayPlan plan;
  plan.engines = 3;
  GatewayFleet fleet(plan);
  std::atomic<int> calls = 0;
  for (std::size_t i = 0; i < plan.engines; ++i) {
    fleet.Engine(i).SetScript([&calls, i](ScriptedCall& call) {
      if (i == 0) {
        call.Answer(200, "served", kLeaving);
        return;
      }
      call.BeginEvents();
      if (++calls == 1) {
        call.Event(1);
        call.Close(true);
        return;
      }
      call.Event(2);
      call.EndEvents();
    });
  }
  CallerText text;
  CPPUNIT_ASSERT(WaitUntil([&] {
    text.path = "/draft/x";
    fleet.Call(0, TextOf(text));
    return !fleet.Engine(0).Received().empty();
  }));
  const std::size_t before = fleet.Engine(0).Received().size();
  text.path = "/talk/x";
  for (int i = 0; i < 6; ++i) {
    calls = 0;
    const RawAnswer answer = fleet.Call(0, TextOf(text));
    CPPUNIT_ASSERT(answer.body.find("data: d2") != std::string::npos);
  }
  CPPUNIT_ASSERT_EQUAL(before, fleet.Engine(0).Received().size());
}

void EndpointGetsTheTimeItAsksFor() {
  LedgerFleet ledgers;
  ledgers.fleet.Ledger(0).SetScript(Refusing("Retry-After: 2.5"));
  ledgers.SendUntilArrivalAt(0);
  const std::size_t before = ledgers.Arrivals(0);
  const auto refused_at = Clock::now();
  while (Clock::now() - refused_at < milliseconds(2300))
    CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
  CPPUNIT_ASSERT_EQUAL(before, ledgers.Arrivals(0));
  CPPUNIT_ASSERT_EQUAL(std::string("closed"), ledgers.StateOf("ledger-0"));
  ledgers.fleet.Ledger(0).SetScript(Answering(""));
  CPPUNIT_ASSERT(WaitUntil([&] {
    ledgers.Send();
    return ledgers.Arrivals(0) > before;
  }));
}

void RequestsUnderWayComeToAnEnd() {
  LedgerFleet ledgers(1);
  std::atomic<int> arrived = 0;
  ledgers.fleet.Ledger(0).SetScript([&arrived](ScriptedCall& call) {
    ++arrived;
    std::this_thread::sleep_for(milliseconds(100));
    Refusing("Retry-After: 10")(call);
  });
  std::vector<std::unique_ptr<ByteConnection>> callers;
  for (int i = 0; i < 40; ++i) {
    CallerText text;
    text.id = "many" + std::to_string(i);
    text.more_fields = "Buckthornpath-Prompt-Prefix: a1:9,b2:9\r\n";
    callers.push_back(
        std::make_unique<ByteConnection>(ledgers.fleet.Caller(0)));
    callers.back()->Send(TextOf(text));
  }
  for (const auto& caller : callers)
    CPPUNIT_ASSERT_EQUAL(503U, ParseRawAnswer(caller->ReadToEnd()).status);
  std::this_thread::sleep_for(kNoticeTime);
  const int before = arrived;
  for (int i = 0; i < 10; ++i) {
    const auto sent_at = Clock::now();
    const RawAnswer answer =
        ledgers.Send(i % 2 == 0 ? "/lookup/x" : "/issue/x");
    CPPUNIT_ASSERT_EQUAL(503U, answer.status);
    CPPUNIT_ASSERT(Clock::now() - sent_at < kNoticeTime);
    std::this_thread::sleep_for(milliseconds(100));
  }
  CPPUNIT_ASSERT_EQUAL(before, arrived.load());
}

void AllEndpointsAskForTime() {
  LedgerFleet ledgers;
  ledgers.fleet.Ledger(0).SetScript(Refusing("Retry-After: 30"));
  ledgers.fleet.Ledger(1).SetScript(Refusing("Retry-After: 20"));
  CPPUNIT_ASSERT(WaitUntil([&] {
    ledgers.Send();
    return ledgers.Arrivals(0) > 0 && ledgers.Arrivals(1) > 0;
  }));
  const auto sent_at = Clock::now();
  const RawAnswer answer = ledgers.Send();
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT(Clock::now() - sent_at < milliseconds(1000));
  const std::size_t position = answer.head.find("Retry-After: ");
  CPPUNIT_ASSERT(position != std::string::npos);
  const double seconds = std::stod(answer.head.substr(position + 13));
  CPPUNIT_ASSERT(seconds > 15 && seconds < 27);
}

void OddTimesAreBounded() {
  for (const char* value :
       {"-5", "1e12", "1000000000000", "nan", "inf", "", "soon",
        "Sat, 05 Dec 2026 10:00:00 GMT", "0x10", "0", "1,5", "5 5"}) {
    LedgerFleet ledgers;
    ledgers.fleet.Ledger(0).SetScript(
        Refusing(std::string("Retry-After: ") + value));
    ledgers.SendUntilArrivalAt(0);
    CPPUNIT_ASSERT_EQUAL(200U, ledgers.Send().status);
    CPPUNIT_ASSERT(ledgers.fleet.Gateway(0).IsRunning());
    const bool is_bounded = std::string(value).starts_with("1e12") ||
                            std::string(value).starts_with("1000000000000");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(value,
                                 std::string(is_bounded ? "closed" : "usable"),
                                 ledgers.StateOf("ledger-0"));
  }
  LedgerFleet ledgers;
  ledgers.fleet.Ledger(0).SetScript(
      Refusing("Retry-After: 1\r\nRetry-After: 60"));
  ledgers.SendUntilArrivalAt(0);
  std::this_thread::sleep_for(milliseconds(1200));
  CPPUNIT_ASSERT_EQUAL(std::string("closed"), ledgers.StateOf("ledger-0"));
}

void LogNamesTheState() {
  LedgerFleet ledgers(1);
  ledgers.fleet.Ledger(0).SetScript(Refusing("Retry-After: 30"));
  ledgers.Send();
  ledgers.Send();
  const json line = ledgers.fleet.LogOf(0, "r" + std::to_string(ledgers.sent));
  CPPUNIT_ASSERT_EQUAL(1, line.value("unusable", json()).value("closed", 0));
}

const Story kStory("gateway_statements", [] {
  return Section(
      "given endpoints that speak of themselves in their responses",
      {Section("when one says that it leaves though it is published as ready",
               {Then("requests go to others at once",
                     LeavingEndpointIsLeftForOthers),
                Then("whatever the status of the response", AnyStatusSaysIt),
                Then("the last one is used until the limit, and not beyond",
                     LastEndpointServesUntilTheLimit),
                Then("a request that waits for it is not sent after the limit",
                     WaitingRequestIsNotSentAfterTheLimit),
                Then("a broken stream is resumed at another",
                     BrokenStreamIsResumedElsewhere),
                Then("its being published again does not bring it back",
                     PublicationDoesNotBringItBack),
                Then("nor does a store that was away",
                     StoreThatIsAwayChangesNothing),
                Then("another endpoint at its address is used",
                     SuccessorAtTheAddressIsUsed),
                Then("a new process with its id is used",
                     NewProcessWithTheIdIsUsed)}),
       Section("when one refuses a request and asks for time",
               {Then("it gets nothing for so long, and requests afterwards",
                     EndpointGetsTheTimeItAsksFor),
                Then("requests that were under way come to an end",
                     RequestsUnderWayComeToAnEnd),
                Then("odd times are bounded or ignored", OddTimesAreBounded),
                Then("the log names the state that kept it out",
                     LogNamesTheState)}),
       Section("when all ask for time",
               {Then("requests are refused at once until the first returns",
                     AllEndpointsAskForTime)})});
});

}  // namespace

}  // namespace buckthornpath
