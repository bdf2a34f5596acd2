/** @file stream_origin_losses.cc Streams of two software versions whose gateway
 * is lost together with others. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "harness/story.h"
#include "harness/stream_fleet.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Gateways = std::vector<std::size_t>;

/** Gateways 0 and 1 share a failure domain, as do 2 and 3. */
const std::vector<std::string> kThreeDomains = {"a", "a", "b", "b", "c"};
constexpr std::size_t kFive = 5;

/** Pause between losses that follow each other. */
constexpr milliseconds kLossInterval{150};

void Kill(StreamFleet& fleet, const Gateways& gateways) {
  for (const std::size_t gateway : gateways)
    fleet.Fleet().Gateway(gateway).Signal(SIGKILL);
  for (const std::size_t gateway : gateways)
    fleet.Fleet().Gateway(gateway).Kill();
}

Gateways AllBut(std::size_t survivor) {
  Gateways others;
  for (std::size_t gateway = 0; gateway < kFive; ++gateway) {
    if (gateway != survivor)
      others.push_back(gateway);
  }
  return others;
}

/** @return The gateways that gateway 0 tells of its streams before others. */
Gateways WitnessesOf0(StreamFleet& fleet) {
  const json witnesses =
      fleet.Gossip(0).value("stream_witnesses", json::array());
  Gateways found;
  for (std::size_t gateway = 1; gateway < kFive; ++gateway) {
    const json address = FormatSocketAddress(fleet.Fleet().Peer(gateway));
    if (std::find(witnesses.begin(), witnesses.end(), address) !=
        witnesses.end())
      found.push_back(gateway);
  }
  return found;
}

/** Guards against streams that only the lost gateways knew of, which callers
 * were refused for good. */
void AllWitnessesAreLost() {
  StreamFleet fleet(kFive, kThreeDomains);
  fleet.Begin(0);
  Gateways lost = WitnessesOf0(fleet);
  CPPUNIT_ASSERT(lost.size() < kFive - 1);
  lost.push_back(0);
  Gateways survivors;
  for (std::size_t gateway = 0; gateway < kFive; ++gateway) {
    if (std::find(lost.begin(), lost.end(), gateway) == lost.end())
      survivors.push_back(gateway);
  }
  for (const std::size_t survivor : survivors)
    fleet.AwaitRecords(survivor);
  Kill(fleet, lost);
  fleet.AssertTheyGoOn(survivors.front());
}

void OneIsLeft(std::size_t survivor) {
  StreamFleet fleet(kFive, kThreeDomains);
  fleet.Begin(0);
  fleet.AwaitRecords(survivor);
  Kill(fleet, AllBut(survivor));
  fleet.AssertTheyGoOn(survivor);
}

void OneIsLeftAfterOthers() {
  StreamFleet fleet(kFive, kThreeDomains);
  fleet.Begin(0);
  fleet.AwaitRecords(4);
  for (const std::size_t gateway : AllBut(4)) {
    Kill(fleet, {gateway});
    std::this_thread::sleep_for(kLossInterval);
  }
  fleet.AssertTheyGoOn(4);
}

/** A gateway that has started again is told what it knew before. */
void OnlyARestartedOneIsLeft() {
  StreamFleet fleet(kFive, kThreeDomains);
  fleet.Begin(0);
  const std::size_t survivor = 4;
  fleet.AwaitRecords(survivor);
  Kill(fleet, {survivor});
  fleet.Fleet().Restart(survivor);
  fleet.AwaitRecords(survivor);
  Kill(fleet, AllBut(survivor));
  fleet.AssertTheyGoOn(survivor);
}

/** The streams of a gateway that stops are cut off at the end of its grace. */
void OthersAreLostDuringAPlannedStop() {
  StreamFleet fleet(kFive, kThreeDomains);
  fleet.Begin(0);
  fleet.AwaitRecords(4);
  fleet.Fleet().Gateway(0).Signal(SIGTERM);
  Kill(fleet, {1, 2, 3});
  fleet.CloseCallers();
  fleet.AssertTheyGoOn(4);
}

/** Those that are left know no gateway of the other failure domain but the hubs
 * that are lost. */
void AllHubsAreLost() {
  constexpr std::size_t kEight = 8;
  StreamFleet fleet(kEight, {"a", "b"});
  const Gateways domain_a = {0, 2, 4, 6};
  const Gateways domain_b = {1, 3, 5, 7};
  const auto members = [&](const Gateways& domain) {
    return fleet.WithRole("member", domain);
  };
  CPPUNIT_ASSERT(WaitUntil([&] {
    return members(domain_a).size() == 2 && members(domain_b).size() == 2;
  }));
  const std::size_t origin = members(domain_a).front();
  const std::size_t survivor = members(domain_b).front();
  Gateways lost = {origin};
  for (const Gateways& domain : {domain_a, domain_b}) {
    for (const char* role : {"leader", "hub"}) {
      for (const std::size_t gateway : fleet.WithRole(role, domain))
        lost.push_back(gateway);
    }
  }
  fleet.Begin(origin);
  fleet.AwaitRecords(survivor);
  Kill(fleet, lost);
  fleet.AssertTheyGoOn(survivor);
}

