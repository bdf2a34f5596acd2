/** @file placement.cc Placement of chats on endpoints. */

#include "router/placement.h"

#include <cppunit/TestAssert.h>

#include <map>

#include "buckthornpath/rendezvous.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

std::vector<PlacementCandidate> MakeSites(std::size_t count) {
  std::vector<PlacementCandidate> candidates;
  for (std::size_t i = 0; i < count; ++i)
    candidates.push_back({"site-" + std::to_string(i), 1.0, 0.0});
  return candidates;
}

PlacementOrder PlaceBy(const char* policy,
                       const PlacementQuery& query,
                       const std::vector<PlacementCandidate>& candidates) {
  PlacementRandom random(1);
  return FindPlacementPolicy(policy)->place(query, candidates, random);
}

void FullHomeSpillsToNext() {
  std::vector<PlacementCandidate> candidates = MakeSites(4);
  const PlacementQuery query{"chat", "", 1.5};
  const std::size_t home =
      PlaceBy("hint", query, candidates).candidates.front();
  candidates[home].estimated_load = 10.0;
  const PlacementOrder order = PlaceBy("hint", query, candidates);
  CPPUNIT_ASSERT(order.candidates.front() != home);
  CPPUNIT_ASSERT(order.reason == PlacementReason::kSpill);
  CPPUNIT_ASSERT_EQUAL(home, order.candidates.back());
}

void HintGoesFirst() {
  std::vector<PlacementCandidate> candidates = MakeSites(4);
  const std::size_t home =
      PlaceBy("hint", {"chat", "", 1.5}, candidates).candidates.front();
  const std::size_t other = (home + 1) % candidates.size();
  const PlacementQuery query{"chat", candidates[other].name, 1.5};
  CPPUNIT_ASSERT_EQUAL(other,
                       PlaceBy("hint", query, candidates).candidates.front());
  candidates[other].estimated_load = 10.0;
  CPPUNIT_ASSERT_EQUAL(home,
                       PlaceBy("hint", query, candidates).candidates.front());
}

void HintIsBoundToItsChat() {
  const TicketCodec codec("a-secret-for-tests");
  const LocationHintCodec hints(codec);
  const OrganisationId parish("parish");
  const std::string hint =
      hints.Encode(parish, ChatId("a"), EndpointId("draft-1"));
  CPPUNIT_ASSERT(hints.Decode(parish, ChatId("a"), hint).has_value());
  CPPUNIT_ASSERT(!hints.Decode(parish, ChatId("b"), hint).has_value());
  CPPUNIT_ASSERT(
      !hints.Decode(OrganisationId("hospital"), ChatId("a"), hint).has_value());
  CPPUNIT_ASSERT(!hints.Decode(parish, ChatId("a"), "draft-2" + hint.substr(7))
                      .has_value());
}

void AffinityCacheIsBounded() {
  ChatAffinityCache memory(2);
  memory.Record("a", EndpointId("1"));
  memory.Record("b", EndpointId("2"));
  memory.Record("a", EndpointId("3"));
  memory.Record("c", EndpointId("4"));
  CPPUNIT_ASSERT(memory.Find("a") == EndpointId("3"));
  CPPUNIT_ASSERT(!memory.Find("b").has_value());
  CPPUNIT_ASSERT(memory.Find("c") == EndpointId("4"));
}

void ExpiredReportsDoNotCount() {
  using std::chrono::seconds;
  EndpointLoads loads(seconds(2));
  const EndpointId endpoint("draft-1");
  const EndpointLoads::TimePoint start{};
  loads.RecordReport(endpoint, 5, start);
  loads.RecordStart(endpoint);
  CPPUNIT_ASSERT(loads.EstimatedLoad(endpoint, start + seconds(1)) == 6.0);
  CPPUNIT_ASSERT(
      !loads.EstimatedLoad(endpoint, start + seconds(3)).has_value());
}

/** Removing a site moves only the chats that were placed on it. */
void RemovalMovesOnlyItsOwnChats(const std::string& key) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 40);
  const auto removed = *rc::gen::inRange<std::size_t>(0, count);
  std::vector<RendezvousSite> candidates;
  for (std::size_t i = 0; i < count; ++i)
    candidates.push_back({"site-" + std::to_string(i), 1.0});
  std::vector<std::string> before;
  for (const std::size_t index : RendezvousOrder(key, candidates)) {
    if (index != removed)
      before.push_back(candidates[index].name);
  }
  candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(removed));
  std::vector<std::string> after;
  for (const std::size_t index : RendezvousOrder(key, candidates))
    after.push_back(candidates[index].name);
  RC_ASSERT(before == after);
}

