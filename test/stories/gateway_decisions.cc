/** @file gateway_decisions.cc Decisions of a gateway, without I/O. */

#include <cppunit/TestAssert.h>

#include "buckthornpath/peer_loads.h"
#include "buckthornpath/routing_table.h"
#include "gateway/event_relay.h"
#include "gateway/publication_state.h"
#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr milliseconds kRemovalGrace{2000};
const TimePoint kStart{std::chrono::hours(1)};

Route RouteAt(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.shares = {{ServiceName("s"), 1.0}};
  return route;
}

void LongestPrefixWins() {
  RoutingTable::Parts parts;
  parts.routes = {RouteAt("a", "/"), RouteAt("a", "/x/"), RouteAt("a", "/x/y/"),
                  RouteAt("b", "/x/")};
  const RoutingTable table(std::move(parts));
  const auto match = [&](const char* host, const char* path) {
    const Route* route = table.Match(host, path);
    return route == nullptr ? std::string() : route->name;
  };
  CPPUNIT_ASSERT_EQUAL(std::string("a/x/y/"), match("a", "/x/y/z/%2f"));
  CPPUNIT_ASSERT_EQUAL(std::string("a/x/y/"), match("a", "/x/y/"));
  CPPUNIT_ASSERT_EQUAL(std::string("a/x/"), match("a", "/x/y"));
  CPPUNIT_ASSERT_EQUAL(std::string("a/"), match("a", "/xy/"));
  CPPUNIT_ASSERT_EQUAL(std::string(), match("b", "/y/"));
  CPPUNIT_ASSERT_EQUAL(std::string(), match("c", "/x/"));
  CPPUNIT_ASSERT_EQUAL(std::string(), match("a", ""));
}

void TrafficFollowsWeights() {
  Route route = RouteAt("a", "/");
  route.shares = {{ServiceName("most"), 90}, {ServiceName("few"), 10}};
  std::size_t few = 0;
  constexpr std::uint64_t kSteps = 1000;
  for (std::uint64_t i = 0; i < kSteps; ++i) {
    const std::uint64_t hash = UINT64_MAX / kSteps * i;
    few += route.ServiceFor(hash) == ServiceName("few") ? 1 : 0;
  }
  CPPUNIT_ASSERT(few >= 95 && few <= 105);
}

void SumsUseLatestReports() {
  PeerLoads loads;
  std::map<std::string, std::map<std::string, std::int64_t>> model;
  const auto steps =
      *rc::gen::container<std::vector<std::tuple<int, int, std::int64_t>>>(
          rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 5),
                         rc::gen::inRange<std::int64_t>(0, 9)));
  for (const auto& [peer, endpoint, load] : steps) {
    const std::string name = std::to_string(peer);
    EndpointUsageMap uses;
    model[name].clear();
    if (load > 0) {
      uses[EndpointId(std::to_string(endpoint))] = {load, load * 10};
      model[name][std::to_string(endpoint)] = load;
    }
    loads.SetLoads(name, uses);
  }
  for (int endpoint = 0; endpoint < 5; ++endpoint) {
    std::int64_t sum = 0;
    for (const auto& [peer, uses] : model) {
      const auto found = uses.find(std::to_string(endpoint));
      sum += found == uses.end() ? 0 : found->second;
    }
    const EndpointUsage use = loads.Sum(EndpointId(std::to_string(endpoint)));
    RC_ASSERT(use.requests == sum);
    RC_ASSERT(use.prefill_tokens == sum * 10);
  }
}

std::string EventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) +
         "\n\n";
}

/** A stream arrives in chunks of any size and breaks at any byte. */
void EachEventIsForwardedOnce() {
  const int events = *rc::gen::inRange(1, 12);
  std::string expected;
  for (int id = 1; id <= events; ++id)
    expected += EventText(id);
  EventRelay relay;
  std::string forwarded;
  bool is_complete = false;
  for (int run = 0; run < 6 && !is_complete; ++run) {
    relay.DiscardPartial();
    const auto after = static_cast<int>(relay.LastEventId().value_or(0));
    // The endpoint may resume at an event that was already forwarded.
    std::string text;
    for (int id = std::max(1, after); id <= events; ++id)
      text += EventText(id);
    const std::size_t break_offset =
        run == 5 ? text.size()
                 : *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    for (std::size_t offset = 0; offset < break_offset;) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 20);
      forwarded += relay.Feed(
          text.substr(offset, std::min(size, break_offset - offset)));
      offset += size;
    }
    is_complete = break_offset == text.size();
  }
  RC_ASSERT(forwarded + relay.Finish() == expected);
}

