/** @file membership.cc What a process believes of the others. */

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

MemberUpdate News(const std::string& vm,
                  std::uint64_t epoch,
                  MemberStatus status = MemberStatus::kLive,
                  std::uint64_t incarnation = 1) {
  return {VmId(vm), epoch, Incarnation{incarnation}, status};
}

/** Ticks as often as a running process does. */
void RunUntil(Membership& membership, milliseconds& now, milliseconds end) {
  while (now < end) {
    now += milliseconds(500);
    membership.Tick(now);
  }
}

void SuspicionComesFirst() {
  milliseconds now(0);
  Membership membership(News("self", 1));
  membership.ApplyUpdate(News("peer", 1), now);
  membership.RecordProbeFailure(VmId("peer"), now);
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, milliseconds(4500));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, milliseconds(5500));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("peer")));
}

void TheAccusedRefutes() {
  Membership accuser(News("accuser", 1));
  Membership accused(News("accused", 7));
  accuser.ApplyUpdate(accused.Self(), milliseconds(0));
  accuser.RecordProbeFailure(VmId("accused"), milliseconds(1));
  accused.ApplyUpdate(*accuser.FindMember(VmId("accused")), milliseconds(2));
  accuser.ApplyUpdate(accused.Self(), milliseconds(3));
  CPPUNIT_ASSERT(accuser.FindMember(VmId("accused"))->status ==
                 MemberStatus::kLive);
  CPPUNIT_ASSERT(!accuser.ApplyUpdate(News("accused", 7, MemberStatus::kDown),
                                      milliseconds(4)));
}

void FlappingIsDamped() {
  milliseconds now(0);
  Membership membership(News("self", 1));
  for (std::uint64_t life = 1; life <= 5; ++life) {
    now += milliseconds(500);
    membership.Tick(now);
    membership.ApplyUpdate(News("peer", life, MemberStatus::kLive, life), now);
  }
  CPPUNIT_ASSERT(membership.IsDamped(VmId("peer")));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("peer")));
  RunUntil(membership, now, now + milliseconds(60000));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
}

void OneRestartIsNotDamped() {
  Membership membership(News("self", 1));
  membership.ApplyUpdate(News("peer", 1, MemberStatus::kLive, 1),
                         milliseconds(0));
  membership.ApplyUpdate(News("peer", 2, MemberStatus::kLive, 2),
                         milliseconds(1));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("peer")));
}

void PauseMakesBeliefsOld() {
  milliseconds now(0);
  Membership membership(News("self", 1));
  membership.ApplyUpdate(News("suspect", 1), now);
  membership.ApplyUpdate(News("down", 1, MemberStatus::kDown), now);
  membership.ApplyUpdate(News("leaving", 1, MemberStatus::kLeaving), now);
  membership.Tick(now);
  membership.RecordProbeFailure(VmId("suspect"), now);
  CPPUNIT_ASSERT(membership.Tick(now + milliseconds(60000)));
  CPPUNIT_ASSERT(!membership.Tick(now + milliseconds(60500)));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("suspect")));
  CPPUNIT_ASSERT(membership.IsUsable(VmId("down")));
  CPPUNIT_ASSERT(!membership.IsUsable(VmId("leaving")));
}

void LeavingIsToldByOthers() {
  Membership router(News("router", 1));
  Membership endpoint(News("endpoint", 5));
  router.ApplyVmList({VmId("router"), VmId("endpoint")}, {VmId("endpoint")},
                     milliseconds(0));
  router.ApplyUpdate(endpoint.Self(), milliseconds(1));
  CPPUNIT_ASSERT(router.IsLeaving(VmId("endpoint")));
  endpoint.ApplyUpdate(*router.FindMember(VmId("endpoint")), milliseconds(2));
  CPPUNIT_ASSERT(endpoint.Self().status == MemberStatus::kLeaving);
}

void LeavingIsWithdrawnByTheListOnly() {
  const std::set<VmId> known{VmId("self")};
  Membership membership(News("self", 5));
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
  Membership membership(News("self", 5));
  membership.AnnounceLeave();
  membership.ApplyVmList(known, {}, milliseconds(60000));
  membership.ApplyUpdate(News("self", 9, MemberStatus::kDown),
                         milliseconds(60001));
  CPPUNIT_ASSERT(membership.Self().status == MemberStatus::kLeaving);
  CPPUNIT_ASSERT(membership.Self().epoch > 9);
}

/** News in any order leaves the same belief. */
void OrderDoesNotMatter() {
  constexpr int kItems = 6;
  std::vector<MemberUpdate> updates;
  updates.reserve(kItems);
  for (int i = 0; i < kItems; ++i) {
    updates.push_back(News("peer", *rc::gen::inRange(1, 4),
                           static_cast<MemberStatus>(*rc::gen::inRange(0, 4)),
                           *rc::gen::inRange(1, 3)));
  }
  Membership forward(News("self", 1));
  Membership backward(News("self", 1));
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

/** Stores that hear the same stamps in any order settle on the same one. */
void StoresSettleAlike() {
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
      "given what a process hears of others",
      {Section(
           "when a member gives no answer",
           {Then("it is suspected before it is removed", SuspicionComesFirst),
            Then("it refutes that", TheAccusedRefutes)}),
       Section("when a member restarts",
               {Then("once, it is used at once", OneRestartIsNotDamped),
                Then("again and again, it is held out for a time",
                     FlappingIsDamped)}),
       Section(
           "when the process was paused",
           {Then("suspicions and removals are dropped", PauseMakesBeliefsOld)}),
       Section(
           "when a member leaves",
           {Then("others tell it what the list shows", LeavingIsToldByOthers),
            Then("only the list withdraws it", LeavingIsWithdrawnByTheListOnly),
            Then("a drain is never withdrawn", DrainIsNeverWithdrawn)}),
       Section("when news comes late and out of order",
               {Always("the belief is the same", OrderDoesNotMatter),
                Always("the configuration in force is the same and never falls",
                       StoresSettleAlike),
                Then("an index delta holds only changes",
                     DeltaHoldsOnlyChanges)})});
});

}  // namespace

}  // namespace buckthornpath
