/** @file restored_store.cc Gateways whose store comes back from a copy. */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <cstdint>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** The platform's limit for applying a configuration, of the smallest site. */
constexpr milliseconds kApplyLimit{2000};

/** Time after which an entry that nobody renews is gone. */
constexpr milliseconds kGoneTimeout{4000};

/** Timeout for what a gateway hears from its peers only. */
constexpr milliseconds kPeerTimeout{4000};

/** Time after which a store that came back is stable. */
constexpr milliseconds kStableTime{1000};

/** Writes that the store loses. */
constexpr int kLostWrites = 40;

using Gateways = std::vector<std::size_t>;

GatewayPlan PlanOf(std::size_t gateways,
                   std::vector<std::string> failure_domains = {"a"}) {
  GatewayPlan plan;
  plan.gateways = gateways;
  plan.failure_domains = std::move(failure_domains);
  plan.ledgers = 2;
  plan.store_proxied = true;
  return plan;
}

/** Gateways that have read what the store is about to lose. */
struct RestoredStore {
  explicit RestoredStore(const GatewayPlan& plan) : fleet(plan) {
    for (std::size_t i = 0; i < plan.gateways; ++i)
      this->all.push_back(i);
    this->copy = this->fleet.Store().TakeCopy();
  }

  std::uint64_t VersionAt(std::size_t gateway) {
    const json status = LocalFleet::StatusOf(this->fleet.Operator(gateway));
    return status.is_object() ? status.value("configuration", std::uint64_t{0})
                              : 0;
  }

  bool IsInForce(std::uint64_t version, const Gateways& gateways) {
    return WaitUntil(
        [&] {
          for (const std::size_t gateway : gateways) {
            if (this->VersionAt(gateway) != version)
              return false;
          }
          return true;
        },
        kApplyLimit);
  }

  void Publish(std::uint64_t version) {
    json configuration = StandardConfiguration(version);
    json route = configuration["routes"][3];
    route["prefix"] = "/v" + std::to_string(version) + "/";
    configuration["routes"].push_back(route);
    this->fleet.Store().Put("op/config", configuration);
  }

  /** Publishes what is lost, and waits until all gateways know it. */
  void WriteLost(std::uint64_t version) {
    for (int i = 0; i < kLostWrites; ++i)
      this->fleet.Store().Put("other/" + std::to_string(i), std::string("x"));
    this->fleet.PublishEndpoint("ledger", 0, "ready");
    this->Publish(version);
    CPPUNIT_ASSERT(this->IsInForce(version, this->all));
  }

  void ComeBack() { this->fleet.Store().ComeBackFrom(this->copy); }

  /** Publishes a version with a new route, and checks that both are in force in
   * time. */
  void CheckFollows(std::uint64_t version, const Gateways& gateways) {
    this->Publish(version);
    CPPUNIT_ASSERT(this->IsInForce(version, gateways));
    for (const std::size_t gateway : gateways)
      CPPUNIT_ASSERT_EQUAL(200U, this->StatusOfCall(gateway, version));
  }

  unsigned StatusOfCall(std::size_t gateway, std::uint64_t version) {
    CallerText text;
    text.path = "/v" + std::to_string(version) + "/x";
    return this->fleet.Call(gateway, TextOf(text)).status;
  }

  std::size_t EndpointsAt(std::size_t gateway) {
    const json status = LocalFleet::StatusOf(this->fleet.Operator(gateway));
    return status.is_object() ? status.value("endpoints", std::size_t{0}) : 0;
  }

  bool HasLogged(std::size_t gateway,
                 const std::string& event,
                 milliseconds timeout = kApplyLimit) {
    return WaitUntil(
        [&] {
          return this->fleet.Log(gateway).find("\"" + event + "\"") !=
                 std::string::npos;
        },
        timeout);
  }

  void CutFromStore(std::size_t gateway) {
    this->fleet.StoreProxy(gateway).RefuseNew(true);
    this->fleet.StoreProxy(gateway).CutAll();
  }

