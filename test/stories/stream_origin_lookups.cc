/** @file stream_origin_lookups.cc What gateways tell and ask each other about
 * streams, without a network. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "buckthornpath/stream_origin_lookups.h"
#include "buckthornpath/stream_outbox.h"
#include "buckthornpath/stream_witnesses.h"
#include "gateway/gateway_message.h"
#include "harness/property.h"
#include "harness/story.h"
#include "harness/stream_records.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using Lookups = StreamOriginLookups;

const TimePoint kStart{std::chrono::hours(1)};
const std::vector<std::string> kGateways = {"a", "b", "c"};

// The outbox.

void FirstRecordLeavesAtOnce() {
  StreamOutbox outbox;
  CPPUNIT_ASSERT(!outbox.NextAt());
  outbox.Add(Records(0, 1));
  CPPUNIT_ASSERT(outbox.NextAt() <= kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.TakeRound(kStart).size());
}

void RecordsThatFollowLeaveTogether() {
  StreamOutbox outbox;
  outbox.Add(Records(0, 1));
  outbox.TakeRound(kStart);
  outbox.Add(Records(1, 1));
  outbox.Add(Records(2, 1));
  const TimePoint next = kStart + StreamOutbox::kMinInterval;
  CPPUNIT_ASSERT(outbox.NextAt() == next);
  CPPUNIT_ASSERT(outbox.TakeRound(next - milliseconds(1)).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox.TakeRound(next).size());
}

void EachRecordIsSentTwice() {
  StreamOutbox outbox;
  outbox.Add(Records(0, 2));
  outbox.TakeRound(kStart);
  const TimePoint repeat = kStart + StreamOutbox::kMaxRepeatDelay;
  CPPUNIT_ASSERT(outbox.NextAt() == repeat);
  CPPUNIT_ASSERT(outbox.TakeRound(repeat - milliseconds(1)).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox.TakeRound(repeat).size());
  CPPUNIT_ASSERT(!outbox.NextAt());
  CPPUNIT_ASSERT(outbox.TakeRound(repeat + std::chrono::hours(1)).empty());
}

/** Datagrams that follow each other closely are lost together. */
void RepeatsShareLaterDatagrams() {
  StreamOutbox outbox;
  outbox.Add(Records(0, 1));
  outbox.TakeRound(kStart);
  outbox.Add(Records(1, 1));
  const TimePoint early =
      kStart + StreamOutbox::kMinRepeatDelay - milliseconds(1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.TakeRound(early).size());
  outbox.Add(Records(2, 1));
  // The third one, and the first one again.
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{2},
      outbox.TakeRound(early + StreamOutbox::kMinInterval).size());
}

void RoundsAreBounded() {
  StreamOutbox outbox;
  outbox.Add(Records(0, StreamOutbox::kMaxWaiting + 10));
  std::vector<std::uint64_t> sent;
  TimePoint now = kStart;
  for (; outbox.NextAt(); now = std::max(now, outbox.NextAt().value_or(now))) {
    const std::vector<StreamRecord> round = outbox.TakeRound(now);
    CPPUNIT_ASSERT(!round.empty());
    CPPUNIT_ASSERT(round.size() <= 2 * StreamOutbox::kMaxPerRound);
    for (const StreamRecord& record : round)
      sent.push_back(record.stream.high);
  }
  CPPUNIT_ASSERT_EQUAL(2 * StreamOutbox::kMaxWaiting, sent.size());
  const auto rounds =
      static_cast<int>(StreamOutbox::kMaxWaiting / StreamOutbox::kMaxPerRound);
  CPPUNIT_ASSERT(now - kStart <= rounds * StreamOutbox::kMinInterval +
                                     StreamOutbox::kMaxRepeatDelay);
  // The oldest ones have been left out.
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{10},
                       *std::min_element(sent.begin(), sent.end()));
}

// Lookups.

