/** @file gateway_hubs.cc Decisions of hubs and their followers, without I/O. */

#include <cppunit/TestAssert.h>

#include <map>
#include <set>

#include "buckthornpath/fleet_loads.h"
#include "buckthornpath/gateway_roster.h"
#include "buckthornpath/upstream_selector.h"
#include "gateway/feed_record.h"
#include "gateway/gateway_message.h"
#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

const TimePoint kStart{std::chrono::hours(1)};

std::string AddressOf(std::size_t number) {
  return "10.0.0." + std::to_string(number) + ":8229";
}

GatewayMember MemberOf(std::size_t number,
                       const std::string& domain = "a",
                       std::int64_t capacity = 20) {
  return {AddressOf(number), FailureDomainId(domain), capacity, false};
}

/** @return The rosters of gateways 0 to count - 1, which all know all. */
std::vector<GatewayRoster> RostersOf(std::size_t count) {
  std::vector<GatewayRoster> rosters;
  for (std::size_t i = 0; i < count; ++i) {
    rosters.emplace_back(MemberOf(i));
    for (std::size_t other = 0; other < count; ++other)
      rosters.back().RecordContact(MemberOf(other), kStart);
  }
  return rosters;
}

void AllElectTheSameHubs() {
  const auto rosters = RostersOf(20);
  const auto hubs = rosters.front().HubsOf(FailureDomainId("a"));
  CPPUNIT_ASSERT_EQUAL(GatewayRoster::kHubsPerDomain, hubs.size());
  std::size_t leaders = 0;
  for (const GatewayRoster& roster : rosters) {
    CPPUNIT_ASSERT(roster.HubsOf(FailureDomainId("a")) == hubs);
    leaders += roster.Role() == HubRole::kLeader ? 1 : 0;
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders);
}

void LargestVmsAreElected() {
  GatewayRoster roster(MemberOf(0));
  for (std::size_t i = 1; i < 10; ++i)
    roster.RecordContact(MemberOf(i, "a", i == 7 ? 200 : 20), kStart);
  CPPUNIT_ASSERT_EQUAL(AddressOf(7),
                       roster.HubsOf(FailureDomainId("a")).front());
}

void OtherDomainsHaveTheirOwn() {
  GatewayRoster roster(MemberOf(0));
  roster.RecordContact(MemberOf(1, "b", 1000), kStart);
  CPPUNIT_ASSERT(roster.Role() == HubRole::kLeader);
  CPPUNIT_ASSERT_EQUAL(AddressOf(1),
                       roster.HubsOf(FailureDomainId("b")).front());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, roster.CountOf(FailureDomainId("a")));
}