PublishedItem Item(const std::string& key, std::uint64_t revision) {
  return {key, "v" + std::to_string(revision), {0, revision}, false};
}

PublishedItem Removal(const std::string& key, std::uint64_t revision) {
  return {key, "", {0, revision}, true};
}

/** Keys that begin with "op" are not renewed by an owner. */
bool IsRenewed(const std::string& key) {
  return !key.starts_with("op");
}

/** Changes come from the store and peers, duplicated and out of order. */
void NoItemReturnsToOldRevision() {
  PublicationState state(kRemovalGrace, IsRenewed);
  std::uint64_t newest = 0;
  bool is_held = false;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(1, 40), rc::gen::arbitrary<bool>()));
  for (const auto& [number, is_removed] : steps) {
    // A revision is either a write or a removal, whichever source reports it.
    const auto revision = static_cast<std::uint64_t>(number);
    const bool removes = revision % 3 == 0;
    PublishedItems changes{
        {0, revision},
        {removes ? Removal("k", revision) : Item("k", revision)}};
    state.MergeChanges(changes, kStart);
    if (revision > newest) {
      newest = revision;
      is_held = !removes;
    }
    const std::uint64_t held = state.RevisionOf("k").number;
    const std::uint64_t expected = is_held ? newest : 0;
    RC_ASSERT(held == expected);
  }
}

void ItemRemovedInOutageMayReturn() {
  PublicationState state(kRemovalGrace, IsRenewed);
  state.MergeSnapshot({{0, 5}, {Item("a", 1), Item("b", 2)}}, kStart);
  state.RecordOutage(kStart);
  // Both expired during the outage; "a" is published again, "b" is not.
  CPPUNIT_ASSERT(
      state.MergeSnapshot({{0, 9}, {}}, kStart + milliseconds(500)).empty());
  CPPUNIT_ASSERT(
      state.ApplyDeferredRemovals(kStart + milliseconds(1500)).empty());
  state.MergeChanges({{0, 10}, {Item("a", 10)}}, kStart + milliseconds(1600));
  const auto removed = state.ApplyDeferredRemovals(kStart + kRemovalGrace);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
  CPPUNIT_ASSERT_EQUAL(std::string("b"), removed.front().key);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, state.RevisionOf("a").number);
}

/** A gateway that is cut off from the store hears of the removal from another:
 * its own outage lasts, and must not keep the item. */
void ItemWithoutOwnerIsRemovedInOutage() {
  PublicationState state(kRemovalGrace, IsRenewed);
  state.MergeSnapshot({{0, 5}, {Item("op/a", 1), Item("b", 2)}}, kStart);
  state.RecordOutage(kStart);
  const auto removed =
      state.MergeSnapshot({{0, 9}, {}}, kStart + milliseconds(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
  CPPUNIT_ASSERT_EQUAL(std::string("op/a"), removed.front().key);
  // A lagging peer does not bring it back; a new one does.
  state.MergeSnapshot({{0, 7}, {Item("op/a", 1)}}, kStart + milliseconds(600));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.RevisionOf("op/a").number);
  state.MergeChanges({{0, 12}, {Item("op/a", 12)}}, kStart + milliseconds(700));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, state.RevisionOf("op/a").number);
  // Nor does a lagging one that has not heard of it remove it.
  state.MergeSnapshot({{0, 11}, {}}, kStart + milliseconds(800));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, state.RevisionOf("op/a").number);
}

void RemovalWithoutOutageIsImmediate() {
  PublicationState state(kRemovalGrace, IsRenewed);
  state.MergeSnapshot({{0, 5}, {Item("a", 1)}}, kStart);
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{1},
      state.MergeChanges({{0, 6}, {Removal("a", 6)}}, kStart).size());
  // A peer that has not received the removal yet sends the old entry.
  CPPUNIT_ASSERT(state.MergeSnapshot({{0, 5}, {Item("a", 1)}}, kStart).empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.RevisionOf("a").number);
}