  /** @return The gateways with a role in the exchange with their peers. */
  Gateways WithRole(const std::string& role) {
    Gateways found;
    for (const std::size_t i : this->all) {
      const json status = LocalFleet::StatusOf(this->fleet.Operator(i));
      if (status.is_object() && status["gossip"].value("role", "") == role)
        found.push_back(i);
    }
    return found;
  }

  /** Waits until there are a leader, a second hub and members. */
  void AwaitHubs() {
    CPPUNIT_ASSERT(WaitUntil([&] {
      return this->WithRole("leader").size() == 1 &&
             this->WithRole("hub").size() == 1;
    }));
  }

  GatewayFleet fleet;
  Gateways all;
  StoreCopy copy;
};

void ChangesAfterTheReturnAreInForce(const GatewayPlan& plan) {
  RestoredStore store(plan);
  store.WriteLost(2);
  store.ComeBack();
  store.CheckFollows(3, store.all);
  store.CheckFollows(4, store.all);
}

void EndpointThatLeavesIsSeen(bool removed) {
  RestoredStore store(PlanOf(3));
  store.WriteLost(2);
  store.ComeBack();
  std::this_thread::sleep_for(kStableTime);
  if (removed) {
    store.fleet.Store().Remove("servers/ledger-0");
  } else {
    store.fleet.PublishEndpoint("ledger", 0, "draining");
  }
  for (const std::size_t gateway : store.all) {
    CPPUNIT_ASSERT(store.HasLogged(
        gateway, removed ? "endpoint_gone" : "endpoint_leaving"));
  }
  const std::size_t before = store.fleet.Ledger(0).Received().size();
  for (const std::size_t gateway : store.all) {
    for (int i = 0; i < 10; ++i)
      CPPUNIT_ASSERT_EQUAL(200U, store.StatusOfCall(gateway, 2));
  }
  CPPUNIT_ASSERT_EQUAL(before, store.fleet.Ledger(0).Received().size());
}

constexpr std::int64_t kBornMs = 1'790'000'000'000;

void WriteEntry(RestoredStore& store,
                const std::string& state,
                std::int64_t born_ms,
                std::int64_t sequence) {
  json entry = store.fleet.EntryOf("ledger", 0, state);
  entry["born"] = born_ms;
  entry["sequence"] = sequence;
  store.fleet.Store().Put("servers/ledger-0", entry);
}

/** Sends requests by all gateways. @return Those that ledger 0 has got. */
std::size_t CountAtLedger(RestoredStore& store) {
  constexpr int kCallsPerGateway = 10;
  const std::size_t before = store.fleet.Ledger(0).Received().size();
  for (const std::size_t gateway : store.all) {
    for (int i = 0; i < kCallsPerGateway; ++i) {
      CallerText text;
      CPPUNIT_ASSERT_EQUAL(200U,
                           store.fleet.Call(gateway, TextOf(text)).status);
    }
  }
  return store.fleet.Ledger(0).Received().size() - before;
}

/** Guards against requests to an endpoint that leaves, as the copy lists it as
 * it was before.
 * @param removed True if its entry has been removed since. */
void EndpointThatHasLeftStaysOut(bool removed) {
  RestoredStore store(PlanOf(5));
  WriteEntry(store, "ready", kBornMs, 5);
  CPPUNIT_ASSERT(CountAtLedger(store) > 0);
  store.copy = store.fleet.Store().TakeCopy();
  WriteEntry(store, "draining", kBornMs, 6);
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT(store.HasLogged(gateway, "endpoint_leaving"));
  if (removed) {
    store.fleet.Store().Remove("servers/ledger-0");
    for (const std::size_t gateway : store.all)
      CPPUNIT_ASSERT(store.HasLogged(gateway, "endpoint_gone"));
  }
  store.ComeBack();
  store.CheckFollows(2, store.all);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAtLedger(store));
  // A new process with its id.
  WriteEntry(store, "ready", kBornMs + 1, 1);
  CPPUNIT_ASSERT(WaitUntil([&] { return CountAtLedger(store) > 0; }));
}