/** Every policy lists every site exactly once. */
void EverySiteIsListedOnce(const std::string& key, const std::string& hint) {
  std::vector<PlacementCandidate> candidates =
      MakeSites(*rc::gen::inRange(0, 20));
  for (PlacementCandidate& candidate : candidates)
    candidate.estimated_load = *rc::gen::inRange(0, 9);
  for (const PlacementPolicy& policy : PlacementPolicies()) {
    PlacementRandom random(7);
    std::vector<std::size_t> order =
        policy.place({key, hint, 1.2}, candidates, random).candidates;
    std::sort(order.begin(), order.end());
    RC_ASSERT(order.size() == candidates.size());
    RC_ASSERT(std::adjacent_find(order.begin(), order.end()) == order.end());
  }
}

void ChatsAreSharedByWeight() {
  const std::vector<RendezvousSite> candidates = {{"one", 1.0}, {"three", 3.0}};
  constexpr int kChats = 8000;
  int on_heavier = 0;
  for (int i = 0; i < kChats; ++i) {
    on_heavier +=
        RendezvousOrder(std::to_string(i), candidates).front() == 1 ? 1 : 0;
  }
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, static_cast<double>(on_heavier) / kChats,
                               0.02);
}

FleetPlan ThreeEngines() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"draft-3", "drafting", true}};
  return plan;
}

std::string LocationOf(const HttpResponse& response) {
  const std::string hint = response.headers.Find("X-Location").value_or("");
  return hint.substr(0, hint.rfind('.'));
}

void HintWorksThroughAnyRouter() {
  LocalFleet fleet(ThreeEngines());
  const HttpRequest request =
      ChatRequest(kParishCredential, "chat", "returning", "hello");
  const std::string home = LocationOf(CallHttp(fleet.Router(0), request));
  fleet.PublishVms({{home, "leaving"}});
  std::string hint;
  const bool moved = WaitUntil([&] {
    const HttpResponse response = CallHttp(fleet.Router(0), request);
    hint = response.headers.Find("X-Location").value_or("");
    return response.status == 200 && LocationOf(response) != home;
  });
  CPPUNIT_ASSERT(moved);
  const std::string new_location = hint.substr(0, hint.rfind('.'));
  fleet.PublishVms();
  // The other router places chats at the home again once it has read the
  // current VM list.
  int probe = 0;
  CPPUNIT_ASSERT(WaitUntil([&] {
    const std::string chat = "probe-" + std::to_string(probe++);
    return LocationOf(CallHttp(
               fleet.Router(1),
               ChatRequest(kParishCredential, "chat", chat, "hello"))) == home;
  }));
  HttpRequest returning = request;
  returning.headers.Append("X-Location", hint);
  CPPUNIT_ASSERT_EQUAL(new_location,
                       LocationOf(CallHttp(fleet.Router(1), returning)));
}

const Story kStory("placement", [] {
  return Section(
      "given a chat and the endpoints of its service",
      {Section(
           "when the chat is placed",
           {Then("a home estimated as full spills to the next",
                 FullHomeSpillsToNext),
            Then("the hinted endpoint comes first unless full", HintGoesFirst),
            Then("a hint is valid for its own chat only", HintIsBoundToItsChat),
            Then("chats are shared by weight", ChatsAreSharedByWeight),
            Always("an endpoint that leaves moves only its own chats",
                   RemovalMovesOnlyItsOwnChats),
            Always("every policy lists every endpoint once",
                   EverySiteIsListedOnce)}),
       Section("when a router keeps chat locations and load reports",
               {Then("the number of chat locations is bounded",
                     AffinityCacheIsBounded),
                Then("expired load reports do not count",
                     ExpiredReportsDoNotCount)}),
       Section("when the chat's home was temporarily unavailable",
               {Then("its hint finds its cache through another router",
                     HintWorksThroughAnyRouter)})});
});

}  // namespace

}  // namespace buckthornpath