/** One lookup of the stream 1, begun at kStart. */
struct OneLookup {
  OneLookup() {
    CPPUNIT_ASSERT(this->lookups.Begin(Key(1), kGateways, kStart));
  }

  /** @return Gateways that are asked now. */
  std::vector<std::string> AskedAt(milliseconds time) {
    std::vector<std::string> asked;
    for (const auto& [gateway, streams] :
         this->lookups.TakeQuestions(kStart + time)) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, streams.size());
      asked.push_back(gateway);
    }
    return asked;
  }

  void Answer(const std::string& gateway,
              const std::optional<StreamOrigin>& origin,
              milliseconds time) {
    this->lookups.RecordAnswer(gateway, Key(1), {.origin = origin},
                               kStart + time);
  }

  /** @return How the lookup has ended; nothing if it goes on. */
  std::optional<LookupEnd> EndAt(milliseconds time) {
    const auto ended = this->lookups.TakeEnded(kStart + time);
    if (ended.empty())
      return std::nullopt;
    this->origin = ended.front().origin;
    return ended.front().end;
  }

  Lookups lookups;
  std::optional<StreamOrigin> origin;
};

constexpr milliseconds kAnswerTime{3};

void AllAreAskedAtOnce() {
  OneLookup lookup;
  CPPUNIT_ASSERT(lookup.lookups.NextAt() <= kStart);
  CPPUNIT_ASSERT(lookup.AskedAt(milliseconds(0)) == kGateways);
  CPPUNIT_ASSERT(lookup.AskedAt(Lookups::kRoundInterval).empty());
}

void RecordIsFoundOnceAllHaveAnswered() {
  OneLookup lookup;
  lookup.AskedAt(milliseconds(0));
  lookup.Answer("b", kOld, kAnswerTime);
  lookup.Answer("a", std::nullopt, kAnswerTime);
  CPPUNIT_ASSERT(!lookup.EndAt(kAnswerTime));
  lookup.Answer("c", kOld, kAnswerTime);
  CPPUNIT_ASSERT(lookup.lookups.NextAt() <= kStart + kAnswerTime);
  CPPUNIT_ASSERT(lookup.EndAt(kAnswerTime) == LookupEnd::kFound);
  CPPUNIT_ASSERT(lookup.origin == kOld);
  CPPUNIT_ASSERT(!lookup.lookups.NextAt());
}

void RecordIsFoundThoughOthersAreSilent() {
  OneLookup lookup;
  lookup.AskedAt(milliseconds(0));
  lookup.Answer("b", kOld, kAnswerTime);
  const milliseconds end = kAnswerTime + Lookups::kSettleTime;
  CPPUNIT_ASSERT(lookup.lookups.NextAt() == kStart + end);
  CPPUNIT_ASSERT(!lookup.EndAt(end - milliseconds(1)));
  CPPUNIT_ASSERT(lookup.EndAt(end) == LookupEnd::kFound);
  CPPUNIT_ASSERT(lookup.origin == kOld);
}

void UnknownStreamEndsAtTheLastAnswer() {
  OneLookup lookup;
  lookup.AskedAt(milliseconds(0));
  for (const std::string& gateway : kGateways) {
    CPPUNIT_ASSERT(!lookup.EndAt(kAnswerTime));
    lookup.Answer(gateway, std::nullopt, kAnswerTime);
  }
  CPPUNIT_ASSERT(lookup.EndAt(kAnswerTime) == LookupEnd::kUnknown);
}

