/** @file gateway_hub_fleet.cc Hubs and followers as processes, under faults. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kGateways = 5;

/** The platform's limit for applying a configuration, of the smallest site. */
constexpr milliseconds kApplyLimit{2000};

/** Time for hubs to be elected or replaced. */
constexpr milliseconds kElectionTimeout{5000};

json GossipStatus(GatewayFleet& fleet, std::size_t gateway) {
  const json status = LocalFleet::StatusOf(fleet.Operator(gateway));
  return status.is_object() ? status.value("gossip", json::object())
                            : json::object();
}

std::vector<std::size_t> GatewaysWithRole(GatewayFleet& fleet,
                                          const std::string& role) {
  std::vector<std::size_t> gateways;
  for (std::size_t i = 0; i < kGateways; ++i) {
    if (GossipStatus(fleet, i).value("role", "") == role)
      gateways.push_back(i);
  }
  return gateways;
}

/** A fleet of one failure domain whose members follow its hubs. */
struct HubFleet {
  explicit HubFleet(const json& settings = json::object())
      : fleet(PlanOf(settings)) {
    CPPUNIT_ASSERT(
        WaitUntil([this] { return this->IsSettled(); }, kElectionTimeout));
    this->leader = GatewaysWithRole(this->fleet, "leader").front();
    this->second_hub = GatewaysWithRole(this->fleet, "hub").front();
    this->members = GatewaysWithRole(this->fleet, "member");
  }

  static GatewayPlan PlanOf(const json& settings) {
    GatewayPlan plan;
    plan.settings = settings;
    plan.gateways = kGateways;
    plan.store_proxied = true;
    return plan;
  }

  bool IsSettled() {
    const auto members = GatewaysWithRole(this->fleet, "member");
    if (GatewaysWithRole(this->fleet, "leader").size() != 1 ||
        GatewaysWithRole(this->fleet, "hub").size() != 1 ||
        members.size() != kGateways - 2)
      return false;
    for (const std::size_t member : members) {
      const json status = GossipStatus(this->fleet, member);
      if (status.value("reads_store", true) ||
          status.value("followed_hub", "").empty())
        return false;
    }
    return true;
  }

  std::uint64_t VersionAt(std::size_t gateway) {
    return LocalFleet::StatusOf(this->fleet.Operator(gateway))
        .value("configuration", std::uint64_t{0});
  }

  /** Publishes a version; true if these gateways apply it in time. */
  bool ReachesInTime(std::uint64_t version,
                     const std::vector<std::size_t>& gateways) {
    this->fleet.Store().Put("op/config", StandardConfiguration(version));
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

  void CutFromStore(std::size_t gateway) {
    this->fleet.StoreProxy(gateway).RefuseNew(true);
    this->fleet.StoreProxy(gateway).CutAll();
  }

  unsigned StatusOfCall(std::size_t gateway, const std::string& key) {
    CallerText text;
    text.key = key;
    return this->fleet.Call(gateway, TextOf(text)).status;
  }

  GatewayFleet fleet;
  std::size_t leader = 0;
  std::size_t second_hub = 0;
  std::vector<std::size_t> members;
};

void OnlyHubsReadTheStore() {
  HubFleet hubs;
  std::vector<std::size_t> calls;
  for (const std::size_t member : hubs.members)
    calls.push_back(hubs.fleet.StoreProxy(member).Accepted());
  const std::size_t hub_calls = hubs.fleet.StoreProxy(hubs.leader).Accepted();
  for (std::uint64_t version = 2; version <= 4; ++version) {
    CPPUNIT_ASSERT(hubs.ReachesInTime(version, {0, 1, 2, 3, 4}));
  }
  for (std::size_t i = 0; i < hubs.members.size(); ++i) {
    CPPUNIT_ASSERT_EQUAL(calls[i],
                         hubs.fleet.StoreProxy(hubs.members[i]).Accepted());
  }
  CPPUNIT_ASSERT(hubs.fleet.StoreProxy(hubs.leader).Accepted() > hub_calls);
}

void LeaderDiesWithAChange() {
  HubFleet hubs;
  hubs.fleet.Gateway(hubs.leader).Kill();
  std::vector<std::size_t> others = hubs.members;
  others.push_back(hubs.second_hub);
  CPPUNIT_ASSERT(hubs.ReachesInTime(2, others));
}

void BothHubsFreezeWithAChange() {
  HubFleet hubs;
  hubs.fleet.Gateway(hubs.leader).Signal(SIGSTOP);
  hubs.fleet.Gateway(hubs.second_hub).Signal(SIGSTOP);
  CPPUNIT_ASSERT(hubs.ReachesInTime(2, hubs.members));
  hubs.fleet.Gateway(hubs.leader).Signal(SIGCONT);
  hubs.fleet.Gateway(hubs.second_hub).Signal(SIGCONT);
  // Woken hubs believe old things; nobody goes back to them.
  CPPUNIT_ASSERT(hubs.ReachesInTime(3, {0, 1, 2, 3, 4}));
}

void HubsAreCutFromTheStore() {
  HubFleet hubs;
  hubs.CutFromStore(hubs.leader);
  hubs.CutFromStore(hubs.second_hub);
  CPPUNIT_ASSERT(hubs.ReachesInTime(2, hubs.members));
  // The hubs learn of the version from their members.
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return hubs.VersionAt(hubs.leader) == 2 &&
               hubs.VersionAt(hubs.second_hub) == 2;
      },
      2 * kApplyLimit));
}

