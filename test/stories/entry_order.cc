/** @file entry_order.cc Entries that are published late, or once more. */

#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "buckthornpath/entry_order.h"
#include "gateway/publication_state.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kBorn = 7000;
constexpr std::int64_t kLaterBorn = 7001;

struct OrderRow {
  const char* what;
  EntryOrder offered;
  EntryOrder known;
  bool is_outdated;
};

void OrderOfEntries() {
  const EntryOrder leaving{kBorn, 6, true};
  const std::array rows = {
      OrderRow{"written before", {kBorn, 5, false}, leaving, true},
      OrderRow{"written with it", {kBorn, 6, false}, leaving, true},
      OrderRow{"written after it", {kBorn, 7, false}, leaving, false},
      OrderRow{"of a later process", {kLaterBorn, 1, false}, leaving, false},
      OrderRow{"of an earlier process", {kBorn - 1, 9, false}, leaving, false},
      OrderRow{"leaves as well", {kBorn, 5, true}, leaving, false},
      OrderRow{"nothing left", {kBorn, 5, false}, {kBorn, 6, false}, false},
      OrderRow{"start not stated", {0, 5, false}, {0, 6, true}, false},
  };
  for (const OrderRow& row : rows) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.is_outdated,
                                 IsFromBeforeLeaving(row.offered, row.known));
  }
}

/** Entries that are written as "born sequence" and a mark of leaving. */
std::optional<EntryOrder> ReadEntry(const PublishedItem& item) {
  static const std::map<std::string, EntryOrder> kEntries = {
      {"ready 5", {kBorn, 5, false}},
      {"leaving 6", {kBorn, 6, true}},
      {"ready 7", {kBorn, 7, false}},
      {"new process", {kLaterBorn, 1, false}}};
  const auto found = kEntries.find(item.value);
  if (found == kEntries.end())
    return std::nullopt;
  return found->second;
}

/** Items that hold an endpoint which has said that it leaves. */
class LeavingEndpoint : public PublicationState {
 public:
  LeavingEndpoint()
      : PublicationState(
            milliseconds(2300),
            [](const std::string&) { return true; },
            ReadEntry) {
    this->MergeSnapshot({{1, 50}, {{"e", "ready 5", {1, 40}, false}}}, kStart);
    this->MergeChanges({{1, 60}, {{"e", "leaving 6", {1, 60}, false}}}, kStart);
  }

  std::size_t Offer(const std::string& value, const StoreRevision& revision) {
    return this
        ->MergeChanges({revision, {{"e", value, revision, false}}}, kStart)
        .size();
  }

  std::string Value() const {
    const PublishedItems all = this->All();
    return all.items.empty() ? "" : all.items.front().value;
  }
};

void ListOfACopyTakesNothingBack() {
  LeavingEndpoint state;
  const auto changed = state.MergeSnapshot(
      {{2, 45}, {{"e", "ready 5", {2, 40}, false}}}, kStart);
  CPPUNIT_ASSERT(changed.empty());
  CPPUNIT_ASSERT_EQUAL(std::string("leaving 6"), state.Value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.TakeOutdated().size());
  CPPUNIT_ASSERT(state.TakeOutdated().empty());
  // It is in the list, so that its removal is one.
  state.MergeChanges({{2, 46}, {{"e", "", {2, 46}, true}}}, kStart);
  CPPUNIT_ASSERT_EQUAL(std::string(), state.Value());
}

void LateEntryTakesNothingBack() {
  LeavingEndpoint state;
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.Offer("ready 5", {1, 70}));
  CPPUNIT_ASSERT_EQUAL(std::string("leaving 6"), state.Value());
}

void RemovedEndpointStaysOut() {
  LeavingEndpoint state;
  state.MergeChanges({{1, 61}, {{"e", "", {1, 61}, true}}}, kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.Offer("ready 5", {2, 40}));
  CPPUNIT_ASSERT_EQUAL(std::string(), state.Value());
}

void LaterWordOfTheEndpointCounts() {
  LeavingEndpoint state;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.Offer("ready 7", {1, 70}));
  CPPUNIT_ASSERT_EQUAL(std::string("ready 7"), state.Value());
  // It leaves no more.
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.Offer("ready 5", {1, 71}));
}

void NewProcessCounts() {
  LeavingEndpoint state;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.Offer("new process", {2, 40}));
  CPPUNIT_ASSERT_EQUAL(std::string("new process"), state.Value());
}

void EntryThatStatesNoPlaceCounts() {
  LeavingEndpoint state;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.Offer("odd", {1, 70}));
  CPPUNIT_ASSERT_EQUAL(std::string("odd"), state.Value());
}

/** An endpoint whose later process is known. */
class RestartedEndpoint : public LeavingEndpoint {
 public:
  RestartedEndpoint() { this->Offer("new process", {1, 70}); }
};

/** Guards against a store that comes back from a copy, whose entries give
 * endpoints the versions of processes that have ended. */
void EntryOfTheProcessBeforeDoesNotComeBack() {
  RestartedEndpoint state;
  const auto changed = state.MergeSnapshot(
      {{2, 45}, {{"e", "ready 5", {2, 40}, false}}}, kStart);
  CPPUNIT_ASSERT(changed.empty());
  CPPUNIT_ASSERT_EQUAL(std::string("new process"), state.Value());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.TakeOutdated().size());
  // What the present process writes counts, and so does its removal.
  state.Offer("new process", {2, 46});
  state.MergeChanges({{2, 47}, {{"e", "", {2, 47}, true}}}, kStart);
  CPPUNIT_ASSERT_EQUAL(std::string(), state.Value());
}

/** Within an era, the store's order decides. */
void EarlierStartWithinAnEraCounts() {
  RestartedEndpoint state;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.Offer("ready 5", {1, 71}));
  CPPUNIT_ASSERT_EQUAL(std::string("ready 5"), state.Value());
}

const Story kStory("entry_order", [] {
  return Section(
      "given an endpoint that has said that it leaves",
      {Then("an entry is told from those before it by what it states",
            OrderOfEntries),
       Section("when an older entry of it is published",
               {Then("the list of a copy takes nothing back",
                     ListOfACopyTakesNothingBack),
                Then("an entry that is written late takes nothing back",
                     LateEntryTakesNothingBack),
                Then("an endpoint that was removed stays out",
                     RemovedEndpointStaysOut)}),
       Section("when it says more",
               {Then("its later word counts", LaterWordOfTheEndpointCounts),
                Then("a new process with its id counts", NewProcessCounts),
                Then("an entry that states no place counts",
                     EntryThatStatesNoPlaceCounts)}),
       Section("when it has started again",
               {Then("an entry of the process before does not come back with a "
                     "new era",
                     EntryOfTheProcessBeforeDoesNotComeBack),
                Then("one that is written within the era counts",
                     EarlierStartWithinAnEraCounts)})});
});

}  // namespace

}  // namespace buckthornpath