void SilentGatewaysAreAskedOnceMore() {
  OneLookup lookup;
  lookup.AskedAt(milliseconds(0));
  lookup.Answer("b", std::nullopt, kAnswerTime);
  CPPUNIT_ASSERT(lookup.lookups.NextAt() == kStart + Lookups::kRepeatDelay);
  CPPUNIT_ASSERT(lookup.AskedAt(Lookups::kRepeatDelay) ==
                 std::vector<std::string>({"a", "c"}));
  CPPUNIT_ASSERT(lookup.AskedAt(2 * Lookups::kRepeatDelay).empty());
  CPPUNIT_ASSERT(lookup.lookups.NextAt() == kStart + Lookups::kTimeout);
  CPPUNIT_ASSERT(!lookup.EndAt(Lookups::kTimeout - milliseconds(1)));
  CPPUNIT_ASSERT(lookup.EndAt(Lookups::kTimeout) == LookupEnd::kTimedOut);
}

void ContradictoryRecordsProveNothing() {
  OneLookup lookup;
  lookup.AskedAt(milliseconds(0));
  lookup.Answer("a", kOld, kAnswerTime);
  CPPUNIT_ASSERT(!lookup.EndAt(kAnswerTime));
  lookup.Answer("b", kNew, kAnswerTime);
  CPPUNIT_ASSERT(lookup.EndAt(kAnswerTime) == LookupEnd::kContradictory);
  CPPUNIT_ASSERT(!lookup.origin);
}

void ContradictionElsewhereProvesNothing() {
  OneLookup lookup;
  lookup.AskedAt(milliseconds(0));
  lookup.Answer("a", kOld, kAnswerTime);
  lookup.lookups.RecordAnswer("b", Key(1),
                              {.origin = {}, .is_contradictory = true},
                              kStart + kAnswerTime);
  CPPUNIT_ASSERT(lookup.EndAt(kAnswerTime) == LookupEnd::kContradictory);
  StreamOrigins origins;
  origins.RecordPeer({Key(1), kOld}, kStart);
  origins.RecordContradiction(Key(1), kStart);
  CPPUNIT_ASSERT(!origins.Find(Key(1), kStart));
  CPPUNIT_ASSERT(origins.IsContradictory(Key(1), kStart));
  origins.RecordContradiction(Key(2), kStart);
  origins.RecordPeer({Key(2), kOld}, kStart);
  CPPUNIT_ASSERT(!origins.Find(Key(2), kStart));
  CPPUNIT_ASSERT(!origins.IsContradictory(Key(3), kStart));
}

void AnswersOfNoLookupAreNoted() {
  OneLookup lookup;
  CPPUNIT_ASSERT(
      !lookup.lookups.RecordAnswer("a", Key(2), {.origin = kOld}, kStart));
}

void LookupsAreBounded() {
  Lookups lookups;
  for (std::size_t i = 0; i < Lookups::kMaxLookups; ++i)
    CPPUNIT_ASSERT(lookups.Begin(Key(i), kGateways, kStart));
  CPPUNIT_ASSERT(!lookups.Begin(Key(Lookups::kMaxLookups), kGateways, kStart));
  // Another request for the same stream joins.
  CPPUNIT_ASSERT(lookups.Begin(Key(0), kGateways, kStart));
  CPPUNIT_ASSERT_EQUAL(Lookups::kMaxLookups, lookups.Count());
  std::set<StreamKey> asked;
  TimePoint now = kStart;
  while (asked.size() < Lookups::kMaxLookups) {
    const Lookups::Questions questions = lookups.TakeQuestions(now);
    CPPUNIT_ASSERT_EQUAL(kGateways.size(), questions.size());
    for (const auto& [gateway, streams] : questions) {
      CPPUNIT_ASSERT(streams.size() <= Lookups::kMaxPerRound);
      asked.insert(streams.begin(), streams.end());
    }
    CPPUNIT_ASSERT(lookups.TakeQuestions(now).empty());
    now += Lookups::kRoundInterval;
  }
  CPPUNIT_ASSERT(now - kStart <=
                 Lookups::kRoundInterval *
                     (Lookups::kMaxLookups / Lookups::kMaxPerRound));
  CPPUNIT_ASSERT_EQUAL(Lookups::kMaxLookups,
                       lookups.TakeEnded(kStart + Lookups::kTimeout).size());
  CPPUNIT_ASSERT(lookups.Begin(Key(Lookups::kMaxLookups), kGateways, now));
}