void FollowersReturnToTheirHub() {
  HubFleet hubs;
  hubs.CutFromStore(hubs.leader);
  hubs.CutFromStore(hubs.second_hub);
  CPPUNIT_ASSERT(hubs.ReachesInTime(2, hubs.members));
  hubs.fleet.StoreProxy(hubs.leader).RefuseNew(false);
  hubs.fleet.StoreProxy(hubs.second_hub).RefuseNew(false);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return hubs.IsSettled(); }, 2 * kElectionTimeout));
}

/** Watches are as long as the gateways allow. */
const json kLongWatches = {{"configuration_wait", 10000}};

/** Loses the answers to watches that these gateways have just begun. */
void HangNewWatches(GatewayFleet& fleet,
                    const std::vector<std::size_t>& gateways) {
  const auto accepted = [&] {
    std::vector<std::size_t> calls;
    calls.reserve(gateways.size());
    for (const std::size_t gateway : gateways)
      calls.push_back(fleet.StoreProxy(gateway).Accepted());
    return calls;
  };
  const std::vector<std::size_t> before = accepted();
  // Ends the watches of all gateways at once.
  fleet.Store().Put("servers/mark", std::string("no entry"));
  CPPUNIT_ASSERT(WaitUntil([&] {
    const std::vector<std::size_t> calls = accepted();
    return std::equal(calls.begin(), calls.end(), before.begin(),
                      std::greater<>());
  }));
  for (const std::size_t gateway : gateways)
    fleet.StoreProxy(gateway).SilenceOpen();
}

void OneWatchHangsWithAChange() {
  HubFleet hubs(kLongWatches);
  std::uint64_t version = 1;
  for (const std::size_t hub : {hubs.leader, hubs.second_hub}) {
    HangNewWatches(hubs.fleet, {hub});
    CPPUNIT_ASSERT(hubs.ReachesInTime(++version, {0, 1, 2, 3, 4}));
  }
}

/** As when both are cut off at once: the members can read the store. */
void BothWatchesHangWithAChange() {
  HubFleet hubs(kLongWatches);
  HangNewWatches(hubs.fleet, {hubs.leader, hubs.second_hub});
  CPPUNIT_ASSERT(hubs.ReachesInTime(2, hubs.members));
}

/** Gateway 0 is alone in its failure domain. @param gateways Of the fleet. */
void WatchOfALoneGatewayHangsWithAChange(std::size_t gateways) {
  GatewayPlan plan;
  plan.gateways = gateways;
  plan.failure_domains = {"a", "b"};
  plan.store_proxied = true;
  plan.settings = kLongWatches;
  GatewayFleet fleet(plan);
  HangNewWatches(fleet, {0});
  fleet.Store().Put("op/config", StandardConfiguration(2));
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return LocalFleet::StatusOf(fleet.Operator(0))
                   .value("configuration", std::uint64_t{0}) == 2;
      },
      kApplyLimit));
}

json WithoutParish(std::uint64_t version) {
  json configuration = StandardConfiguration(version);
  configuration["tenants"].erase(0);
  return configuration;
}

/** A key is withdrawn while the hubs cannot read the store; then a member
 * restarts. It can reach the store, and must not use what the hubs hold. */
void RestartedMemberUsesNoWithdrawnKey() {
  HubFleet hubs;
  const std::size_t member = hubs.members.front();
  CPPUNIT_ASSERT_EQUAL(200U, hubs.StatusOfCall(member, kParishKey));
  for (std::size_t i = 0; i < kGateways; ++i) {
    if (i != member)
      hubs.CutFromStore(i);
  }
  hubs.fleet.Gateway(member).Kill();
  hubs.fleet.Store().Put("op/config", WithoutParish(2));
  hubs.fleet.Restart(member);
  CPPUNIT_ASSERT(WaitUntil([&] { return hubs.fleet.IsReady(member); }));
  CPPUNIT_ASSERT_EQUAL(401U, hubs.StatusOfCall(member, kParishKey));
  CPPUNIT_ASSERT_EQUAL(200U, hubs.StatusOfCall(member, "hospital-key"));
}

