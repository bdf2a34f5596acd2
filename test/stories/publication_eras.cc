/** @file publication_eras.cc Published items across eras of the store. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "gateway/publication_state.h"
#include "gateway/store_history.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

const TimePoint kStart{std::chrono::hours(1)};

constexpr milliseconds kGrace{2300};

PublishedItem Item(const std::string& key,
                   StoreRevision revision,
                   const std::string& value) {
  return {key, value, revision, false};
}

PublishedItem Removal(const std::string& key, StoreRevision revision) {
  return {key, "", revision, true};
}

/** State that holds "a", "b" and "c" of era 1. */
class FirstEra : public PublicationState {
 public:
  FirstEra()
      : PublicationState(kGrace, [](const std::string&) { return true; }) {
    this->MergeSnapshot({{1, 90},
                         {Item("a", {1, 10}, "old a"), Item("b", {1, 85}, "b"),
                          Item("c", {1, 90}, "c")}},
                        kStart);
  }

  /** Merges what a copy holds that lacks "c" and the last change of "a". */
  std::vector<PublishedItem> MergeCopy() {
    return this->MergeSnapshot(
        {{2, 50}, {Item("a", {2, 10}, "copy a"), Item("b", {2, 40}, "b")}},
        kStart);
  }

  bool HasItem(const std::string& key) const {
    return this->RevisionOf(key) != StoreRevision{};
  }

  std::string ValueOf(const std::string& key) const {
    for (const PublishedItem& item : this->All().items) {
      if (item.key == key)
        return item.value;
    }
    return "";
  }
};

void LowerRevisionsOfALaterEraAreTaken() {
  FirstEra state;
  const auto changed = state.MergeCopy();
  CPPUNIT_ASSERT(state.Revision() == StoreRevision(2, 50));
  CPPUNIT_ASSERT_EQUAL(std::string("copy a"), state.ValueOf("a"));
  const auto written =
      state.MergeChanges({{2, 51}, {Item("b", {2, 51}, "new b")}}, kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, written.size());
  CPPUNIT_ASSERT_EQUAL(std::string("new b"), state.ValueOf("b"));
  state.MergeChanges({{2, 52}, {Removal("b", {2, 52})}}, kStart);
  CPPUNIT_ASSERT(!state.HasItem("b"));
}

/** A large configuration that is decoded again would delay all requests. */
void ValueThatStaysIsNoChange() {
  FirstEra state;
  const std::uint64_t count = state.ChangeCount();
  const auto changed = state.MergeCopy();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
  CPPUNIT_ASSERT_EQUAL(std::string("a"), changed.front().key);
  // The change of "a" and the list itself, which readers get whole.
  CPPUNIT_ASSERT_EQUAL(count + 2, state.ChangeCount());
  CPPUNIT_ASSERT(state.RevisionOf("b") == StoreRevision(2, 40));
  // Its decoding may have begun before.
  CPPUNIT_ASSERT(state.Holds(Item("b", {1, 85}, "b")));
}

void EarlierErasChangeNothing() {
  FirstEra state;
  state.MergeCopy();
  const PublishedItems late{{1, 99}, {Item("b", {1, 99}, "late b")}};
  CPPUNIT_ASSERT(state.MergeSnapshot(late, kStart).empty());
  CPPUNIT_ASSERT(state.MergeChanges(late, kStart).empty());
  CPPUNIT_ASSERT(
      state.MergeChanges({{1, 99}, {Removal("b", {1, 99})}}, kStart).empty());
  CPPUNIT_ASSERT_EQUAL(std::string("b"), state.ValueOf("b"));
  CPPUNIT_ASSERT(state.HasItem("c"));
  CPPUNIT_ASSERT(state.Revision() == StoreRevision(2, 50));
}

void LostItemIsKeptForTheGrace() {
  FirstEra state;
  state.MergeCopy();
  CPPUNIT_ASSERT(state.HasItem("c"));
  CPPUNIT_ASSERT(
      state.ApplyDeferredRemovals(kStart + kGrace - milliseconds(1)).empty());
  const auto removed = state.ApplyDeferredRemovals(kStart + kGrace);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
  CPPUNIT_ASSERT(!state.HasItem("c"));
}

void ItemThatIsWrittenAgainStays() {
  FirstEra state;
  state.MergeCopy();
  // As it was: no change.
  CPPUNIT_ASSERT(
      state.MergeChanges({{2, 51}, {Item("c", {2, 51}, "c")}}, kStart).empty());
  CPPUNIT_ASSERT(state.ApplyDeferredRemovals(kStart + kGrace).empty());
  CPPUNIT_ASSERT(state.HasItem("c"));
}

/** Guards against an item that a follower takes away at the end of its own
 * grace: the hub, for which it has not changed, did not say that it is there.
 */
void FollowersHearOfAnItemThatStays() {
  FirstEra hub;
  hub.MergeCopy();
  FirstEra follower;
  follower.MergeCopy();
  const std::uint64_t told = hub.ChangeCount();
  CPPUNIT_ASSERT(
      hub.MergeChanges({{2, 51}, {Item("c", {2, 51}, "c")}}, kStart).empty());
  const auto changes = hub.ChangesSince(told);
  CPPUNIT_ASSERT(changes.has_value());
  follower.MergeChanges(*changes, kStart, ItemSource::kGateway);
  CPPUNIT_ASSERT(follower.ApplyDeferredRemovals(kStart + kGrace).empty());
  CPPUNIT_ASSERT(follower.HasItem("c"));
}

