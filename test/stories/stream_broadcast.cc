/** @file stream_broadcast.cc Copies of the records of streams that all gateways
 * are told, without a network. */

#include "buckthornpath/stream_broadcast.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "buckthornpath/stream_origins.h"
#include "buckthornpath/stream_witnesses.h"
#include "harness/property.h"
#include "harness/story.h"
#include "harness/stream_records.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using Broadcast = StreamBroadcast;

const TimePoint kStart{std::chrono::hours(1)};

// Rounds.

void RecordsOfAnIntervalLeaveTogether() {
  Broadcast broadcast;
  broadcast.SetReceivers(4);
  CPPUNIT_ASSERT(broadcast.Interval() == 4 * Broadcast::kIntervalPerReceiver);
  CPPUNIT_ASSERT(!broadcast.NextAt());
  broadcast.Add(Records(0, 1), kStart);
  broadcast.Add(Records(1, 2), kStart + milliseconds(1));
  const TimePoint due = kStart + broadcast.Interval();
  CPPUNIT_ASSERT(broadcast.NextAt() == due);
  CPPUNIT_ASSERT(broadcast.TakeRound(due - milliseconds(1)).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, broadcast.TakeRound(due).size());
  CPPUNIT_ASSERT(!broadcast.NextAt());
}

void IntervalGrowsWithinLimits() {
  Broadcast broadcast;
  broadcast.SetReceivers(0);
  CPPUNIT_ASSERT(broadcast.Interval() == Broadcast::kMinInterval);
  broadcast.SetReceivers(1000);
  CPPUNIT_ASSERT(broadcast.Interval() == Broadcast::kMaxInterval);
}

void ManyRecordsAreBounded() {
  Broadcast broadcast;
  broadcast.Add(Records(0, Broadcast::kMaxWaiting + 10), kStart);
  std::set<std::uint64_t> sent;
  TimePoint now = kStart;
  while (const auto due = broadcast.NextAt()) {
    CPPUNIT_ASSERT(*due >= now + Broadcast::kMinInterval);
    now = *due;
    const auto round = broadcast.TakeRound(now);
    CPPUNIT_ASSERT(!round.empty() && round.size() <= Broadcast::kMaxPerRound);
    for (const StreamRecord& record : round)
      sent.insert(record.stream.high);
  }
  CPPUNIT_ASSERT_EQUAL(Broadcast::kMaxWaiting, sent.size());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, *sent.begin());
}

// What copies prove.

void CopyIsNoWitness() {
  StreamOrigins origins;
  origins.RecordCopy({Key(1), kOld}, kStart);
  CPPUNIT_ASSERT(origins.Find(Key(1), kStart) == kOld);
  CPPUNIT_ASSERT(!origins.FindWitnessed(Key(1), kStart));
  origins.RecordPeer({Key(1), kOld}, kStart);
  CPPUNIT_ASSERT(origins.FindWitnessed(Key(1), kStart) == kOld);
  // A copy that comes after the record takes nothing away.
  origins.RecordCopy({Key(1), kOld}, kStart);
  CPPUNIT_ASSERT(origins.FindWitnessed(Key(1), kStart) == kOld);
}

void CopyContradicts() {
  for (const bool is_copy_first : {true, false}) {
    StreamOrigins origins;
    if (is_copy_first)
      origins.RecordCopy({Key(1), kNew}, kStart);
    origins.RecordPeer({Key(1), kOld}, kStart);
    if (!is_copy_first)
      origins.RecordCopy({Key(1), kNew}, kStart);
    CPPUNIT_ASSERT(!origins.Find(Key(1), kStart));
    CPPUNIT_ASSERT(!origins.FindWitnessed(Key(1), kStart));
    CPPUNIT_ASSERT(origins.IsContradictory(Key(1), kStart));
  }
}

void CopyIsNotAnnounced() {
  StreamOrigins origins;
  origins.RecordCopy({Key(1), kOld}, kStart);
  CPPUNIT_ASSERT(origins.TakeUnannounced().empty());
  CPPUNIT_ASSERT(origins.NewestOwn(10, kStart).empty());
}

// Who is told.

/** A fleet as its members see it: each knows its failure domain, and the hubs
 * of the others. */
class Fleet {
 public:
  explicit Fleet(const std::vector<GatewayMember>& members) : members(members) {
    for (const GatewayMember& self : members) {
      GatewayRoster all(self);
      for (const GatewayMember& other : members)
        all.RecordContact(other, kStart);
      GatewayRoster known(self);
      for (const GatewayMember& other : members) {
        const std::vector<std::string> hubs = all.HubsOf(other.failure_domain);
        if (other.failure_domain == self.failure_domain ||
            std::find(hubs.begin(), hubs.end(), other.address) != hubs.end())
          known.RecordContact(other, kStart);
      }
      this->rosters.push_back(known);
    }
  }

  /** @return Gateways that know of the streams of the first one in the end. */
  std::set<std::string> Told() const {
    const GatewayRoster& origin = this->rosters.front();
    std::set<std::string> told = {origin.Self().address};
    for (const auto& list : {StreamWitnesses(origin), GatewaysToCopyTo(origin)})
      told.insert(list.begin(), list.end());
    for (const GatewayRoster& roster : this->rosters) {
      const bool is_relay =
          told.contains(roster.Self().address) &&
          roster.Self().failure_domain != origin.Self().failure_domain;
      if (!is_relay)
        continue;
      for (const std::string& address : GatewaysToRelayTo(roster))
        told.insert(address);
    }
    return told;
  }

 private:
  std::vector<GatewayMember> members;
  std::vector<GatewayRoster> rosters;
};

/** Guards against streams that are lost with some gateways only: whatever the
 * failure domains, any gateway that is left can go on with them. */
void AllAreTold() {
  const auto domain_numbers = *rc::gen::nonEmpty<std::vector<std::uint8_t>>();
  const auto domain_count = *rc::gen::inRange(1, 6);
  std::vector<GatewayMember> members;
  members.reserve(domain_numbers.size());
  for (const std::uint8_t number : domain_numbers) {
    members.push_back(Member("d" + std::to_string(number % domain_count),
                             members.size() + 1));
  }
  RC_ASSERT(Fleet(members).Told().size() == members.size());
}

const Story kStory("stream_broadcast", [] {
  return Section(
      "given gateways that tell all others what has begun streams",
      {Section("when records wait",
               {Then("those of an interval leave together",
                     RecordsOfAnIntervalLeaveTogether),
                Then("the interval grows with the receivers, within limits",
                     IntervalGrowsWithinLimits),
                Then("many are bounded, and the oldest left out",
                     ManyRecordsAreBounded)}),
       Section("when a copy is known",
               {Then("it is no witness of the stream", CopyIsNoWitness),
                Then("it contradicts a record that differs", CopyContradicts),
                Then("it is not announced again", CopyIsNotAnnounced)}),
       Section("when gateways are chosen",
               {Always("all are told in the end", AllAreTold)})});
});

}  // namespace

}  // namespace buckthornpath