void NobodyToAskEndsAtOnce() {
  Lookups lookups;
  CPPUNIT_ASSERT(!lookups.Begin(Key(1), {}, kStart));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lookups.Count());
}

// Who is told and asked.

/** @return The roster of gateway 1; the others follow in these domains. */
GatewayRoster RosterOf(const std::vector<std::string>& domains) {
  GatewayRoster roster(Member(domains.front(), 1));
  for (std::size_t i = 1; i < domains.size(); ++i)
    roster.RecordContact(Member(domains[i], i + 1), kStart);
  return roster;
}

std::multiset<std::string> DomainsOf(
    const GatewayRoster& roster,
    const std::vector<std::string>& addresses) {
  std::multiset<std::string> domains;
  for (const std::string& address : addresses)
    domains.insert(roster.Others().at(address).member.failure_domain.str());
  return domains;
}

void SmallFleetTellsAnotherDomain() {
  const GatewayRoster roster = RosterOf({"b", "b", "a", "c", "c", ""});
  CPPUNIT_ASSERT(DomainsOf(roster, StreamWitnesses(roster)) ==
                 std::multiset<std::string>({"b", "c"}));
  // Version 1 knows nothing of streams.
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, GatewaysToAsk(roster).size());
}

void LoneGatewayOfADomainTellsTwo() {
  const GatewayRoster roster = RosterOf({"c", "a", "a", "b"});
  CPPUNIT_ASSERT(DomainsOf(roster, StreamWitnesses(roster)) ==
                 std::multiset<std::string>({"a", "b"}));
  const GatewayRoster pair = RosterOf({"c", "a", "a"});
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, StreamWitnesses(pair).size());
  const GatewayRoster alone = RosterOf({"c"});
  CPPUNIT_ASSERT(StreamWitnesses(alone).empty());
  CPPUNIT_ASSERT(GatewaysToAsk(alone).empty());
  const GatewayRoster one_domain = RosterOf({"a", "a", "a", "a"});
  CPPUNIT_ASSERT(StreamWitnesses(one_domain).size() >= 2);
}

void LargeFleetTellsAndAsksHubsOnly() {
  std::vector<std::string> domains;
  domains.reserve(60);
  for (int i = 0; i < 20; ++i)
    domains.insert(domains.end(), {"a", "b", "c"});
  const GatewayRoster roster = RosterOf(domains);
  const std::vector<std::string> witnesses = StreamWitnesses(roster);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, witnesses.size());
  if (!roster.IsHub())
    CPPUNIT_ASSERT(witnesses == roster.HubsOf(FailureDomainId("a")));
  CPPUNIT_ASSERT(GatewaysToAsk(roster).size() <=
                 3 * GatewayRoster::kHubsPerDomain);
  for (const std::string& witness : witnesses) {
    const std::vector<std::string> asked = GatewaysToAsk(roster);
    CPPUNIT_ASSERT(std::find(asked.begin(), asked.end(), witness) !=
                   asked.end());
  }
}

/** Whatever the roster, a gateway that takes a stream up asks a witness of the
 * gateway that began it, or is one. */