/** Guards against an item that is kept for good: the gateway that has sent it
 * removes it later without a revision, at the end of its grace. */
void LostItemOfASnapshotIsKeptForTheGrace(bool is_new_process) {
  FirstEra peer;
  peer.MergeCopy();
  FirstEra known;
  PublicationState empty(kGrace, [](const std::string&) { return true; });
  PublicationState& reader = is_new_process ? empty : known;
  reader.MergeSnapshot(peer.All(), kStart, ItemSource::kGateway);
  CPPUNIT_ASSERT(reader.RevisionOf("c") == StoreRevision(1, 90));
  CPPUNIT_ASSERT(
      reader.ApplyDeferredRemovals(kStart + kGrace - milliseconds(1)).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       reader.ApplyDeferredRemovals(kStart + kGrace).size());
  CPPUNIT_ASSERT(reader.RevisionOf("c") == StoreRevision{});
  CPPUNIT_ASSERT(reader.RevisionOf("b") == StoreRevision(2, 40));
}

/** The removal is an event of the new era, not a lack of the copy. */
void RemovalInTheNewEraIsImmediate() {
  FirstEra state;
  state.MergeCopy();
  state.MergeChanges({{2, 51}, {Removal("c", {2, 51})}}, kStart);
  CPPUNIT_ASSERT(!state.HasItem("c"));
}

/** An entry that was removed, and is there again in the copy. */
void RemovalOfAnEarlierEraHidesNoItem() {
  FirstEra state;
  state.MergeChanges({{1, 95}, {Removal("b", {1, 95})}}, kStart);
  state.MergeCopy();
  CPPUNIT_ASSERT_EQUAL(std::string("b"), state.ValueOf("b"));
}

/** What a hub says of a new era lacks the removals that it has made before. */
void ChangesOfANewEraDoNotStandForItsList() {
  FirstEra state;
  CPPUNIT_ASSERT(state.IsComplete());
  state.MergeChanges({{2, 50}, {}}, kStart);
  CPPUNIT_ASSERT(state.Revision() == StoreRevision(2, 50));
  CPPUNIT_ASSERT(!state.IsComplete());
  CPPUNIT_ASSERT(state.ChangesSince(state.ChangeCount()).has_value());
  const std::uint64_t told = state.ChangeCount();
  state.MergeCopy();
  CPPUNIT_ASSERT(state.IsComplete());
  CPPUNIT_ASSERT(!state.ChangesSince(told).has_value());
}

void AnswerOfAnotherEraIsNoContinuation() {
  CheckEra({2, 50}, 2);
  CPPUNIT_ASSERT_THROW(CheckEra({2, 50}, 3), StoreHistoryCompacted);
  CPPUNIT_ASSERT_THROW(CheckEra({2, 50}, 1), StoreUnavailable);
}

void LaterEraEndsAContinuation() {
  CheckNoLaterEra({2, 50}, 1);
  CPPUNIT_ASSERT_THROW(CheckNoLaterEra({2, 50}, 3), StoreHistoryCompacted);
}

void ListBehindWhatIsHeldIsNoAnswer() {
  CheckNotBehind({2, 50}, {2, 50});
  CheckNotBehind({2, 50}, {3, 1});
  CPPUNIT_ASSERT_THROW(CheckNotBehind({2, 50}, {2, 49}), StoreUnavailable);
  CPPUNIT_ASSERT_THROW(CheckNotBehind({2, 50}, {1, 90}), StoreUnavailable);
}

const Story kStory("publication_eras", [] {
  return Section(
      "given items of a store that has begun a new era",
      {Section(
           "when they are compared with what is held",
           {Then("lower revisions of the new era are taken",
                 LowerRevisionsOfALaterEraAreTaken),
            Then("a value that stays is no change", ValueThatStaysIsNoChange),
            Then("what is known of earlier eras changes nothing",
                 EarlierErasChangeNothing),
            Then("a removal of an earlier era hides no item",
                 RemovalOfAnEarlierEraHidesNoItem)}),
       Section(
           "when the new era lacks an item",
           {Then("it is kept for the grace period", LostItemIsKeptForTheGrace),
            Then("it stays if it is written again",
                 ItemThatIsWrittenAgainStays),
            Then("followers hear that it stays",
                 FollowersHearOfAnItemThatStays),
            Then("a reader of another gateway keeps it as long",
                 [] { LostItemOfASnapshotIsKeptForTheGrace(false); }),
            Then("a new process that reads of it does so, too",
                 [] { LostItemOfASnapshotIsKeptForTheGrace(true); }),
            Then("a removal in the new era is immediate",
                 RemovalInTheNewEraIsImmediate)}),
       Section("when changes are read on",
               {Then("a list of the new era stays necessary",
                     ChangesOfANewEraDoNotStandForItsList),
                Then("an answer of another era is no continuation",
                     AnswerOfAnotherEraIsNoContinuation),
                Then("a later era that others know ends a continuation",
                     LaterEraEndsAContinuation),
                Then("a list behind what is held is no answer",
                     ListBehindWhatIsHeldIsNoAnswer)})});
});

}  // namespace

}  // namespace buckthornpath