/** Guards against an endpoint that stays in use for good after its removal. */
void OldListTakesNoRemovalBack() {
  PublicationState state(kRemovalGrace, IsRenewed);
  state.MergeSnapshot({{0, 5}, {Item("a", 4), Item("b", 2)}}, kStart);
  state.RecordOutage(kStart);
  state.MergeSnapshot({{0, 9}, {Item("a", 4)}}, kStart + milliseconds(500));
  // A peer that has not heard of the removal yet.
  state.MergeSnapshot({{0, 8}, {Item("a", 4), Item("b", 2)}},
                      kStart + milliseconds(600));
  state.MergeChanges({{0, 8}, {Item("b", 2)}}, kStart + milliseconds(700));
  const auto removed = state.ApplyDeferredRemovals(kStart + kRemovalGrace);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
  CPPUNIT_ASSERT_EQUAL(std::string("b"), removed.front().key);
}

/** Guards against an endpoint that is not used though it is back: its removal
 * would count as newer. */
void DeferredRemovalKeepsItsRevision() {
  PublicationState state(kRemovalGrace, IsRenewed);
  state.MergeSnapshot({{0, 5}, {Item("a", 4), Item("b", 2)}}, kStart);
  state.RecordOutage(kStart);
  state.MergeChanges({{0, 9}, {Removal("b", 9)}}, kStart + milliseconds(500));
  state.MergeChanges({{0, 20}, {Item("a", 20)}}, kStart + milliseconds(600));
  const auto removed = state.ApplyDeferredRemovals(kStart + kRemovalGrace);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, removed.front().revision.number);
  state.MergeChanges({{0, 15}, {Item("b", 15)}}, kStart + kRemovalGrace);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, state.RevisionOf("b").number);
}

/** Guards against an endpoint that stays in use for as long as reads of the
 * store keep failing now and then. */
void DeferralIsNotProlonged() {
  PublicationState state(kRemovalGrace, IsRenewed);
  state.MergeSnapshot({{0, 5}, {Item("a", 4), Item("b", 2)}}, kStart);
  state.RecordOutage(kStart);
  state.MergeSnapshot({{0, 9}, {Item("a", 4)}}, kStart + milliseconds(500));
  state.RecordOutage(kStart + milliseconds(1500));
  state.MergeSnapshot({{0, 10}, {Item("a", 4)}}, kStart + milliseconds(1900));
  state.RecordOutage(kStart + milliseconds(2200));
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{1},
      state.ApplyDeferredRemovals(kStart + kRemovalGrace).size());
}

const Story kStory("gateway_decisions", [] {
  return Section(
      "given the decisions of a gateway",
      {Section("when a request is matched with a route",
               {Then("the longest prefix of its host wins", LongestPrefixWins),
                Then("services get traffic by their weights",
                     TrafficFollowsWeights)}),
       Section("when peers report their loads",
               {Always("sums are those of each peer's latest report",
                       SumsUseLatestReports)}),
       Section("when a stream breaks and is resumed",
               {Always("each event is forwarded once, for any chunk sizes",
                       EachEventIsForwardedOnce)}),
       Section("when published items arrive late, duplicated and out of order",
               {Always("no item returns to an older revision",
                       NoItemReturnsToOldRevision),
                Then("an item removed around an outage may return",
                     ItemRemovedInOutageMayReturn),
                Then("an item that nobody renews is removed in an outage",
                     ItemWithoutOwnerIsRemovedInOutage),
                Then("a removal without an outage takes effect at once",
                     RemovalWithoutOutageIsImmediate),
                Then("an old list takes no deferred removal back",
                     OldListTakesNoRemovalBack),
                Then("a deferred removal keeps its revision",
                     DeferredRemovalKeepsItsRevision),
                Then("later faults do not prolong a deferral",
                     DeferralIsNotProlonged)})});
});

}  // namespace

}  // namespace buckthornpath
