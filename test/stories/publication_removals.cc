/** @file publication_removals.cc Removed endpoints, with faults of reads. */

#include <cppunit/TestAssert.h>

#include <chrono>
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

/** The platform's limit for requests to an endpoint that leaves, and for
 * applying a configuration, of the smallest site. */
constexpr milliseconds kDrainLimit{2000};

/** Time for hubs to be elected. */
constexpr milliseconds kElectionTimeout{5000};

/** Time after a fault for which its hub is not followed. */
constexpr milliseconds kHubBackoff{1100};

constexpr std::size_t kGateways = 4;

/** A fleet of one failure domain; the gateways reach the store by proxies. */
class ProxiedFleet {
 public:
  explicit ProxiedFleet(std::size_t gateways) : fleet(PlanOf(gateways)) {
    CPPUNIT_ASSERT(WaitUntil(
        [&] {
          this->hubs.clear();
          this->members.clear();
          std::size_t following = 0;
          for (std::size_t i = 0; i < gateways; ++i) {
            const json status = this->Gossip(i);
            const bool is_hub = status.value("role", "") != "member";
            (is_hub ? this->hubs : this->members).push_back(i);
            following += status.value("followed_hub", "").empty() ? 0 : 1;
          }
          return this->hubs.size() == std::min<std::size_t>(gateways, 2) &&
                 following == this->members.size();
        },
        kElectionTimeout));
  }

  json Gossip(std::size_t gateway) {
    const json status = LocalFleet::StatusOf(this->fleet.Operator(gateway));
    return status.is_object() ? status.value("gossip", json::object())
                              : json::object();
  }

  /** Lets a gateway's reads fail until it has logged that. */
  void Interrupt(std::size_t gateway) {
    const std::size_t log_size = this->fleet.Log(gateway).size();
    this->CutOff(gateway);
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return this->HasLogged(gateway, "\"store_lost\"", log_size); }));
    this->fleet.StoreProxy(gateway).RefuseNew(false);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return this->HasLogged(gateway, "\"store_regained\"", log_size);
    }));
  }

  void CutOff(std::size_t gateway) {
    this->fleet.StoreProxy(gateway).RefuseNew(true);
    this->fleet.StoreProxy(gateway).CutAll();
  }

  bool HasLogged(std::size_t gateway,
                 const std::string& text,
                 std::size_t log_size = 0) {
    return this->fleet.Log(gateway).find(text, log_size) != std::string::npos;
  }

  bool HasRemovedLedger(std::size_t gateway) {
    return this->HasLogged(gateway,
                           "\"endpoint_gone\",\"endpoint\":\"ledger-0");
  }

  GatewayFleet fleet;
  std::vector<std::size_t> hubs;
  std::vector<std::size_t> members;

 private:
  static GatewayPlan PlanOf(std::size_t gateways) {
    GatewayPlan plan;
    plan.gateways = gateways;
    plan.ledgers = 2;
    plan.store_proxied = true;
    return plan;
  }
};

/** Guards against an endpoint that stays in use for good: both hubs still keep
 * it when they die, but have stated a revision after its removal. */
void RemovalThatHubsKeepBackIsReadAgain() {
  ProxiedFleet all(kGateways);
  all.Interrupt(all.hubs[0]);
  std::this_thread::sleep_for(kHubBackoff);
  all.Interrupt(all.hubs[1]);
  all.fleet.Store().Remove("servers/ledger-0");
  all.fleet.Store().Put("servers/mark", std::string("no entry"));
  for (const std::size_t member : all.members) {
    CPPUNIT_ASSERT(
        WaitUntil([&] { return all.HasLogged(member, "servers/mark"); }));
  }
  for (const std::size_t hub : all.hubs)
    all.fleet.Gateway(hub).Kill();
  for (const std::size_t member : all.members) {
    CPPUNIT_ASSERT(
        WaitUntil([&] { return all.HasRemovedLedger(member); }, kDrainLimit));
  }
}

/** Guards against an endpoint that stays in use for as long as this gateway
 * alone is cut off from the store. */
void RemovalOfAnotherGatewayAppliesAtOnce() {
  ProxiedFleet all(2);
  all.CutOff(0);
  CPPUNIT_ASSERT(WaitUntil([&] { return all.HasLogged(0, "store_lost"); }));
  all.fleet.Store().Remove("servers/ledger-0");
  CPPUNIT_ASSERT(
      WaitUntil([&] { return all.HasRemovedLedger(0); }, kDrainLimit));
}

/** Guards against requests to an endpoint whose removal a sound store has
 * acknowledged: the platform may cut watches. */
void CutWatchKeepsNoRemovalBack() {
  ProxiedFleet all(1);
  all.fleet.StoreProxy(0).CutAll();
  all.fleet.Store().Remove("servers/ledger-0");
  CPPUNIT_ASSERT(
      WaitUntil([&] { return all.HasRemovedLedger(0); }, kDrainLimit));
  CPPUNIT_ASSERT(all.HasLogged(0, "\"watch_cut\""));
  CPPUNIT_ASSERT(!all.HasLogged(0, "\"store_lost\""));
}

const Story kStory("publication_removals", [] {
  return Section(
      "given an endpoint that is removed from the store",
      {Section("when the hubs keep it for a while and die",
               {Then("the other gateways hear of it",
                     RemovalThatHubsKeepBackIsReadAgain)}),
       Section("when a gateway is cut off from the store",
               {Then("the word of another gateway applies at once",
                     RemovalOfAnotherGatewayAppliesAtOnce)}),
       Section("when a watch is cut", {Then("the removal is in force in time",
                                            CutWatchKeepsNoRemovalBack)})});
});

}  // namespace

}  // namespace buckthornpath