void WitnessesAreAsked() {
  const auto domain_numbers = *rc::gen::nonEmpty<std::vector<std::uint8_t>>();
  const auto domain_count = *rc::gen::inRange(1, 6);
  std::vector<GatewayMember> members;
  std::set<std::string> domains;
  members.reserve(domain_numbers.size());
  for (const std::uint8_t number : domain_numbers) {
    const std::string domain = "d" + std::to_string(number % domain_count);
    domains.insert(domain);
    members.push_back(Member(domain, members.size() + 1));
  }
  const auto roster_of = [&](const GatewayMember& self) {
    GatewayRoster roster(self);
    for (const GatewayMember& other : members)
      roster.RecordContact(other, kStart);
    return roster;
  };
  const std::vector<std::string> witnesses =
      StreamWitnesses(roster_of(members.front()));
  if (domains.size() > 1 || members.size() <= 16) {
    RC_ASSERT(witnesses.size() >= std::min<std::size_t>(2, members.size() - 1));
  }
  RC_ASSERT(witnesses.size() <= 3);
  for (const GatewayMember& member : members) {
    const std::vector<std::string> asked = GatewaysToAsk(roster_of(member));
    for (const std::string& witness : witnesses) {
      RC_ASSERT(witness == member.address ||
                std::find(asked.begin(), asked.end(), witness) != asked.end());
    }
  }
}

// Datagrams.

StreamNews NewsOf(std::vector<StreamRecord> records) {
  StreamNews news;
  news.records = std::move(records);
  return news;
}

GatewayMessage MessageWith(const StreamNews& news) {
  GatewayMessage message;
  message.kind = GatewayMessageKind::kView;
  message.sender = Member("a", 1);
  message.streams = news;
  return message;
}

void NewsSurvivesEncoding() {
  StreamNews news;
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  news.records = {{{kMax, 0}, kOld}, {{1, kMax}, kNew}, {{2, 3}, kOld}};
  news.questions = {{4, 5}};
  news.unknown = {{6, 7}, {8, 9}};
  news.contradictory = {{10, 11}};
  const StreamNews decoded =
      DecodeGatewayMessage(EncodeGatewayMessage(MessageWith(news))).streams;
  CPPUNIT_ASSERT_EQUAL(news.Count(), decoded.Count());
  for (const StreamRecord& record : news.records) {
    CPPUNIT_ASSERT(std::any_of(decoded.records.begin(), decoded.records.end(),
                               [&](const StreamRecord& other) {
                                 return other.stream == record.stream &&
                                        other.origin == record.origin;
                               }));
  }
  CPPUNIT_ASSERT(decoded.questions == news.questions);
  CPPUNIT_ASSERT(decoded.unknown == news.unknown);
  CPPUNIT_ASSERT(decoded.contradictory == news.contradictory);
}

/** A gateway without this part takes a contact from the datagram, no more. */
void OtherPartsAreAsIfThereWereNoNews() {
  const GatewayMessage decoded = DecodeGatewayMessage(
      EncodeGatewayMessage(MessageWith(NewsOf(Records(0, 3)))));
  CPPUNIT_ASSERT(decoded.kind == GatewayMessageKind::kView);
  CPPUNIT_ASSERT(!decoded.uses && decoded.roster.empty() &&
                 decoded.segments.empty() && decoded.quarantine.IsEmpty());
  const std::string without = EncodeGatewayMessage(MessageWith(StreamNews{}));
  CPPUNIT_ASSERT(without.find("streams") == std::string::npos);
}

void MalformedNewsIsRefused() {
  const json pair = {1, 2};
  const std::vector<json> malformed = {{{"begun", "x"}},
                                       {{"begun", {{"llm"}}}},
                                       {{"begun", {{"llm", "v1", {1}}}}},
                                       {{"begun", {{"llm", "v1", {1, "x"}}}}},
                                       {{"begun", {{"llm", 1, pair}}}},
                                       {{"begun", {pair}}},
                                       {{"asked", {1, 2, 3}}},
                                       {{"asked", {{1, 2}, {3, 4}}}},
                                       {{"asked", "text"}},
                                       {{"unknown", 7}},
                                       {{"contradictory", {nullptr, nullptr}}},
                                       json::array({1, 2}),
                                       json("text"),
                                       json(nullptr)};
  for (const json& news : malformed) {
    json message = json::from_cbor(
        EncodeGatewayMessage(MessageWith(NewsOf(Records(0, 1)))));
    message["streams"] = news;
    std::string bytes;
    json::to_cbor(message, bytes);
    try {
      DecodeGatewayMessage(bytes);
    } catch (const MalformedGatewayMessage&) {
      continue;
    }
    CPPUNIT_FAIL(news.dump());
  }
}