/** A fleet in which a gateway knows its failure domain and the hubs of others
 * only, and asks only hubs. */
class LargeFleet {
 public:
  LargeFleet() : fleet(kGateways, {"a", "b", "c"}) {
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway)
      this->domains.at(gateway % kDomains).push_back(gateway);
    CPPUNIT_ASSERT(WaitUntil([this] {
      return std::all_of(this->domains.begin(), this->domains.end(),
                         [this](const Gateways& domain) {
                           return this->Members(domain).size() ==
                                  domain.size() - kHubs;
                         });
    }));
    this->origin = this->Members(this->domains[0]).front();
    this->survivor = this->Members(this->domains[1]).front();
    this->fleet.Begin(this->origin);
    this->fleet.AwaitRecords(this->survivor);
  }

  Gateways Members(const Gateways& domain) const {
    return this->fleet.WithRole("member", domain);
  }

  Gateways AllHubs() const {
    Gateways hubs;
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      if (this->fleet.Gossip(gateway).value("role", "") != "member")
        hubs.push_back(gateway);
    }
    return hubs;
  }

  /** Loses gateways and the one that began the streams. */
  void Lose(Gateways lost) {
    lost.push_back(this->origin);
    Kill(this->fleet, lost);
  }

  Gateways AllButSurvivor() const {
    Gateways others;
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      if (gateway != this->survivor)
        others.push_back(gateway);
    }
    return others;
  }

  static constexpr std::size_t kGateways = 18;
  static constexpr std::size_t kDomains = 3;
  static constexpr std::size_t kHubs = 2;

  StreamFleet fleet;
  std::array<Gateways, kDomains> domains;
  std::size_t origin = 0;
  std::size_t survivor = 0;  ///< No hub, in another failure domain.
};

void LargeFleetLosesADomain() {
  LargeFleet large;
  large.Lose(large.domains[0]);
  large.fleet.AssertTheyGoOn(large.survivor);
}

void LargeFleetLosesAllHubs() {
  LargeFleet large;
  large.Lose(large.AllHubs());
  large.fleet.AssertTheyGoOn(large.survivor);
}

void LargeFleetLosesAllButOne() {
  LargeFleet large;
  large.Lose(large.AllButSurvivor());
  large.fleet.AssertTheyGoOn(large.survivor);
}

/** The hubs that have started again know nothing; members do. */
void LargeFleetLosesAllHubsForAMoment() {
  LargeFleet large;
  const Gateways hubs = large.AllHubs();
  const Gateways of_origin = large.Members(large.domains[0]);
  const auto other =
      std::find_if(of_origin.begin(), of_origin.end(),
                   [&](std::size_t one) { return one != large.origin; });
  large.fleet.AwaitRecords(*other);
  large.Lose(hubs);
  for (const std::size_t hub : hubs)
    large.fleet.Fleet().Restart(hub);
  const auto own_hub = std::find_if(
      hubs.begin(), hubs.end(),
      [](std::size_t hub) { return hub % LargeFleet::kDomains == 0; });
  CPPUNIT_ASSERT(WaitUntil([&] {
    return large.fleet.Fleet().IsReady(*own_hub) &&
           large.fleet.Gossip(*own_hub).value("role", "") != "member";
  }));
  CPPUNIT_ASSERT_EQUAL(
      0U, large.fleet.Gossip(*own_hub).value("stream_records", 1U));
  large.fleet.AssertTheyGoOn(*own_hub);
}

const Story kStory("stream_origin_losses", [] {
  return Section(
      "given streams that two software versions begin at a gateway of five",
      {Section("when it is lost at the same moment as others",
               {Then("they go on though all its witnesses are lost",
                     AllWitnessesAreLost),
                Then("they go on at the only one of its domain that is left",
                     [] { OneIsLeft(1); }),
                Then("they go on at the only one of another domain",
                     [] { OneIsLeft(4); }),
                Then("they go on though all hubs are lost", AllHubsAreLost)}),
       Section("when the losses follow each other",
               {Then("they go on at the last one that is left",
                     OneIsLeftAfterOthers),
                Then("they go on though that one has started again",
                     OnlyARestartedOneIsLeft),
                Then("they go on though the first one stops as planned",
                     OthersAreLostDuringAPlannedStop)}),
       Section(
           "when a fleet of eighteen in three domains loses some",
           {Then("they go on though the domain is lost",
                 LargeFleetLosesADomain),
            Then("they go on though all hubs are lost", LargeFleetLosesAllHubs),
            Then("they go on at the only one that is left",
                 LargeFleetLosesAllButOne),
            Then("they go on at a hub that has started again, as all have",
                 LargeFleetLosesAllHubsForAMoment)})});
});

}  // namespace

}  // namespace buckthornpath