void SilentLeaderIsReplacedByTheSecond() {
  auto roster = RostersOf(20).front();
  const auto before = roster.HubsOf(FailureDomainId("a"));
  for (std::size_t i = 0; i < 20; ++i) {
    if (AddressOf(i) != before.front())
      roster.RecordContact(MemberOf(i), kStart + milliseconds(1000));
  }
  const auto removed =
      roster.RemoveSilent(kStart + milliseconds(2000), milliseconds(1500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
  CPPUNIT_ASSERT_EQUAL(before.front(), removed.front().address);
  CPPUNIT_ASSERT_EQUAL(before.back(),
                       roster.HubsOf(FailureDomainId("a")).front());
}

void DrainingGatewayIsNoHub() {
  auto rosters = RostersOf(5);
  for (GatewayRoster& roster : rosters) {
    if (roster.Role() != HubRole::kLeader)
      continue;
    roster.AnnounceLeave();
    CPPUNIT_ASSERT(!roster.IsHub());
    GatewayMember leaving = roster.Self();
    CPPUNIT_ASSERT(leaving.leaving);
    GatewayRoster other(MemberOf(9));
    other.RecordContact(leaving, kStart);
    CPPUNIT_ASSERT(other.Role() == HubRole::kLeader);
  }
}

void OlderWordDoesNotRevert() {
  GatewayRoster roster(MemberOf(0));
  GatewayMember leaving = MemberOf(1, "a", 1000);
  leaving.leaving = true;
  roster.RecordContact(leaving, kStart + milliseconds(500));
  roster.RecordContact(MemberOf(1, "a", 1000), kStart);
  CPPUNIT_ASSERT(roster.Role() == HubRole::kLeader);
}

/** Guards against a leader that restarts unnoticed and leads alone: the others
 * must tell it of all gateways, as they do with one that is new. */
void RestartIsNewsOnce() {
  GatewayRoster roster(MemberOf(0));
  GatewayMember member = MemberOf(1);
  member.run = 7;
  CPPUNIT_ASSERT(roster.RecordContact(member, kStart));
  CPPUNIT_ASSERT(!roster.RecordContact(member, kStart + milliseconds(1)));
  member.run = 8;
  CPPUNIT_ASSERT(roster.RecordContact(member, kStart + milliseconds(2)));
  CPPUNIT_ASSERT(!roster.RecordContact(member, kStart + milliseconds(3)));
  // Word of it through a gateway of an older version, which names no run.
  CPPUNIT_ASSERT(!roster.RecordContact(MemberOf(1), kStart + milliseconds(4)));
  CPPUNIT_ASSERT(!roster.RecordContact(member, kStart + milliseconds(5)));
}

const EndpointId kEndpoint("e");

EndpointUsageMap UseOf(std::int64_t requests) {
  return {{kEndpoint, {requests, requests * 100}}};
}

void LeaderSumsReportsAndDigests() {
  FleetLoads leader;
  leader.SetLeader(true);
  leader.ApplyReport(AddressOf(1), UseOf(2), 1);
  leader.ApplyReport(AddressOf(2), UseOf(3), 1);
  leader.ApplyDigest(FailureDomainId("b"), UseOf(10));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{15}, leader.PeerLoad(kEndpoint).requests);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{9},
                       leader.DomainSum(UseOf(4)).at(kEndpoint).requests);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{19},
                       leader.FleetSum(UseOf(4)).at(kEndpoint).requests);
  leader.ForgetMember(AddressOf(2));
  leader.ForgetDomain(FailureDomainId("b"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, leader.PeerLoad(kEndpoint).requests);
}

/** A member's load changes between its report and the view that includes it. */
void MemberSubtractsWhatTheViewIncludes() {
  FleetLoads member;
  const std::uint64_t first = member.RecordOwnReport(UseOf(2));
  member.RecordOwnReport(UseOf(7));
  member.ApplyView(UseOf(12), first);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, member.PeerLoad(kEndpoint).requests);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                       member.PeerLoad(kEndpoint).prefill_tokens);
  member.ApplyView({}, first + 1);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, member.PeerLoad(kEndpoint).requests);
}

void LoadsAreNeverNegative() {
  FleetLoads member;
  const std::uint64_t sequence = member.RecordOwnReport(UseOf(5));
  member.ApplyView(UseOf(3), sequence);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, member.PeerLoad(kEndpoint).requests);
}

void ANewLeaderUsesItsOwnSums() {
  FleetLoads hub;
  hub.ApplyReport(AddressOf(1), UseOf(4), 1);
  hub.ApplyView(UseOf(100), 0);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, hub.PeerLoad(kEndpoint).requests);
  const auto changed = hub.SetLeader(true);
  CPPUNIT_ASSERT(!changed.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, hub.PeerLoad(kEndpoint).requests);
}

const std::vector<std::string> kHubs = {AddressOf(1), AddressOf(2)};

void FollowersAreSpreadOverTheHubs() {
  CPPUNIT_ASSERT(UpstreamSelector(0.1).ChooseHub(kHubs, kStart) == kHubs[0]);
  CPPUNIT_ASSERT(UpstreamSelector(0.9).ChooseHub(kHubs, kStart) == kHubs[1]);
  CPPUNIT_ASSERT(!UpstreamSelector(0.5).ChooseHub({}, kStart));
}

void FollowerOfAFreshHubDoesNotRead() {
  UpstreamSelector selector(0.5);
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    selector.RecordFresh(kHubs[0], now);
    CPPUNIT_ASSERT(!selector.MustReadStore(now));
    now += milliseconds(300);
  }
}

/** The limit for applying a configuration is 2 s on the smallest platform. */
void SilentHubIsGivenUpInTime() {
  UpstreamSelector selector(1.0);
  selector.RecordFresh(kHubs[0], kStart);
  CPPUNIT_ASSERT(!selector.MustReadStore(kStart + milliseconds(900)));
  CPPUNIT_ASSERT(selector.MustReadStore(kStart + milliseconds(1400)));
}