/** The same with an endpoint that has left. */
void RestartedMemberUsesNoEndpointThatLeft() {
  HubFleet hubs;
  const std::size_t member = hubs.members.front();
  for (std::size_t i = 0; i < kGateways; ++i) {
    if (i != member)
      hubs.CutFromStore(i);
  }
  hubs.fleet.Gateway(member).Kill();
  hubs.fleet.Store().Remove("servers/ledger-0");
  const std::size_t before = hubs.fleet.Ledger(0).Received().size();
  hubs.fleet.Restart(member);
  CPPUNIT_ASSERT(WaitUntil([&] { return hubs.fleet.IsReady(member); }));
  CPPUNIT_ASSERT_EQUAL(503U, hubs.StatusOfCall(member, kParishKey));
  CPPUNIT_ASSERT_EQUAL(before, hubs.fleet.Ledger(0).Received().size());
}

void ANewLeaderIsElected() {
  HubFleet hubs;
  hubs.fleet.Gateway(hubs.leader).Kill();
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return GossipStatus(hubs.fleet, hubs.second_hub).value("role", "") ==
                   "leader" &&
               GatewaysWithRole(hubs.fleet, "hub").size() == 1;
      },
      kElectionTimeout));
  hubs.fleet.Restart(hubs.leader);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return hubs.IsSettled(); }, 2 * kElectionTimeout));
}

/** Guards against two leaders: the old one is back when some gateways have
 * counted it as dead, and others, its seed among them, have not. */
void LeaderReturnsAtAnyMomentOfItsReplacement() {
  constexpr milliseconds kFirstReturn{1250};
  constexpr milliseconds kLastReturn{1700};
  constexpr milliseconds kStep{50};
  HubFleet hubs;
  for (milliseconds time = kFirstReturn; time <= kLastReturn; time += kStep) {
    hubs.fleet.Gateway(hubs.leader).Kill();
    std::this_thread::sleep_for(time);
    hubs.fleet.Restart(hubs.leader);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(time.count()) + " ms",
        WaitUntil([&] { return hubs.IsSettled(); }, 2 * kElectionTimeout));
  }
}

/** Guards against two failure domains that never hear of each other: the seed
 * that introduces a gateway is a hub of the other domain, and not its leader.
 */
void SeedIntroducesItsLeaderToOtherDomains() {
  constexpr std::size_t kOther = 2;
  GatewayPlan plan;
  plan.gateways = 3;
  plan.failure_domains = {"a", "a", "b"};
  plan.gateway_settings[1] = {{"link_capacity", "2000"}};
  GatewayFleet fleet(plan);
  CPPUNIT_ASSERT_EQUAL(std::string("leader"),
                       GossipStatus(fleet, 1).value("role", ""));
  fleet.Gateway(kOther).Kill();
  const auto have_peers = [&](std::size_t first, std::size_t last,
                              std::size_t peers) {
    for (std::size_t i = first; i <= last; ++i) {
      const json status = LocalFleet::StatusOf(fleet.Operator(i));
      if (!status.is_object() || status.value("peers", std::size_t{0}) != peers)
        return false;
    }
    return true;
  };
  CPPUNIT_ASSERT(WaitUntil([&] { return have_peers(0, 1, 1); }));
  fleet.Restart(kOther);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return have_peers(0, kOther, 2); }, kElectionTimeout));
  // They go on hearing of each other.
  std::this_thread::sleep_for(milliseconds(2500));
  CPPUNIT_ASSERT(have_peers(0, kOther, 2));
}

const Story kStory("gateway_hub_fleet", [] {
  return Section(
      "given gateways that elect hubs",
      {Section("when the seed of a failure domain is no leader of another",
               {Then("the gateways of both hear of each other",
                     SeedIntroducesItsLeaderToOtherDomains)}),
       Section("when nothing fails",
               {Then("only the hubs read the store", OnlyHubsReadTheStore)}),
       Section("when a configuration is published while hubs fail",
               {Then("the others apply it in time though the leader dies",
                     LeaderDiesWithAChange),
                Then("the others apply it in time though both hubs freeze",
                     BothHubsFreezeWithAChange),
                Then("all apply it though the hubs are cut off from the store",
                     HubsAreCutFromTheStore),
                Then("all apply it in time though the watch of a hub hangs",
                     OneWatchHangsWithAChange),
                Then("all apply it in time though the watches of both hang",
                     BothWatchesHangWithAChange),
                Then("so does a gateway that is alone in its failure domain",
                     [] { WatchOfALoneGatewayHangsWithAChange(2); }),
                Then("and one that is alone",
                     [] { WatchOfALoneGatewayHangsWithAChange(1); }),
                Then("followers return to a hub that reads the store again",
                     FollowersReturnToTheirHub)}),
       Section("when a gateway restarts",
               {Then("it uses no key that was withdrawn",
                     RestartedMemberUsesNoWithdrawnKey),
                Then("it uses no endpoint that has left",
                     RestartedMemberUsesNoEndpointThatLeft),
                Then("a leader is replaced and returns", ANewLeaderIsElected),
                Then("it may return at any moment of its replacement",
                     LeaderReturnsAtAnyMomentOfItsReplacement)})});
});

}  // namespace

}  // namespace buckthornpath
