/** @file store_pauses.cc Gateways whose reads of the store fail in a row. */

#include <cppunit/TestAssert.h>

#include <chrono>
#include <cstdint>
#include <thread>

#include "gateway/read_pauses.h"
#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** The platform's limit for applying a configuration, of the smallest site. */
constexpr milliseconds kApplyLimit{2000};

constexpr milliseconds kObserved{5000};

/** A gateway repeats a read once at once, then with pauses that are never
 * shorter than a half of those stated. @return The most times that it can begin
 * to read within a time. */
std::size_t MostRepetitions(milliseconds time) {
  std::size_t count = 2;
  milliseconds longest = ReadPauses::kFirst;
  for (milliseconds at = longest / 2; at <= time; at += longest / 2) {
    ++count;
    longest = std::min(2 * longest, ReadPauses::kMax);
  }
  return count;
}

/** One gateway, which reads the store, and the store's faults. */
struct WatchingGateway {
  explicit WatchingGateway(WatchMode watches) : fleet(GatewayPlan{}) {
    this->fleet.Store().SetWatches(watches);
  }

  /** @return Calls of the store within kObserved. */
  StoreCalls Observe() {
    const StoreCalls before = this->fleet.Store().Calls();
    std::this_thread::sleep_for(kObserved);
    StoreCalls calls = this->fleet.Store().Calls();
    calls.range -= before.range;
    calls.watch -= before.watch;
    return calls;
  }

  void CheckFollows(std::uint64_t version) {
    this->fleet.Store().Put("op/config", StandardConfiguration(version));
    CPPUNIT_ASSERT(WaitUntil(
        [&] {
          const json status = LocalFleet::StatusOf(this->fleet.Operator(0));
          return status.is_object() &&
                 status.value("configuration", std::uint64_t{0}) == version;
        },
        kApplyLimit));
  }

  GatewayFleet fleet;
};

/** Each repetition is one watch that is cut and one that is not. */
void CutWatchesAreRepeatedWithPauses() {
  WatchingGateway gateway(WatchMode::kCut);
  const StoreCalls calls = gateway.Observe();
  const std::size_t most = 2 * MostRepetitions(kObserved);
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(calls.watch) + " watches, at most " + std::to_string(most),
      calls.watch <= most);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, calls.range);
  gateway.CheckFollows(2);
  gateway.CheckFollows(3);
}

/** Each repetition is a list and a watch. */
void ListsAfterALostHistoryAreReadWithPauses() {
  WatchingGateway gateway(WatchMode::kGone);
  const StoreCalls calls = gateway.Observe();
  const std::size_t most = MostRepetitions(kObserved);
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(calls.range) + " lists, at most " + std::to_string(most),
      calls.range <= most);
  CPPUNIT_ASSERT(calls.watch <= most);
  gateway.CheckFollows(2);
  gateway.CheckFollows(3);
}

void WatchesThatDoNotWaitAreRepeatedWithPauses() {
  WatchingGateway gateway(WatchMode::kHasty);
  const StoreCalls calls = gateway.Observe();
  const std::size_t most = MostRepetitions(kObserved);
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(calls.watch) + " watches, at most " + std::to_string(most),
      calls.watch <= most);
  gateway.CheckFollows(2);
  gateway.CheckFollows(3);
}

/** Without a pause, as if nothing had happened. */
void SingleFaultIsFollowedAtOnce() {
  ReadPauses pauses(1);
  CPPUNIT_ASSERT(pauses.AfterFault(milliseconds(0)) == milliseconds(0));
  pauses.Reset();
  CPPUNIT_ASSERT(pauses.AfterFault(milliseconds(0)) == milliseconds(0));
}

bool PausesDouble(std::uint64_t seed) {
  ReadPauses pauses(seed);
  pauses.AfterFault(milliseconds(0));
  milliseconds longest = ReadPauses::kFirst;
  for (int i = 0; i < 10; ++i) {
    const milliseconds pause =
        i % 2 == 0 ? pauses.AfterFault(milliseconds(0)) : pauses.AfterOutage();
    if (pause < longest / 2 || pause > longest)
      return false;
    longest = std::min(2 * longest, ReadPauses::kMax);
  }
  return true;
}

/** Guards against a change that is seen later, as a watch has hung before. */
void TimeOfTheReadIsPartOfThePause() {
  ReadPauses pauses(1);
  for (int i = 0; i < 10; ++i)
    CPPUNIT_ASSERT(pauses.AfterFault(ReadPauses::kMax) == milliseconds(0));
}

void OutageIsFollowedByAPause() {
  ReadPauses pauses(1);
  CPPUNIT_ASSERT(pauses.AfterOutage() >= ReadPauses::kFirst / 2);
}

const Story kStory("store_pauses", [] {
  return Section(
      "given a gateway that reads the store",
      {Section("when each watch fails the same way",
               {Then("one that is cut is repeated with pauses",
                     CutWatchesAreRepeatedWithPauses),
                Then("lists after a lost history are read with pauses",
                     ListsAfterALostHistoryAreReadWithPauses),
                Then("one that does not wait is repeated with pauses",
                     WatchesThatDoNotWaitAreRepeatedWithPauses)}),
       Section(
           "when pauses are chosen",
           {Then("a single fault is followed at once",
                 SingleFaultIsFollowedAtOnce),
            Always("they double up to a limit", PausesDouble),
            Then("the time of the read is a part of them",
                 TimeOfTheReadIsPartOfThePause),
            Then("an outage is followed by one", OutageIsFollowedByAPause)})});
});

}  // namespace

}  // namespace buckthornpath