/** The peer of the new process is cut off from the store, and holds greater
 * revisions than the store. */
void NewProcessIsNotHeldBackByPeers() {
  RestoredStore store(PlanOf(2, {"a", "b"}));
  store.WriteLost(2);
  store.CutFromStore(0);
  store.fleet.Gateway(1).Kill();
  store.ComeBack();
  store.fleet.Restart(1);
  CPPUNIT_ASSERT(WaitUntil([&] { return store.fleet.IsReady(1); }));
  // It has heard of the peer's revision.
  std::this_thread::sleep_for(milliseconds(1500));
  store.fleet.PublishEndpoint("ledger", 1, "draining");
  store.CheckFollows(3, {1});
  CPPUNIT_ASSERT(store.HasLogged(1, "endpoint_leaving"));
  // The peer learns of it from the new process.
  CPPUNIT_ASSERT(
      WaitUntil([&] { return store.VersionAt(0) == 3; }, kPeerTimeout));
}

void HubFailsDuringTheReturn(bool pauses) {
  RestoredStore store(PlanOf(5));
  store.AwaitHubs();
  const std::size_t leader = store.WithRole("leader").front();
  Gateways others = store.all;
  std::erase(others, leader);
  store.WriteLost(2);
  if (pauses) {
    store.fleet.Gateway(leader).Signal(SIGSTOP);
  } else {
    store.fleet.Gateway(leader).Kill();
  }
  store.ComeBack();
  store.CheckFollows(3, others);
  if (pauses) {
    store.fleet.Gateway(leader).Signal(SIGCONT);
  } else {
    store.fleet.Restart(leader);
    CPPUNIT_ASSERT(WaitUntil([&] { return store.fleet.IsReady(leader); }));
  }
  store.CheckFollows(4, store.all);
}

/** Guards against a follower that goes on with what the process before had told
 * it, and against a hub that confirms before it has read anything. */
void HubRestartsQuicklyDuringTheReturn() {
  constexpr milliseconds kDownTime{300};
  RestoredStore store(PlanOf(5));
  store.AwaitHubs();
  std::uint64_t version = 2;
  for (const std::string role : {"leader", "hub"}) {
    const std::size_t hub = store.WithRole(role).front();
    Gateways others = store.all;
    std::erase(others, hub);
    store.WriteLost(version);
    store.fleet.Gateway(hub).Kill();
    store.ComeBack();
    std::this_thread::sleep_for(kDownTime);
    store.fleet.Restart(hub);
    store.fleet.PublishEndpoint("ledger", 0, "draining");
    store.CheckFollows(version + 1, others);
    CPPUNIT_ASSERT(WaitUntil([&] { return store.fleet.IsReady(hub); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAtLedger(store));
    store.CheckFollows(version + 2, store.all);
    store.fleet.PublishEndpoint("ledger", 0, "ready");
    store.copy = store.fleet.Store().TakeCopy();
    store.AwaitHubs();
    version += 3;
  }
}

/** Guards against what a hub believes that was paused, and whose readers are
 * connected as before for the moment when it goes on.
 * @param pause Shorter than the readers wait for a record, or longer. */
void HubsArePausedDuringTheReturn(milliseconds pause) {
  RestoredStore store(PlanOf(5));
  store.AwaitHubs();
  const Gateways hubs = {store.WithRole("leader").front(),
                         store.WithRole("hub").front()};
  store.WriteLost(2);
  for (const std::size_t hub : hubs)
    store.fleet.Gateway(hub).Signal(SIGSTOP);
  store.ComeBack();
  store.fleet.PublishEndpoint("ledger", 0, "draining");
  std::this_thread::sleep_for(pause);
  for (const std::size_t hub : hubs)
    store.fleet.Gateway(hub).Signal(SIGCONT);
  store.CheckFollows(3, store.all);
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT(store.HasLogged(gateway, "endpoint_leaving"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAtLedger(store));
  store.CheckFollows(4, store.all);
}

/** The peer holds greater revisions and endpoints that the store lacks; it is
 * paused during the return, and cut off from the store afterwards. */
void PeerOfTheEarlierEraGoesOn() {
  RestoredStore store(PlanOf(3, {"a", "b", "c"}));
  constexpr std::size_t kPeer = 0;
  const Gateways others = {1, 2};
  store.WriteLost(2);
  store.fleet.Gateway(kPeer).Signal(SIGSTOP);
  store.CutFromStore(kPeer);
  store.ComeBack();
  store.fleet.PublishEndpoint("ledger", 0, "draining");
  store.CheckFollows(3, others);
  store.fleet.Gateway(kPeer).Signal(SIGCONT);
  std::this_thread::sleep_for(kStableTime);
  // It takes the items of another one.
  CPPUNIT_ASSERT(
      WaitUntil([&] { return store.VersionAt(kPeer) == 3; }, kPeerTimeout));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAtLedger(store));
  store.CheckFollows(4, others);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return store.VersionAt(kPeer) == 4; }, kPeerTimeout));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAtLedger(store));
}