void FailedHubIsReplacedBeforeTheStoreIsRead() {
  UpstreamSelector selector(0.0);
  selector.RecordFresh(kHubs[0], kStart);
  selector.RecordFault(kHubs[0], kStart);
  CPPUNIT_ASSERT(selector.ChooseHub(kHubs, kStart) == kHubs[1]);
  CPPUNIT_ASSERT(!selector.MustReadStore(kStart + milliseconds(100)));
  selector.RecordFresh(kHubs[1], kStart + milliseconds(150));
  CPPUNIT_ASSERT(!selector.MustReadStore(kStart + milliseconds(600)));
}

void TwoFailedHubsMakeItRead() {
  UpstreamSelector selector(0.0);
  selector.RecordFresh(kHubs[0], kStart);
  selector.RecordFault(kHubs[0], kStart);
  selector.RecordFault(kHubs[1], kStart + milliseconds(50));
  CPPUNIT_ASSERT(!selector.ChooseHub(kHubs, kStart + milliseconds(60)));
  CPPUNIT_ASSERT(selector.MustReadStore(kStart + milliseconds(600)));
  // A failed hub is tried again.
  CPPUNIT_ASSERT(selector.ChooseHub(kHubs, kStart + milliseconds(1500)));
}

/** A hundred gateways lose their hub at the same moment. */
void ReadersOfTheStoreAreSpreadInTime() {
  std::map<int, int> readers;  // Within each 50 ms.
  for (int i = 0; i < 100; ++i) {
    UpstreamSelector selector(i / 100.0);
    selector.RecordFresh(kHubs[0], kStart);
    selector.RecordFault(kHubs[0], kStart);
    int time = 0;
    while (!selector.MustReadStore(kStart + milliseconds(time)))
      ++time;
    ++readers[time / 50];
  }
  for (const auto& [time, count] : readers)
    CPPUNIT_ASSERT(count <= 25);
}

void StartWaitsForASeed() {
  UpstreamSelector selector(0.0);
  selector.ExpectHub(kStart + milliseconds(400));
  CPPUNIT_ASSERT(!selector.MustReadStore(kStart + milliseconds(300)));
  CPPUNIT_ASSERT(selector.MustReadStore(kStart + milliseconds(400)));
}

FeedRecord SampleRecord() {
  FeedRecord record;
  record.is_fresh = true;
  record.is_snapshot = true;
  record.position = {77, 3};
  record.items.revision = {3, 12};
  record.items.items = {
      {"op/config", std::string(100000, 'x') + "end", {2, 11}, false},
      {"servers/e", std::string("\0\xff", 2), {3, 12}, false},
      {"servers/gone", "", {0, 10}, true}};
  return record;
}

void CheckSample(const FeedRecord& decoded) {
  const FeedRecord expected = SampleRecord();
  CPPUNIT_ASSERT(decoded.is_fresh && decoded.is_snapshot);
  CPPUNIT_ASSERT(decoded.position == expected.position);
  CPPUNIT_ASSERT(expected.items.revision == decoded.items.revision);
  CPPUNIT_ASSERT_EQUAL(expected.items.items.size(), decoded.items.items.size());
  for (std::size_t i = 0; i < expected.items.items.size(); ++i) {
    CPPUNIT_ASSERT_EQUAL(expected.items.items[i].key,
                         decoded.items.items[i].key);
    CPPUNIT_ASSERT_EQUAL(expected.items.items[i].value,
                         decoded.items.items[i].value);
    CPPUNIT_ASSERT(expected.items.items[i].revision ==
                   decoded.items.items[i].revision);
    CPPUNIT_ASSERT_EQUAL(expected.items.items[i].removed,
                         decoded.items.items[i].removed);
  }
}

