/** @file stream_versions.cc What proves the software version of a stream. */

#include <cppunit/TestAssert.h>

#include <chrono>
#include <string>

#include "buckthornpath/endpoint_selector.h"
#include "buckthornpath/stream_origins.h"
#include "buckthornpath/version_history.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

const TimePoint kStart{std::chrono::hours(1)};
const ServiceName kService("llm");
const ServiceName kOtherService("ledger");
const StreamOrigin kOld{kService, "v1"};
const StreamOrigin kNew{kService, "v2"};

StreamRecord Record(const std::string& request_id, const StreamOrigin& origin) {
  return {StreamKeyOf(request_id), origin};
}

void OriginIsKnownByTheFirstRequest() {
  StreamOrigins origins;
  origins.RecordOwn(Record("a", kOld), kStart);
  origins.RecordPeer(Record("b", kNew), kStart);
  CPPUNIT_ASSERT(origins.Find(StreamKeyOf("a"), kStart) == kOld);
  CPPUNIT_ASSERT(origins.Find(StreamKeyOf("b"), kStart) == kNew);
  CPPUNIT_ASSERT(!origins.Find(StreamKeyOf("c"), kStart));
}

void OwnStreamsAreAnnouncedOnce() {
  StreamOrigins origins;
  origins.RecordOwn(Record("a", kOld), kStart);
  origins.RecordPeer(Record("b", kNew), kStart);
  const auto first = origins.TakeUnannounced();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
  CPPUNIT_ASSERT(first.front().origin == kOld);
  CPPUNIT_ASSERT(origins.TakeUnannounced().empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origins.NewestOwn(8, kStart).size());
}

void ContradictionProvesNothing() {
  StreamOrigins origins;
  origins.RecordOwn(Record("a", kOld), kStart);
  origins.RecordPeer(Record("a", kNew), kStart);
  CPPUNIT_ASSERT(!origins.Find(StreamKeyOf("a"), kStart));
  origins.RecordPeer(Record("a", kOld), kStart);
  CPPUNIT_ASSERT(!origins.Find(StreamKeyOf("a"), kStart));
  CPPUNIT_ASSERT(origins.NewestOwn(8, kStart).empty());
}

void UnknownVersionIsNotRecorded() {
  StreamOrigins origins;
  origins.RecordOwn(Record("a", {kService, ""}), kStart);
  CPPUNIT_ASSERT(!origins.Find(StreamKeyOf("a"), kStart));
  CPPUNIT_ASSERT(origins.TakeUnannounced().empty());
}

void OldRecordsMakeRoom() {
  StreamOrigins origins;
  const std::size_t count = StreamOrigins::kMaxStreams + 10;
  for (std::size_t i = 0; i < count; ++i) {
    origins.RecordOwn(Record(std::to_string(i), i % 2 == 0 ? kOld : kNew),
                      kStart + milliseconds(i));
  }
  const TimePoint end = kStart + milliseconds(count);
  CPPUNIT_ASSERT_EQUAL(StreamOrigins::kMaxStreams, origins.Size());
  CPPUNIT_ASSERT(!origins.Find(StreamKeyOf("9"), end));
  CPPUNIT_ASSERT(origins.Find(StreamKeyOf("10"), end) == kOld);
  CPPUNIT_ASSERT_EQUAL(StreamOrigins::kMaxUnannounced,
                       origins.TakeUnannounced().size());
}

void RecordsExpire() {
  StreamOrigins origins;
  origins.RecordOwn(Record("a", kOld), kStart);
  origins.RecordOwn(Record("b", kOld), kStart);
  const TimePoint later = kStart + StreamOrigins::kLifetime - seconds(1);
  origins.RecordOwn(Record("a", kOld), later);
  const TimePoint end = kStart + StreamOrigins::kLifetime;
  CPPUNIT_ASSERT(origins.Find(StreamKeyOf("a"), end) == kOld);
  CPPUNIT_ASSERT(!origins.Find(StreamKeyOf("b"), end));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origins.NewestOwn(8, end).size());
}

constexpr seconds kSpan{30};

/** The history of a process that follows the entries. */
class Follower : public VersionHistory {
 public:
  Follower() { this->RecordConfirmation(this->now); }

  void Publish(const std::string& id,
               const std::string& version,
               const ServiceName& service = kService) {
    this->RecordPublished(EndpointId(id), service, version, this->now);
  }

  void Withdraw(const std::string& id) {
    this->RecordWithdrawn(EndpointId(id), this->now);
  }

  void Follow(milliseconds time) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(500))
      this->RecordConfirmation(this->now);
  }

  std::string Sole() const {
    return this->SoleVersion(kService, kSpan, this->now).value_or("");
  }

  TimePoint now = kStart;
};

void SoleVersionIsProvenOverTime() {
  Follower follower;
  follower.Publish("e1", "v1");
  follower.Publish("e2", "v1");
  follower.Publish("other", "v7", kOtherService);
  follower.Follow(kSpan - seconds(1));
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
  follower.Follow(seconds(2));
  CPPUNIT_ASSERT_EQUAL(std::string("v1"), follower.Sole());
}

