/** @file cold_endpoint_limit.cc Endpoints that have just started. */

#include "buckthornpath/cold_endpoint_limit.h"

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = ColdEndpointLimit::TimePoint;

constexpr TimePoint kStart = TimePoint{} + hours(100);
const ColdEndpointLimit::WallTime kWall{hours(400000)};
const EndpointId kEndpoint("e-1");
constexpr ColdStartPolicy kPolicy{20, seconds(3)};

std::int64_t BornAt(milliseconds offset) {
  const auto time = kWall.time_since_epoch() + offset;
  return std::chrono::duration_cast<milliseconds>(time).count();
}

ColdEndpointLimit SenderOf(std::size_t senders, TimePoint started_at) {
  return {{1.5, 5, senders, true}, started_at};
}

/** @return Most events within a second. */
std::size_t WorstSecond(std::vector<TimePoint> times) {
  std::sort(times.begin(), times.end());
  std::size_t worst = 0;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= seconds(1))
      ++first;
    worst = std::max(worst, last - first + 1);
  }
  return worst;
}

/** Property: gateways that know nothing of each other, restart at any time and
 * send a while after they were allowed to, up to twice as many as are listed.
 */
void SumHoldsWhoeverKnowsWhom() {
  const bool holds = rc::check([] {
    const auto listed = *rc::gen::inRange<std::size_t>(1, 6);
    const auto running = *rc::gen::inRange<std::size_t>(1, 2 * listed + 1);
    const ColdStartPolicy policy{*rc::gen::inRange(1, 90) / 1.0, seconds(60)};
    const ColdEndpointShare share{*rc::gen::inRange(100, 300) / 100.0,
                                  *rc::gen::inRange(0, 20) / 1.0, listed, true};
    std::vector<ColdEndpointLimit> gateways(running, {share, kStart});
    std::vector<TimePoint> sent;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        400, rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 500)));
    TimePoint now = kStart;
    for (const auto& [choice, delay] : steps) {
      now += milliseconds(10);
      for (ColdEndpointLimit& gateway : gateways) {
        if (choice == 0 && &gateway == &gateways.front())
          gateway = {share, now};
        gateway.RecordStatement(kEndpoint, seconds(9), now);
        if (!gateway.MaySend(kEndpoint, policy, 0, now))
          continue;
        gateway.RecordSend(kEndpoint, policy, now);
        sent.push_back(now + milliseconds(delay));
      }
    }
    const double limit =
        policy.requests_per_second * share.overage + share.slack;
    RC_ASSERT(static_cast<double>(WorstSecond(sent)) <= limit);
  });
  CPPUNIT_ASSERT(holds);
}

/** Load pattern: an endpoint returns, is idle, and every gateway of 26 would
 * send it all of its requests. */
void ReturnedEndpointIsNotCrowded() {
  std::vector<ColdEndpointLimit> gateways(3, SenderOf(3, kStart));
  gateways.resize(26, {{1.5, 5, 3, false}, kStart});
  const TimePoint returned = kStart + seconds(20);
  for (ColdEndpointLimit& gateway : gateways) {
    gateway.RecordPublished(kEndpoint, {BornAt(seconds(0)), {}, false},
                            returned, kWall);
  }
  std::vector<TimePoint> sent;
  for (TimePoint now = returned; now < returned + seconds(3);
       now += milliseconds(5)) {
    for (ColdEndpointLimit& gateway : gateways) {
      if (!gateway.MaySend(kEndpoint, kPolicy, 0, now))
        continue;
      gateway.RecordSend(kEndpoint, kPolicy, now);
      sent.push_back(now);
    }
  }
  CPPUNIT_ASSERT(WorstSecond(sent) <= 35);
  CPPUNIT_ASSERT(sent.size() >= 24);
}

void LoadRisesWithWhatIsAnswered() {
  ColdEndpointLimit limit = SenderOf(3, kStart);
  limit.RecordPossibleRestart(kEndpoint, kStart);
  const TimePoint warm = kStart + seconds(3);
  CPPUNIT_ASSERT(limit.MaySend(kEndpoint, kPolicy, 3, warm));
  CPPUNIT_ASSERT(!limit.MaySend(kEndpoint, kPolicy, 4, warm));
  for (int i = 0; i < 6; ++i)
    limit.RecordResult(kEndpoint, kPolicy, true, warm);
  CPPUNIT_ASSERT(limit.MaySend(kEndpoint, kPolicy, 9, warm));
  CPPUNIT_ASSERT(!limit.MaySend(kEndpoint, kPolicy, 10, warm));
  limit.RecordResult(kEndpoint, kPolicy, false, warm);
  CPPUNIT_ASSERT(!limit.MaySend(kEndpoint, kPolicy, 5, warm));
  const TimePoint last = warm + milliseconds(3999);
  CPPUNIT_ASSERT(!limit.MaySend(kEndpoint, kPolicy, 5, last));
  CPPUNIT_ASSERT(limit.MaySend(kEndpoint, kPolicy, 5, warm + seconds(4)));
}

void FleetThatStartsIsWarm() {
  ColdEndpointLimit limit = SenderOf(3, kStart);
  limit.RecordPublished(kEndpoint, {BornAt(seconds(-1)), {}, true}, kStart,
                        kWall);
  CPPUNIT_ASSERT(!limit.IsCold(kEndpoint, kPolicy, kStart));
  // Its own word counts at any time.
  limit.RecordPublished(kEndpoint,
                        {BornAt(seconds(-1)), milliseconds(900), false}, kStart,
                        kWall);
  CPPUNIT_ASSERT(limit.IsCold(kEndpoint, kPolicy, kStart + milliseconds(899)));
  CPPUNIT_ASSERT(!limit.IsCold(kEndpoint, kPolicy, kStart + milliseconds(900)));
}