void FramesSurviveAnySplit() {
  const std::string frame = EncodeFeedFrame(SampleRecord());
  CPPUNIT_ASSERT_MESSAGE("large values are compressed", frame.size() < 2000);
  FeedFrameReader reader;
  std::size_t records = 0;
  const std::string both = frame + frame;
  for (std::size_t i = 0; i < both.size(); i += 7) {
    reader.Append(std::string_view(both).substr(i, 7));
    while (const auto record = reader.Next()) {
      CheckSample(*record);
      ++records;
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records);
}

void RandomBytesAreNoFrames() {
  const auto bytes =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  FeedFrameReader reader;
  reader.Append(bytes);
  try {
    while (reader.Next()) {
    }
  } catch (const MalformedFeed&) {
    return;
  }
}

void RandomBytesAreNoMessages() {
  const auto bytes =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  try {
    DecodeGatewayMessage(bytes);
  } catch (const MalformedGatewayMessage&) {
    return;
  }
}

void MessagesSurviveEncoding() {
  GatewayMessage message;
  message.kind = GatewayMessageKind::kView;
  message.sender = MemberOf(1, "b", 200);
  message.leader = AddressOf(3);
  message.sequence = 5;
  message.acknowledged = 4;
  message.revision = {2, 9};
  message.gateway_count = 103;
  message.roster = {{MemberOf(2), milliseconds(150)}};
  message.uses = UseOf(3);
  message.segments = {{kEndpoint, 0xffffffffffffffffULL}};
  const GatewayMessage decoded =
      DecodeGatewayMessage(EncodeGatewayMessage(message));
  CPPUNIT_ASSERT(decoded.kind == message.kind);
  CPPUNIT_ASSERT_EQUAL(message.sender.address, decoded.sender.address);
  CPPUNIT_ASSERT(decoded.sender.failure_domain == FailureDomainId("b"));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, decoded.sender.capacity);
  CPPUNIT_ASSERT_EQUAL(AddressOf(3), decoded.leader);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, decoded.acknowledged);
  CPPUNIT_ASSERT_EQUAL(std::size_t{103}, decoded.gateway_count);
  CPPUNIT_ASSERT(decoded.revision == message.revision);
  CPPUNIT_ASSERT(decoded.roster.at(0).age == milliseconds(150));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, decoded.uses->at(kEndpoint).requests);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xffffffffffffffffULL},
                       decoded.segments.at(0).segment);
  message.uses.reset();
  CPPUNIT_ASSERT(!DecodeGatewayMessage(EncodeGatewayMessage(message)).uses);
}

const Story kStory("gateway_hubs", [] {
  return Section(
      "given gateways whose hubs know more than the others",
      {Section(
           "when a failure domain elects its hubs",
           {Then("all members elect the same", AllElectTheSameHubs),
            Then("the VMs with the most bandwidth are elected",
                 LargestVmsAreElected),
            Then("each failure domain has its own", OtherDomainsHaveTheirOwn),
            Then("the second replaces a silent leader",
                 SilentLeaderIsReplacedByTheSecond),
            Then("a draining gateway is none", DrainingGatewayIsNoHub),
            Then("older word does not revert newer word",
                 OlderWordDoesNotRevert),
            Then("a restart is news once", RestartIsNewsOnce)}),
       Section(
           "when loads are summed",
           {Then("the leader adds reports and digests",
                 LeaderSumsReportsAndDigests),
            Then("a member subtracts its own requests as reported",
                 MemberSubtractsWhatTheViewIncludes),
            Then("no load is negative", LoadsAreNeverNegative),
            Then("a new leader uses its own sums", ANewLeaderUsesItsOwnSums)}),
       Section(
           "when a gateway needs the published items",
           {Then("followers are spread over the hubs",
                 FollowersAreSpreadOverTheHubs),
            Then("a follower of a fresh hub leaves the store alone",
                 FollowerOfAFreshHubDoesNotRead),
            Then("a silent hub is given up in time", SilentHubIsGivenUpInTime),
            Then("another hub is tried before the store",
                 FailedHubIsReplacedBeforeTheStoreIsRead),
            Then("the store is read if both hubs fail",
                 TwoFailedHubsMakeItRead),
            Then("gateways that lose a hub read at different times",
                 ReadersOfTheStoreAreSpreadInTime),
            Then("a process that starts waits for a seed",
                 StartWaitsForASeed)}),
       Section("when messages are encoded",
               {Then("a feed survives any split", FramesSurviveAnySplit),
                Always("random bytes are no record", RandomBytesAreNoFrames),
                Always("random bytes are no message", RandomBytesAreNoMessages),
                Then("a datagram is decoded as it was",
                     MessagesSurviveEncoding)})});
});

}  // namespace

}  // namespace buckthornpath
