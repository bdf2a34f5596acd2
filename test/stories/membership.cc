/** @file membership.cc Membership state built from gossip and the VM list. */

#include "buckthornpath/membership.h"

#include <cppunit/TestAssert.h>

#include <random>

#include "fleet/configuration_store.h"
#include "fleet/index_delta.h"
#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

MemberNews MakeUpdate(const std::string& vm,
                      std::uint64_t epoch,
                      MemberStatus status = MemberStatus::kLive,
                      std::uint64_t incarnation = 1) {
  return {VmId(vm), epoch, Incarnation{incarnation}, status};
}

/** Ticks at the interval of a running process. */
void RunUntil(Membership& membership, milliseconds& now, milliseconds end) {
  while (now < end) {
    now += milliseconds(500);
    membership.Tick(now);
  }
}

void SuspicionPrecedesRemoval() {
  milliseconds now(0);
  Membership membership(MakeUpdate("self", 1));
  membership.Hear(MakeUpdate("peer", 1), now);
  membership.ProbeFailed(VmId("peer"), now);
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, milliseconds(4500));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, milliseconds(5500));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("peer")));
}

void SuspectRefutesSuspicion() {
  Membership observer(MakeUpdate("observer", 1));
  Membership suspect(MakeUpdate("suspect", 7));
  observer.Hear(suspect.Self(), milliseconds(0));
  observer.ProbeFailed(VmId("suspect"), milliseconds(1));
  suspect.Hear(*observer.About(VmId("suspect")), milliseconds(2));
  observer.Hear(suspect.Self(), milliseconds(3));
  CPPUNIT_ASSERT(observer.About(VmId("suspect"))->status ==
                 MemberStatus::kLive);
  CPPUNIT_ASSERT(!observer.Hear(MakeUpdate("suspect", 7, MemberStatus::kDown),
                                milliseconds(4)));
}

void FlappingIsDamped() {
  milliseconds now(0);
  Membership membership(MakeUpdate("self", 1));
  for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
    now += milliseconds(500);
    membership.Tick(now);
    membership.Hear(
        MakeUpdate("peer", incarnation, MemberStatus::kLive, incarnation), now);
  }
  CPPUNIT_ASSERT(membership.IsDamped(VmId("peer")));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, now + milliseconds(60000));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
}

void OneRestartIsNotDamped() {
  Membership membership(MakeUpdate("self", 1));
  membership.Hear(MakeUpdate("peer", 1, MemberStatus::kLive, 1),
                  milliseconds(0));
  membership.Hear(MakeUpdate("peer", 2, MemberStatus::kLive, 2),
                  milliseconds(1));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
}

void PauseDiscardsSuspicions() {
  milliseconds now(0);
  Membership membership(MakeUpdate("self", 1));
  membership.Hear(MakeUpdate("suspect", 1), now);
  membership.Hear(MakeUpdate("down", 1, MemberStatus::kDown), now);
  membership.Hear(MakeUpdate("leaving", 1, MemberStatus::kLeaving), now);
  membership.Tick(now);
  membership.ProbeFailed(VmId("suspect"), now);
  CPPUNIT_ASSERT(membership.Tick(now + milliseconds(60000)));
  CPPUNIT_ASSERT(!membership.Tick(now + milliseconds(60500)));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("suspect")));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("down")));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("leaving")));
}

void LeavingIsLearntFromOthers() {
  Membership router(MakeUpdate("router", 1));
  Membership endpoint(MakeUpdate("endpoint", 5));
  router.HearList({VmId("router"), VmId("endpoint")}, {VmId("endpoint")},
                  milliseconds(0));
  router.Hear(endpoint.Self(), milliseconds(1));
  CPPUNIT_ASSERT(router.IsLeaving(VmId("endpoint")));
  endpoint.Hear(*router.About(VmId("endpoint")), milliseconds(2));
  CPPUNIT_ASSERT(endpoint.Self().status == MemberStatus::kLeaving);
}

void OnlyTheVmListWithdrawsLeaving() {
  const std::set<VmId> known{VmId("self")};
  Membership membership(MakeUpdate("self", 5));
  membership.HearList(known, known, milliseconds(0));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLeaving);
  membership.HearList(known, {}, milliseconds(2000));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLeaving);
  membership.HearList(known, {}, milliseconds(11000));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLive);
  CPPUNIT_ASSERT(membership.Self().epoch > 5);
}

