/** @file gateway_out_of_step.cc A gateway that is cut off, or stands still,
 * while endpoints of another software version join. */

#include <cppunit/TestAssert.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/story.h"
#include "harness/versioned_fleet.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Limit of the route; the sole version is proven after two and 5 s. */
constexpr milliseconds kLimit{1500};
constexpr milliseconds kProofLimit{20000};

/** The engine whose version joins later. */
constexpr std::size_t kNewEngine = 2;

/** Longer than a watch of the store waits. */
constexpr milliseconds kWatchTime{600};

/** Longer than entries may be without confirmation: VersionHistory. */
constexpr milliseconds kLongGap{3000};

/** Time for which a request waits before what is held back arrives. */
constexpr milliseconds kLateness{100};

/** @return A request that takes up a stream which no gateway knows. */
StreamCall OfUnseen(const std::string& id) {
  return TakeUp(id, "unseen-" + id);
}

/** A gateway for which the only version of the service proves what began a
 * stream, and a stream that it knows nothing of. */
class LoneVersion {
 public:
  explicit LoneVersion(std::size_t gateways = 1)
      : engines({"v1", "v1", "v2"}, PlanOf(gateways)) {
    this->engines.Remove(kNewEngine);
    this->engines.Configure(kLimit);
    // The time of the proof depends on the limits that the process has known.
    for (std::size_t i = 0; i < gateways; ++i) {
      this->Parts().Gateway(i).Kill();
      this->Parts().Restart(i);
    }
    for (std::size_t i = 0; i < gateways; ++i)
      CPPUNIT_ASSERT(WaitUntil([&] { return this->Parts().IsReady(i); }));
    int tries = 0;
    CPPUNIT_ASSERT(WaitUntil(
        [&] {
          const std::string id = "early-" + std::to_string(++tries);
          return this->Call({.id = id,
                             .path = "/talk/x",
                             .last_event = "2",
                             .resumes = "unseen"})
                     .raw.status == 200;
        },
        kProofLimit));
  }

  VersionedAnswer Call(const StreamCall& call) {
    return this->engines.Call(call);
  }

  VersionedAnswer TakeUpUnseen(const std::string& id) {
    return this->Call(OfUnseen(id));
  }

  /** Another version joins; other gateways use it at once, and one of its
   * streams breaks. */
  void Join() { this->engines.Publish(kNewEngine, "v2"); }

  /** Fails if a stream of the new version went on at the old one. */
  void AssertRefused(const VersionedAnswer& answer, const std::string& id) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.raw.body, 503U, answer.raw.status);
    CPPUNIT_ASSERT(answer.raw.body.find("version_unknown") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->engines.CountOf(id));
  }

  GatewayFleet& Parts() { return this->engines.Parts(); }

 private:
  static GatewayPlan PlanOf(std::size_t gateways) {
    GatewayPlan plan;
    plan.gateways = gateways;
    plan.store_proxied = true;
    return plan;
  }

  VersionedFleet engines;
};

/** Guards against an answer of the store that was made before the new version
 * joined, and counted as current from when it arrived. */
void LateAnswerOfTheStoreProvesNothing() {
  LoneVersion fleet;
  FaultProxy& store = fleet.Parts().StoreProxy(0);
  store.Hold();
  std::this_thread::sleep_for(kWatchTime);
  fleet.Join();
  VersionedAnswer answer;
  std::jthread caller([&] { answer = fleet.TakeUpUnseen("late"); });
  std::this_thread::sleep_for(kLateness);
  store.ReleaseOpen();
  caller.join();
  fleet.AssertRefused(answer, "late");
}

void SilentStoreProvesNothing() {
  LoneVersion fleet;
  fleet.Parts().StoreProxy(0).Hold();
  fleet.Join();
  const VersionedAnswer answer = fleet.TakeUpUnseen("silent");
  CPPUNIT_ASSERT(answer.raw.status >= 500);
}

/** What came before the pause is read after it.
 * @param time Shorter or longer than the gap that a gateway notices. */