/** Each answer of the store to one gateway takes long; the answer of the era
 * before arrives when others have told it of the new one. */
void AnswerOfTheEarlierEraArrivesLate(std::size_t gateways) {
  constexpr milliseconds kDelay{300};
  RestoredStore store(PlanOf(gateways));
  store.WriteLost(2);
  FrameFaults slow;
  slow.delay = kDelay;
  store.fleet.StoreProxy(0).SetFrameFaults(slow);
  // It reads the list now.
  store.fleet.Store().Compact();
  std::this_thread::sleep_for(kDelay);
  store.ComeBack();
  store.fleet.PublishEndpoint("ledger", 0, "draining");
  std::this_thread::sleep_for(2 * kDelay);
  store.fleet.StoreProxy(0).SetFrameFaults({});
  store.CheckFollows(3, store.all);
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT(store.HasLogged(gateway, "endpoint_leaving"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAtLedger(store));
}

void ReturnsTwice() {
  RestoredStore store(PlanOf(3));
  store.WriteLost(2);
  store.ComeBack();
  store.WriteLost(3);
  store.ComeBack();
  store.ComeBack();
  store.CheckFollows(4, store.all);
}

/** Pages of two eras are no list: the second page would be of items that the
 * first ones know nothing of. */
void ReturnsWhileAListIsRead() {
  RestoredStore store(PlanOf(1));
  store.fleet.Store().SetPageSize(2);
  store.WriteLost(2);
  store.fleet.Store().ComeBackWithinList(store.copy);
  const std::uint64_t era = store.fleet.Store().Era();
  store.fleet.Store().Compact();
  CPPUNIT_ASSERT(WaitUntil([&] { return store.fleet.Store().Era() > era; }));
  store.CheckFollows(3, store.all);
  CPPUNIT_ASSERT(WaitUntil([&] { return store.EndpointsAt(0) == 3; }));
}

/** The watch that is open during the return is answered as if it was of the new
 * history, and leaves out what has a smaller revision. */
void RevisionsAreGivenOutAgainWhileAWatchIsOpen() {
  GatewayPlan plan = PlanOf(3);
  plan.settings = {{"configuration_wait", 10000}};
  RestoredStore store(plan);
  store.WriteLost(2);
  store.fleet.Store().ComeBackFrom(store.copy, OpenWatches::kGoOn);
  store.fleet.PublishEndpoint("ledger", 0, "draining");
  store.Publish(3);
  for (int i = 0; i < 2 * kLostWrites; ++i)
    store.fleet.Store().Put("other/" + std::to_string(i), std::string("y"));
  CPPUNIT_ASSERT(store.IsInForce(3, store.all));
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT(store.HasLogged(gateway, "endpoint_leaving"));
}

/** @param written_again True: as by an endpoint that lives. */
void EntryThatTheCopyLacksIsKeptForAWhile(bool written_again) {
  RestoredStore store(PlanOf(3));
  const auto have_endpoints = [&](std::size_t count) {
    for (const std::size_t gateway : store.all) {
      if (store.EndpointsAt(gateway) != count)
        return false;
    }
    return true;
  };
  store.fleet.Store().Remove("servers/ledger-0");
  CPPUNIT_ASSERT(WaitUntil([&] { return have_endpoints(2); }));
  store.copy = store.fleet.Store().TakeCopy();
  store.WriteLost(2);
  CPPUNIT_ASSERT(WaitUntil([&] { return have_endpoints(3); }));
  store.ComeBack();
  for (int i = 0; i < 10; ++i) {
    CPPUNIT_ASSERT(have_endpoints(3));
    std::this_thread::sleep_for(milliseconds(100));
  }
  if (written_again)
    store.fleet.PublishEndpoint("ledger", 0, "ready");
  if (!written_again) {
    CPPUNIT_ASSERT(WaitUntil([&] { return have_endpoints(2); }, kGoneTimeout));
    return;
  }
  std::this_thread::sleep_for(kGoneTimeout);
  CPPUNIT_ASSERT(have_endpoints(3));
}

/** It has read of the entry and of the new era; then nothing is published. */
void LostEntryIsGoneAtAGatewayThatIsCutOff() {
  constexpr std::size_t kCutOff = 0;
  RestoredStore store(PlanOf(3, {"a", "b", "c"}));
  store.fleet.Store().Remove("servers/ledger-1");
  CPPUNIT_ASSERT(WaitUntil([&] { return store.EndpointsAt(kCutOff) == 2; }));
  store.copy = store.fleet.Store().TakeCopy();
  store.fleet.PublishEndpoint("ledger", 1, "ready");
  store.WriteLost(2);
  CPPUNIT_ASSERT(WaitUntil([&] { return store.EndpointsAt(kCutOff) == 3; }));
  store.CutFromStore(kCutOff);
  store.ComeBack();
  CPPUNIT_ASSERT(store.HasLogged(kCutOff, "published_by_peer"));
  for (const std::size_t gateway : store.all) {
    CPPUNIT_ASSERT(WaitUntil([&] { return store.EndpointsAt(gateway) == 2; },
                             kGoneTimeout));
  }
}

/** What an operator does then: OPERATIONS.md. */
void EraThatIsTooHighEndsWithAllProcesses() {
  constexpr std::uint64_t kTooHigh = 1000;
  RestoredStore store(PlanOf(2));
  const auto is_at = [&](std::size_t gateway, std::uint64_t era) {
    const json status = LocalFleet::StatusOf(store.fleet.Operator(gateway));
    return status.is_object() &&
           status.value("store_era", std::uint64_t{0}) == era;
  };
  const std::uint64_t era = store.fleet.Store().Era();
  store.fleet.Store().SetEra(kTooHigh);
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT(WaitUntil([&] { return is_at(gateway, kTooHigh); }));
  store.fleet.Store().SetEra(era);
  store.Publish(2);
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT(store.HasLogged(gateway, "store_lost"));
  CPPUNIT_ASSERT(!store.IsInForce(2, {0}));
  // A single one hears of the era from the other.
  store.fleet.Gateway(1).Kill();
  store.fleet.Restart(1);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return is_at(1, kTooHigh); }, 2 * kPeerTimeout));
  for (const std::size_t gateway : store.all)
    store.fleet.Gateway(gateway).Kill();
  for (const std::size_t gateway : store.all)
    store.fleet.Restart(gateway);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return is_at(0, era) && is_at(1, era); }, kPeerTimeout));
  store.CheckFollows(3, store.all);
}