void DrainIsNeverWithdrawn() {
  const std::set<VmId> known{VmId("self")};
  Membership membership(MakeUpdate("self", 5));
  membership.Leave();
  membership.HearList(known, {}, milliseconds(60000));
  membership.Hear(MakeUpdate("self", 9, MemberStatus::kDown),
                  milliseconds(60001));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLeaving);
  CPPUNIT_ASSERT(membership.Self().epoch > 9);
}

/** The same updates in any order give the same state. */
void UpdateOrderDoesNotMatter() {
  constexpr int kUpdates = 6;
  std::vector<MemberNews> updates;
  updates.reserve(kUpdates);
  for (int i = 0; i < kUpdates; ++i) {
    updates.push_back(
        MakeUpdate("peer", *rc::gen::inRange(1, 4),
                   static_cast<MemberStatus>(*rc::gen::inRange(0, 4)),
                   *rc::gen::inRange(1, 3)));
  }
  Membership forward(MakeUpdate("self", 1));
  Membership backward(MakeUpdate("self", 1));
  for (const MemberNews& item : updates)
    forward.Hear(item, milliseconds(0));
  for (auto item = updates.rbegin(); item != updates.rend(); ++item)
    backward.Hear(*item, milliseconds(0));
  const auto a = *forward.About(VmId("peer"));
  const auto b = *backward.About(VmId("peer"));
  RC_ASSERT(a.epoch == b.epoch);
  RC_ASSERT(a.incarnation == b.incarnation);
  RC_ASSERT(a.status == b.status);
}

Index IndexOf(std::uint64_t revision,
              const std::map<std::string, std::string>& documents) {
  Index index;
  index.stamp.revision = revision;
  index.entries.reserve(documents.size());
  for (const auto& [name, digest] : documents)
    index.entries.push_back({name, Revision{revision}, digest});
  index.stamp.digest = IndexDigest(index);
  return index;
}

ConfigurationPtr ConfigurationOf(std::uint64_t revision, std::uint64_t digest) {
  auto configuration = std::make_shared<Configuration>();
  configuration->index.stamp = {revision, digest};
  return configuration;
}

void DeltaHoldsOnlyChanges() {
  std::map<std::string, std::string> documents;
  for (int i = 0; i < 500; ++i)
    documents["profiles/p" + std::to_string(i)] = "0123456789abcdef";
  const Index from = IndexOf(1, documents);
  documents["profiles/p7"] = "fedcba9876543210";
  documents.erase("profiles/p8");
  documents["profiles/new"] = "1111111111111111";
  const Index to = IndexOf(2, documents);
  const std::string delta = EncodeIndexDelta(from, to);
  CPPUNIT_ASSERT(ApplyIndexDelta(from, delta).stamp == to.stamp);
  CPPUNIT_ASSERT(delta.size() < 150);
}

/** Stores that receive the same stamps in any order converge on one. */
void StoresConverge() {
  const auto stamps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(1, 5)));
  ConfigurationStore forward;
  ConfigurationStore backward;
  IndexStamp before;
  for (const auto& [revision, digest] : stamps) {
    forward.Adopt(ConfigurationOf(revision, digest));
    const IndexStamp now = forward.InForce()->index.stamp;
    RC_ASSERT(now >= before);
    before = now;
  }
  for (auto item = stamps.rbegin(); item != stamps.rend(); ++item)
    backward.Adopt(ConfigurationOf(item->first, item->second));
  RC_ASSERT(forward.InForce()->index.stamp == backward.InForce()->index.stamp);
}

const Story kStory("membership", [] {
  return Section(
      "given what a process receives about others",
      {Section("when a member does not respond",
               {Then("it is suspected before it is removed",
                     SuspicionPrecedesRemoval),
                Then("it refutes the suspicion", SuspectRefutesSuspicion)}),
       Section(
           "when a member restarts",
           {Then("after one restart it is used at once", OneRestartIsNotDamped),
            Then("after repeated restarts it is excluded for a time",
                 FlappingIsDamped)}),
       Section("when the process was paused",
               {Then("suspicions and removals are discarded",
                     PauseDiscardsSuspicions)}),
       Section("when a member leaves",
               {Then("it learns from others what the VM list shows",
                     LeavingIsLearntFromOthers),
                Then("only the VM list withdraws that",
                     OnlyTheVmListWithdrawsLeaving),
                Then("a drain is never withdrawn", DrainIsNeverWithdrawn)}),
       Section(
           "when updates arrive late and out of order",
           {Always("the resulting state is the same", UpdateOrderDoesNotMatter),
            Always("the active revision is the same and never decreases",
                   StoresConverge),
            Then("an index delta holds only changes",
                 DeltaHoldsOnlyChanges)})});
});

}  // namespace

}  // namespace buckthornpath
