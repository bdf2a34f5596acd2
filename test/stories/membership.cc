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

MemberUpdate MakeUpdate(const std::string& vm,
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
  membership.ApplyUpdate(MakeUpdate("peer", 1), now);
  membership.RecordProbeFailure(VmId("peer"), now);
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, milliseconds(4500));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, milliseconds(5500));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("peer")));
}

void SuspectRefutesSuspicion() {
  Membership observer(MakeUpdate("observer", 1));
  Membership suspect(MakeUpdate("suspect", 7));
  observer.ApplyUpdate(suspect.Self(), milliseconds(0));
  observer.RecordProbeFailure(VmId("suspect"), milliseconds(1));
  suspect.ApplyUpdate(*observer.FindMember(VmId("suspect")), milliseconds(2));
  observer.ApplyUpdate(suspect.Self(), milliseconds(3));
  CPPUNIT_ASSERT(observer.FindMember(VmId("suspect"))->status ==
                 MemberStatus::kLive);
  CPPUNIT_ASSERT(!observer.ApplyUpdate(
      MakeUpdate("suspect", 7, MemberStatus::kDown), milliseconds(4)));
}

void FlappingIsDamped() {
  milliseconds now(0);
  Membership membership(MakeUpdate("self", 1));
  for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
    now += milliseconds(500);
    membership.Tick(now);
    membership.ApplyUpdate(
        MakeUpdate("peer", incarnation, MemberStatus::kLive, incarnation), now);
  }
  CPPUNIT_ASSERT(membership.IsDamped(VmId("peer")));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, now + milliseconds(60000));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
}

void OneRestartIsNotDamped() {
  Membership membership(MakeUpdate("self", 1));
  membership.ApplyUpdate(MakeUpdate("peer", 1, MemberStatus::kLive, 1),
                         milliseconds(0));
  membership.ApplyUpdate(MakeUpdate("peer", 2, MemberStatus::kLive, 2),
                         milliseconds(1));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
}

void PauseDiscardsSuspicions() {
  milliseconds now(0);
  Membership membership(MakeUpdate("self", 1));
  membership.ApplyUpdate(MakeUpdate("suspect", 1), now);
  membership.ApplyUpdate(MakeUpdate("down", 1, MemberStatus::kDown), now);
  membership.ApplyUpdate(MakeUpdate("leaving", 1, MemberStatus::kLeaving), now);
  membership.Tick(now);
  membership.RecordProbeFailure(VmId("suspect"), now);
  CPPUNIT_ASSERT(membership.Tick(now + milliseconds(60000)));
  CPPUNIT_ASSERT(!membership.Tick(now + milliseconds(60500)));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("suspect")));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("down")));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("leaving")));
}

void LeavingIsLearntFromOthers() {
  Membership router(MakeUpdate("router", 1));
  Membership endpoint(MakeUpdate("endpoint", 5));
  router.ApplyVmList({VmId("router"), VmId("endpoint")}, {VmId("endpoint")},
                     milliseconds(0));
  router.ApplyUpdate(endpoint.Self(), milliseconds(1));
  CPPUNIT_ASSERT(router.IsLeaving(VmId("endpoint")));
  endpoint.ApplyUpdate(*router.FindMember(VmId("endpoint")), milliseconds(2));
  CPPUNIT_ASSERT(endpoint.Self().status == MemberStatus::kLeaving);
}

void OnlyTheVmListWithdrawsLeaving() {
  const std::set<VmId> known{VmId("self")};
  Membership membership(MakeUpdate("self", 5));
  membership.ApplyVmList(known, known, milliseconds(0));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLeaving);
  membership.ApplyVmList(known, {}, milliseconds(2000));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLeaving);
  membership.ApplyVmList(known, {}, milliseconds(11000));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLive);
  CPPUNIT_ASSERT(membership.Self().epoch > 5);
}

void DrainIsNeverWithdrawn() {
  const std::set<VmId> known{VmId("self")};
  Membership membership(MakeUpdate("self", 5));
  membership.AnnounceLeave();
  membership.ApplyVmList(known, {}, milliseconds(60000));
  membership.ApplyUpdate(MakeUpdate("self", 9, MemberStatus::kDown),
                         milliseconds(60001));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLeaving);
  CPPUNIT_ASSERT(membership.Self().epoch > 9);
}

/** The same updates in any order give the same state. */
void UpdateOrderDoesNotMatter() {
  constexpr int kUpdates = 6;
  std::vector<MemberUpdate> updates;
  updates.reserve(kUpdates);
  for (int i = 0; i < kUpdates; ++i) {
    updates.push_back(
        MakeUpdate("peer", *rc::gen::inRange(1, 4),
                   static_cast<MemberStatus>(*rc::gen::inRange(0, 4)),
                   *rc::gen::inRange(1, 3)));
  }
  Membership forward(MakeUpdate("self", 1));
  Membership backward(MakeUpdate("self", 1));
  for (const MemberUpdate& item : updates)
    forward.ApplyUpdate(item, milliseconds(0));
  for (auto item = updates.rbegin(); item != updates.rend(); ++item)
    backward.ApplyUpdate(*item, milliseconds(0));
  const auto a = *forward.FindMember(VmId("peer"));
  const auto b = *backward.FindMember(VmId("peer"));
  RC_ASSERT(a.epoch == b.epoch);
  RC_ASSERT(a.incarnation == b.incarnation);
  RC_ASSERT(a.status == b.status);
}

Index IndexOf(std::uint64_t revision,
              const std::map<std::string, std::string>& documents) {
  Index index;
  index.version.revision = revision;
  index.entries.reserve(documents.size());
  for (const auto& [name, digest] : documents)
    index.entries.push_back({name, Revision{revision}, digest});
  index.version.digest = IndexDigest(index);
  return index;
}

ConfigurationPtr ConfigurationOf(std::uint64_t revision, std::uint64_t digest) {
  auto configuration = std::make_shared<Configuration>();
  configuration->index.version = {revision, digest};
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
  CPPUNIT_ASSERT(ApplyIndexDelta(from, delta).version == to.version);
  CPPUNIT_ASSERT(delta.size() < 150);
}

/** Stores that receive the same stamps in any order converge on one. */
void StoresConverge() {
  const auto versions = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(1, 5)));
  ConfigurationStore forward;
  ConfigurationStore backward;
  IndexVersion before;
  for (const auto& [revision, digest] : versions) {
    forward.Activate(ConfigurationOf(revision, digest));
    const IndexVersion now = forward.Active()->index.version;
    RC_ASSERT(now >= before);
    before = now;
  }
  for (auto item = versions.rbegin(); item != versions.rend(); ++item)
    backward.Activate(ConfigurationOf(item->first, item->second));
  RC_ASSERT(forward.Active()->index.version ==
            backward.Active()->index.version);
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