void GatewayThatStoodStillProvesNothing(milliseconds time) {
  LoneVersion fleet;
  const ChildProcess& gateway = fleet.Parts().Gateway(0);
  gateway.Signal(SIGSTOP);
  std::this_thread::sleep_for(time);
  fleet.Join();
  VersionedAnswer answer;
  std::jthread caller([&] { answer = fleet.TakeUpUnseen("still"); });
  std::this_thread::sleep_for(kLateness);
  gateway.Signal(SIGCONT);
  caller.join();
  fleet.AssertRefused(answer, "still");
}

/** Of four gateways of a failure domain, two follow hubs. */
void WordOfHubsThatStandStillProvesNothing() {
  constexpr std::size_t kGateways = 4;
  LoneVersion fleet(kGateways);
  std::vector<std::size_t> followers;
  std::vector<std::size_t> hubs;
  for (std::size_t i = 0; i < kGateways; ++i) {
    const std::string role = LocalFleet::StatusOf(fleet.Parts().Operator(i))
                                 .value("gossip", nlohmann::json::object())
                                 .value("role", "");
    (role == "member" ? followers : hubs).push_back(i);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, followers.size());
  CPPUNIT_ASSERT(WaitUntil([&] {
    return fleet.Parts()
               .Call(followers.front(), OfUnseen("before").Text())
               .status == 200;
  }));
  for (const std::size_t hub : hubs)
    fleet.Parts().Gateway(hub).Signal(SIGSTOP);
  fleet.Join();
  const unsigned status =
      fleet.Parts().Call(followers.front(), OfUnseen("after").Text()).status;
  for (const std::size_t hub : hubs)
    fleet.Parts().Gateway(hub).Signal(SIGCONT);
  CPPUNIT_ASSERT_EQUAL(503U, status);
}

/** A stream that its version proves waits for one answer of the store, which
 * does not depend on the watch that is in progress. */
void ProofIsNotAwaitedForLong() {
  constexpr int kTries = 8;
  LoneVersion fleet;
  for (int i = 0; i < kTries; ++i) {
    const VersionedAnswer answer =
        fleet.TakeUpUnseen("prompt-" + std::to_string(i));
    AssertWhole(answer, 3);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.took.count()),
                           answer.took < kWatchTime / 2);
  }
}

/** Of four gateways of a failure domain, two follow a hub. */
void FollowersAskTheStore() {
  constexpr std::size_t kGateways = 4;
  LoneVersion fleet(kGateways);
  const auto status_of = [&](std::size_t gateway, const StreamCall& call) {
    return fleet.Parts().Call(gateway, call.Text()).status;
  };
  for (std::size_t i = 0; i < kGateways; ++i) {
    const std::string id = "before-" + std::to_string(i);
    CPPUNIT_ASSERT(
        WaitUntil([&] { return status_of(i, OfUnseen(id)) == 200; }));
  }
  fleet.Join();
  for (std::size_t i = 0; i < kGateways; ++i) {
    const std::string id = "after-" + std::to_string(i);
    CPPUNIT_ASSERT_EQUAL(503U, status_of(i, OfUnseen(id)));
  }
}

const Story kStory("gateway_out_of_step", [] {
  return Section(
      "given a gateway that knows one version of a service",
      {Section("when another one joins while it is cut off",
               {Then("an answer of the store that arrives late proves nothing",
                     LateAnswerOfTheStoreProvesNothing),
                Then("nor does one that does not arrive",
                     SilentStoreProvesNothing)}),
       Section("when another one joins while it stands still",
               {Then("what it was told before proves nothing",
                     [] { GatewayThatStoodStillProvesNothing(kWatchTime); }),
                Then("nor does it after a gap that it notices",
                     [] { GatewayThatStoodStillProvesNothing(kLongGap); })}),
       Section("when another one joins while its hubs stand still",
               {Then("what they have told proves nothing",
                     WordOfHubsThatStandStillProvesNothing)}),
       Section("when it is in step",
               {Then("a stream that its version proves goes on at once",
                     ProofIsNotAwaitedForLong),
                Then("gateways that follow a hub know of one that has just "
                     "joined",
                     FollowersAskTheStore)})});
});

}  // namespace

}  // namespace buckthornpath