void OddNamesAreLeftOut() {
  const std::string long_name(StreamNews::kMaxNameBytes + 1, 'x');
  const json pair = {1, 2};
  const StreamNews news = DecodeStreamNews({{"begun",
                                             {{"llm", long_name, pair},
                                              {long_name, "v1", pair},
                                              {"", "v1", pair},
                                              {"llm", "", pair},
                                              {"llm", "v1", {3, 4}}}}});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.Count());
  CPPUNIT_ASSERT(news.records.front().origin == kOld);
}

void StreamsOfADatagramAreBounded() {
  json keys = json::array();
  for (std::size_t i = 0; i < StreamNews::kMaxStreams; ++i) {
    keys.push_back(i);
    keys.push_back(i);
  }
  CPPUNIT_ASSERT_EQUAL(StreamNews::kMaxStreams,
                       DecodeStreamNews({{"asked", keys}}).Count());
  bool is_refused = false;
  try {
    DecodeStreamNews({{"asked", keys}, {"begun", {{"llm", "v1", {1, 2}}}}});
  } catch (const std::invalid_argument&) {
    is_refused = true;
  }
  CPPUNIT_ASSERT(is_refused);
}

CppUnit::Test* OutboxSection() {
  return Section(
      "when own streams are announced",
      {Then("the first record leaves at once", FirstRecordLeavesAtOnce),
       Then("those that follow soon leave together",
            RecordsThatFollowLeaveTogether),
       Then("each is sent twice", EachRecordIsSentTwice),
       Then("repeats share datagrams, but for the next ones",
            RepeatsShareLaterDatagrams),
       Then("rounds are bounded", RoundsAreBounded)});
}

CppUnit::Test* LookupSection() {
  return Section(
      "when others are asked",
      {Then("all are asked at once", AllAreAskedAtOnce),
       Then("a record is found once all have answered",
            RecordIsFoundOnceAllHaveAnswered),
       Then("a record is found though others are silent",
            RecordIsFoundThoughOthersAreSilent),
       Then("an unknown stream ends at the last answer",
            UnknownStreamEndsAtTheLastAnswer),
       Then("silent gateways are asked once more",
            SilentGatewaysAreAskedOnceMore),
       Then("contradictory records prove nothing",
            ContradictoryRecordsProveNothing),
       Then("a contradiction elsewhere proves nothing",
            ContradictionElsewhereProvesNothing),
       Then("an answer of no lookup says so", AnswersOfNoLookupAreNoted),
       Then("lookups are bounded", LookupsAreBounded),
       Then("a lookup with nobody to ask ends at once",
            NobodyToAskEndsAtOnce)});
}

const Story kStory("stream_origin_lookups", [] {
  return Section(
      "given gateways that tell each other what has begun streams",
      {OutboxSection(), LookupSection(),
       Section("when witnesses are chosen",
               {Then("a small fleet tells another failure domain",
                     SmallFleetTellsAnotherDomain),
                Then("the only gateway of a failure domain tells two",
                     LoneGatewayOfADomainTellsTwo),
                Then("a large fleet tells and asks hubs only",
                     LargeFleetTellsAndAsksHubsOnly),
                Always("witnesses are asked", WitnessesAreAsked)}),
       Section("when datagrams arrive",
               {Then("news survives encoding", NewsSurvivesEncoding),
                Then("other parts are as if there were no news",
                     OtherPartsAreAsIfThereWereNoNews),
                Then("malformed news is refused", MalformedNewsIsRefused),
                Then("odd names are left out", OddNamesAreLeftOut),
                Then("streams of a datagram are bounded",
                     StreamsOfADatagramAreBounded)})});
});

}  // namespace

}  // namespace buckthornpath