void NewProcessIsColdAnOldOneIsNot() {
  ColdEndpointLimit limit = SenderOf(3, kStart);
  const std::int64_t old = BornAt(-hours(1));
  limit.RecordPublished(kEndpoint, {old, {}, true}, kStart, kWall);
  // The store has lost it and lists it again.
  limit.RecordWithdrawn(kEndpoint);
  limit.RecordPublished(kEndpoint, {old, {}, false}, kStart, kWall);
  CPPUNIT_ASSERT(!limit.IsCold(kEndpoint, kPolicy, kStart));
  limit.RecordPublished(kEndpoint, {BornAt(seconds(-1)), {}, false}, kStart,
                        kWall);
  CPPUNIT_ASSERT(limit.IsCold(kEndpoint, kPolicy, kStart));
  CPPUNIT_ASSERT(!limit.IsCold(kEndpoint, kPolicy, kStart + seconds(3)));
  CPPUNIT_ASSERT(!limit.IsCold(kEndpoint, {}, kStart));
}

void RefusedConnectionForetellsAStart() {
  ColdEndpointLimit limit({1.5, 5, 3, false}, kStart);
  limit.RecordRefusedConnection(kEndpoint, kStart);
  CPPUNIT_ASSERT(
      !limit.MaySend(kEndpoint, kPolicy, 0, kStart + milliseconds(4999)));
  CPPUNIT_ASSERT(limit.MaySend(kEndpoint, kPolicy, 0, kStart + seconds(5)));
  // The process that was foretold is published: its own start counts.
  limit.RecordPublished(kEndpoint, {BornAt(seconds(0)), {}, false},
                        kStart + seconds(1), kWall);
  CPPUNIT_ASSERT(limit.IsCold(kEndpoint, kPolicy, kStart + milliseconds(3999)));
  CPPUNIT_ASSERT(!limit.IsCold(kEndpoint, kPolicy, kStart + seconds(4)));
}

void RequestOnItsWayIsHeldBack() {
  ColdEndpointLimit limit = SenderOf(3, kStart);
  limit.RecordPublished(kEndpoint, {1, {}, true}, kStart, kWall);
  limit.RecordSend(kEndpoint, kPolicy, kStart);
  const TimePoint later = kStart + milliseconds(1);
  limit.RecordSend(kEndpoint, kPolicy, later);
  limit.RecordStatement(kEndpoint, seconds(2), kStart + milliseconds(50));
  const TimePoint connected = kStart + milliseconds(100);
  CPPUNIT_ASSERT(!limit.IsGranted(kEndpoint, kPolicy, kStart, connected));
  // The last one takes the place of the next that is allowed.
  CPPUNIT_ASSERT(limit.IsGranted(kEndpoint, kPolicy, later, connected));
  CPPUNIT_ASSERT(!limit.MaySend(kEndpoint, kPolicy, 0, connected));
}

void GatewayOffTheListLeavesItAlone() {
  GatewayPlan plan;
  plan.settings = {{"cold_senders", "127.0.0.1:1"}};
  plan.ledgers = 2;
  GatewayFleet fleet(plan);
  auto configuration = StandardConfiguration(2);
  configuration["services"][1]["coldPerS"] = 20.0;
  configuration["services"][1]["coldStartS"] = 300.0;
  fleet.Store().Put("op/config", configuration);
  const auto status = [&] { return LocalFleet::StatusOf(fleet.Operator(0)); };
  CPPUNIT_ASSERT(
      WaitUntil([&] { return status().value("configuration", 0) == 2; }));
  CPPUNIT_ASSERT(status().at("cold").at("endpoints").empty());
  // A response says so; nothing is published.
  fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    call.Answer(200, "ok", "Buckthornpath-Cold-Ms: 200000\r\n");
  });
  const auto call = [&](int number) {
    CallerText text;
    text.id = "id-" + std::to_string(number);
    return fleet.Call(0, TextOf(text)).status;
  };
  for (int i = 0; i < 12; ++i)
    CPPUNIT_ASSERT_EQUAL(200U, call(i));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.Ledger(0).Received().size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{11}, fleet.Ledger(1).Received().size());
  CPPUNIT_ASSERT_EQUAL(
      false,
      status()["cold"]["endpoints"]["ledger-0"].at("may_send").get<bool>());
  CPPUNIT_ASSERT(fleet.Log(0).find("endpoint_cold") != std::string::npos);
}

const Story kStory("cold_endpoint_limit", [] {
  return Section(
      "given endpoints that bear little after a start",
      {Section("when one is cold",
               {Then("the sum of all gateways holds, whoever knows whom",
                     SumHoldsWhoeverKnowsWhom),
                Then("its return draws no crowd", ReturnedEndpointIsNotCrowded),
                Then("a request on its way is held back",
                     RequestOnItsWayIsHeldBack)}),
       Section("when it is warm", {Then("its load rises with what it answers",
                                        LoadRisesWithWhatIsAnswered)}),
       Section(
           "when its state has to be found out",
           {Then("those that ran all along are warm", FleetThatStartsIsWarm),
            Then("a new process is cold, an old one listed anew is not",
                 NewProcessIsColdAnOldOneIsNot),
            Then("a refused connection foretells a start",
                 RefusedConnectionForetellsAStart)}),
       Section("when a gateway is none of the senders",
               {Then("it leaves a cold endpoint alone, and says so",
                     GatewayOffTheListLeavesItAlone)})});
});

}  // namespace

}  // namespace buckthornpath