void VersionThatHasGoneStillCounts() {
  Follower follower;
  follower.Publish("e1", "v1");
  follower.Publish("e2", "v2");
  follower.Follow(2 * kSpan);
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
  follower.Withdraw("e1");
  follower.Follow(kSpan - seconds(1));
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
  follower.Follow(seconds(2));
  CPPUNIT_ASSERT_EQUAL(std::string("v2"), follower.Sole());
  // The same endpoint, as a new process.
  follower.Publish("e2", "v3");
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
}

void GapProvesNothing() {
  Follower follower;
  follower.Publish("e1", "v1");
  follower.Follow(2 * kSpan);
  follower.now += VersionHistory::kMaxUnconfirmed + milliseconds(1);
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
  follower.Follow(kSpan - seconds(1));
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
  follower.Follow(seconds(2));
  CPPUNIT_ASSERT_EQUAL(std::string("v1"), follower.Sole());
  follower.RecordGap(follower.now);
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
}

/** A gateway whose reads of the store take turns with lists is in touch. */
void ConfirmationsInTimeAreNoGap() {
  Follower follower;
  follower.Publish("e1", "v1");
  for (int i = 0; i < 40; ++i) {
    follower.now += milliseconds(2000);
    follower.RecordConfirmation(follower.now);
  }
  CPPUNIT_ASSERT_EQUAL(std::string("v1"), follower.Sole());
}

void EntryWithoutVersionProvesNothing() {
  Follower follower;
  follower.Publish("e1", "");
  follower.Follow(2 * kSpan);
  CPPUNIT_ASSERT_EQUAL(std::string(), follower.Sole());
}

EndpointEntry Entry(const std::string& id, const std::string& version) {
  EndpointEntry entry;
  entry.id = EndpointId(id);
  entry.service = kService;
  entry.address = "10.0.0.1:1";
  entry.failure_domain = FailureDomainId("a");
  entry.slots = 4;
  entry.version = version;
  return entry;
}

void OnlyItsVersionIsChosen() {
  EndpointSelector selector(FailureDomainId("a"), EndpointSelectorLimits{});
  selector.Publish(Entry("old", "v1"));
  selector.Publish(Entry("new", "v2"));
  const auto has_room = [](const EndpointState&) { return true; };
  const std::string old_version = "v1";
  const std::string gone_version = "v0";
  EndpointQuery query{.service = kService, .version = &old_version};
  for (int i = 0; i < 3; ++i) {
    const EndpointHandle chosen = selector.Choose(query, kStart, has_room);
    CPPUNIT_ASSERT(chosen && chosen->Entry().id == EndpointId("old"));
    selector.RecordStart(*chosen, {}, kStart);
  }
  CPPUNIT_ASSERT(selector.HasAvailableEndpoint(query, kStart, kStart));
  query.version = &gone_version;
  CPPUNIT_ASSERT(!selector.Choose(query, kStart, has_room));
  CPPUNIT_ASSERT(!selector.HasAvailableEndpoint(query, kStart, kStart));
}

/** A request that waits for an endpoint that it must not use waits in vain. */
void ExcludedEndpointIsNotAwaited() {
  EndpointSelector selector(FailureDomainId("a"), EndpointSelectorLimits{});
  selector.Publish(Entry("old", "v1"));
  const std::vector<EndpointId> excluded = {EndpointId("old")};
  CPPUNIT_ASSERT(!selector.HasAvailableEndpoint(
      {.service = kService, .excluded = excluded}, kStart,
      kStart + std::chrono::hours(1)));
}

const Story kStory("stream_versions", [] {
  return Section(
      "given streams that endpoints of several software versions begin",
      {Section(
           "when what began them is recorded",
           {Then("it is known by the request that brought the first event",
                 OriginIsKnownByTheFirstRequest),
            Then("own streams are announced once", OwnStreamsAreAnnouncedOnce),
            Then("contradictory records prove nothing",
                 ContradictionProvesNothing),
            Then("an unknown version is not recorded",
                 UnknownVersionIsNotRecorded),
            Then("old records make room", OldRecordsMakeRoom),
            Then("records expire", RecordsExpire)}),
       Section("when nothing is recorded",
               {Then("the sole version of a long time is proven",
                     SoleVersionIsProvenOverTime),
                Then("a version that has gone counts for that time",
                     VersionThatHasGoneStillCounts),
                Then("a gap proves nothing", GapProvesNothing),
                Then("confirmations in time are no gap",
                     ConfirmationsInTimeAreNoGap),
                Then("an entry without a version proves nothing",
                     EntryWithoutVersionProvesNothing)}),
       Section("when a stream goes on",
               {Then("only endpoints of its version are chosen",
                     OnlyItsVersionIsChosen),
                Then("an endpoint that it must not use is not awaited",
                     ExcludedEndpointIsNotAwaited)})});
});

}  // namespace

}  // namespace buckthornpath