/** Guards against requests to an endpoint that left without saying so, as the
 * copy lists it. Known red. */
void EndpointThatWasRemovedStaysOut() {
  RestoredStore store(PlanOf(5));
  WriteEntry(store, "ready", kBornMs, 5);
  CPPUNIT_ASSERT(CountAtLedger(store) > 0);
  store.copy = store.fleet.Store().TakeCopy();
  WriteEntry(store, "ready", kBornMs, 6);
  store.fleet.Store().Remove("servers/ledger-0");
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT(store.HasLogged(gateway, "endpoint_gone"));
  store.ComeBack();
  store.CheckFollows(2, store.all);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAtLedger(store));
}

/** Guards against a process that starts with the version of the copy beside
 * peers that use a later one. Known red. */
void NewProcessKeepsToTheVersionOfItsPeers() {
  RestoredStore store(PlanOf(3));
  store.WriteLost(2);
  store.ComeBack();
  std::this_thread::sleep_for(kStableTime);
  for (const std::size_t gateway : store.all)
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.VersionAt(gateway));
  store.fleet.Gateway(2).Kill();
  store.fleet.Restart(2);
  CPPUNIT_ASSERT(WaitUntil([&] { return store.fleet.IsReady(2); }));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.VersionAt(2));
}

const Story kStory("restored_store", [] {
  return Section(
      "given a store that comes back from a copy some seconds old",
      {Section(
           "when changes are published afterwards",
           {Then("a single gateway applies them in time",
                 [] { ChangesAfterTheReturnAreInForce(PlanOf(1)); }),
            Then("hubs and members apply them in time",
                 [] { ChangesAfterTheReturnAreInForce(PlanOf(5)); }),
            Then("gateways of three failure domains apply them in time",
                 [] {
                   ChangesAfterTheReturnAreInForce(PlanOf(3, {"a", "b", "c"}));
                 }),
            Then("an endpoint that is draining is left alone",
                 [] { EndpointThatLeavesIsSeen(false); }),
            Then("an endpoint that is removed is left alone",
                 [] { EndpointThatLeavesIsSeen(true); })}),
       Section("when it lists an endpoint that has said that it leaves",
               {Then("the endpoint is left alone",
                     [] { EndpointThatHasLeftStaysOut(false); }),
                Then("one that was removed since is left alone",
                     [] { EndpointThatHasLeftStaysOut(true); })}),
       Section(
           "when nobody has written again what it lacks",
           {Then("an endpoint that was removed without a word is left alone",
                 EndpointThatWasRemovedStaysOut),
            Then("a gateway that starts keeps to the version of its peers",
                 NewProcessKeepsToTheVersionOfItsPeers)}),
       Section("when other faults come with it",
               {Then("peers with old revisions hold no new process back",
                     NewProcessIsNotHeldBackByPeers),
                Then("changes are applied though a hub is killed",
                     [] { HubFailsDuringTheReturn(false); }),
                Then("changes are applied though a hub is paused",
                     [] { HubFailsDuringTheReturn(true); }),
                Then("changes are applied though a hub restarts at once",
                     HubRestartsQuicklyDuringTheReturn),
                Then("changes are applied though both hubs are paused",
                     [] { HubsArePausedDuringTheReturn(milliseconds(3000)); }),
                Then("also if their followers do not notice it",
                     [] { HubsArePausedDuringTheReturn(milliseconds(500)); }),
                Then("a peer of the earlier era changes nothing",
                     PeerOfTheEarlierEraGoesOn),
                Then("a late answer of the earlier era changes nothing",
                     [] { AnswerOfTheEarlierEraArrivesLate(1); }),
                Then("also if peers have told of the new one",
                     [] { AnswerOfTheEarlierEraArrivesLate(3); }),
                Then("changes are applied though it comes back twice",
                     ReturnsTwice),
                Then("a list is not joined from two histories",
                     ReturnsWhileAListIsRead),
                Then("an open watch hides no change",
                     RevisionsAreGivenOutAgainWhileAWatchIsOpen)}),
       Section("when it has stated an era that is too high",
               {Then("its answers count again once all have ended",
                     EraThatIsTooHighEndsWithAllProcesses)}),
       Section("when it lacks an entry that was lost",
               {Then("one that is written again stays in use",
                     [] { EntryThatTheCopyLacksIsKeptForAWhile(true); }),
                Then("one that is not is gone after a while",
                     [] { EntryThatTheCopyLacksIsKeptForAWhile(false); }),
                Then("also at a gateway that only its peers tell of it",
                     LostEntryIsGoneAtAGatewayThatIsCutOff)})});
});

}  // namespace

}  // namespace buckthornpath
