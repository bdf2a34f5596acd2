/** @file publication_history.cc The checker of the soak of published changes.
 */

#include "soak/publication_history.h"

#include <cppunit/TestAssert.h>

#include <algorithm>

#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Time = PublicationHistory::Time;

/** @return A time of the history, from its start. */
Time At(std::int64_t time_ms) {
  return Time(std::chrono::hours(1)) + milliseconds(time_ms);
}

/** A history of one gateway. At 10 s, version 2 adds /a/, moves /m/ from "old"
 * to "new" and drops /d/; versions 1 and 2 are confirmed. */
struct Recorded {
  Recorded() {
    this->history.RecordStart(0, At(0));
    this->history.RecordVersion(1, {{"/m/", "old"}, {"/d/", "old"}}, At(0),
                                At(1));
    this->history.RecordVersion(2, {{"/m/", "new"}, {"/a/", "new"}}, At(9999),
                                At(10000));
  }

  /** Records a request that a service has answered 10 ms after it was sent. */
  void Serve(const std::string& route,
             const std::string& service,
             std::int64_t sent_ms,
             const std::string& endpoint = "e") {
    const std::string id = "id-" + std::to_string(this->count++);
    this->history.RecordArrival(id, endpoint, service, At(sent_ms + 5));
    this->Call(id, route, sent_ms, 200);
  }

  void Refuse(const std::string& route, std::int64_t sent_ms) {
    this->Call("id-" + std::to_string(this->count++), route, sent_ms, 404);
  }

  /** @param status 0: the connection ends without an answer. */
  void Call(const std::string& id,
            const std::string& route,
            std::int64_t sent_ms,
            unsigned status) {
    PublicationCall call;
    call.id = id;
    call.route = route;
    call.sent_at = At(sent_ms);
    call.ended_at = At(sent_ms + 10);
    call.status = status;
    call.is_complete = status != 0;
    this->history.RecordCall(call);
  }

  void Disturb(Disturbed disturbed,
               std::int64_t begin_ms,
               std::int64_t end_ms,
               std::size_t gateway = 0) {
    this->history.EndDisturbance(
        this->history.BeginDisturbance(disturbed, gateway, At(begin_ms)),
        At(end_ms));
  }

  std::size_t Violations(const std::string& rule) const {
    const SoakResult result = this->history.Judge();
    return static_cast<std::size_t>(
        std::count_if(result.violations.begin(), result.violations.end(),
                      [&](const std::string& text) {
                        return text.find(": " + rule) != std::string::npos;
                      }));
  }

  PublicationHistory history;
  int count = 0;
};

/** Later than the time limit of version 2. */
constexpr std::int64_t kLate = 12001;

void LateVersionIsReported(std::int64_t sent_ms, std::size_t expected) {
  Recorded dropped;
  dropped.Serve("/d/", "old", sent_ms);
  CPPUNIT_ASSERT_EQUAL(expected, dropped.Violations("CONFIG"));
  Recorded moved;
  moved.Serve("/m/", "old", sent_ms);
  CPPUNIT_ASSERT_EQUAL(expected, moved.Violations("CONFIG"));
  Recorded added;
  added.Refuse("/a/", sent_ms);
  CPPUNIT_ASSERT_EQUAL(expected, added.Violations("CONFIG"));
}

void NewVersionIsAllowed() {
  Recorded recorded;
  recorded.Refuse("/d/", kLate);
  recorded.Serve("/m/", "new", kLate);
  recorded.Serve("/a/", "new", kLate);
  // As soon as it is being written.
  recorded.Serve("/m/", "new", 9998);
  CPPUNIT_ASSERT(recorded.history.Judge().violations.empty());
}

void VersionBeforeItIsWrittenIsReported() {
  Recorded recorded;
  recorded.Serve("/a/", "new", 9000);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded.Violations("CONFIG"));
}

std::size_t LateAfter(Disturbed disturbed,
                      std::int64_t end_ms,
                      std::size_t gateway = 0) {
  Recorded recorded;
  recorded.Disturb(disturbed, end_ms - 100, end_ms, gateway);
  recorded.Serve("/d/", "old", kLate + 2000);
  return recorded.Violations("CONFIG");
}

void DisturbanceExcusesForTheContactTime() {
  for (const Disturbed disturbed : {Disturbed::kProcess, Disturbed::kStop,
                                    Disturbed::kLink, Disturbed::kStore}) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, LateAfter(disturbed, kLate - 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, LateAfter(disturbed, kLate - 1001));
  }
}

void DisturbanceOfAnotherGatewayExcusesNothing() {
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       LateAfter(Disturbed::kProcess, kLate + 1000, 1));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                       LateAfter(Disturbed::kStore, kLate + 1000, 1));
}

/** The store loses version 2 at 11 s, and it is written again at 12 s. */
void LostVersionBindsOnceItIsWrittenAgain() {
  for (const auto& [sent_ms, expected] :
       {std::pair<std::int64_t, std::size_t>{13999, 0}, {14001, 1}}) {
    Recorded recorded;
    recorded.history.RecordReturn(At(9000), At(11000));
    recorded.history.RecordVersion(2, {}, At(11999), At(12000));
    recorded.Serve("/d/", "old", sent_ms);
    CPPUNIT_ASSERT_EQUAL(expected, recorded.Violations("CONFIG"));
  }
  Recorded kept;
  kept.history.RecordReturn(At(10001), At(11000));
  kept.Serve("/d/", "old", kLate);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.Violations("CONFIG"));
}

std::size_t RegressAt(std::int64_t sent_ms, std::int64_t restarted_ms) {
  Recorded recorded;
  // Out of touch all the while.
  recorded.Disturb(Disturbed::kStore, 0, 100000);
  recorded.Serve("/m/", "new", 10000);
  recorded.history.RecordStart(0, At(restarted_ms));
  recorded.Serve("/m/", "old", sent_ms);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, recorded.Violations("CONFIG"));
  return recorded.Violations("REGRESS");
}

void OlderVersionThanBeforeIsReported() {
  constexpr std::int64_t kNever = 90000;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RegressAt(10256, kNever));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RegressAt(10255, kNever));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RegressAt(10400, 10300));
}

/** @return Violations by a request that arrives some time after an endpoint's
 * leaving at 10 s was confirmed. */
std::size_t DrainAfter(std::int64_t after_ms, Recorded& recorded) {
  recorded.history.RecordLeaving("e/1", At(10000));
  recorded.Serve("/m/", "new", 10000 + after_ms - 5, "e/1");
  recorded.Serve("/m/", "new", 10000 + after_ms - 5, "e/2");
  return recorded.Violations("DRAIN");
}

void RequestToEndpointThatHasLeftIsReported() {
  Recorded late;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DrainAfter(2001, late));
  Recorded in_time;
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, DrainAfter(2000, in_time));
  Recorded disturbed;
  disturbed.Disturb(Disturbed::kStore, 11000, 11500);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, DrainAfter(4505, disturbed));
  Recorded calm;
  calm.Disturb(Disturbed::kStore, 11000, 11500);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DrainAfter(4506, calm));
}

/** The store is stable again at 12.5 s. */
void LeavingThatAnUnstableStoreConfirmsBindsOnceItIsStable() {
  Recorded unstable;
  unstable.Disturb(Disturbed::kStore, 9000, 9500);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, DrainAfter(4500, unstable));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DrainAfter(4501, unstable));
  Recorded twice;
  twice.Disturb(Disturbed::kStore, 9000, 9500);
  twice.Disturb(Disturbed::kStore, 11000, 11500);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, DrainAfter(6500, twice));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DrainAfter(6501, twice));
  Recorded stable;
  stable.Disturb(Disturbed::kStore, 6000, 6999);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DrainAfter(2001, stable));
}

/** A stable store confirms it at 5 s, loses it and confirms it again at 10 s.
 */
void LeavingThatIsConfirmedAgainBindsAtOnce() {
  Recorded recorded;
  recorded.history.RecordLeaving("e/1", At(5000));
  recorded.Disturb(Disturbed::kStore, 9000, 9500);
  recorded.history.RecordReturn(At(4000), At(9500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, DrainAfter(2000, recorded));
  // In touch since 12.5 s.
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DrainAfter(2506, recorded));
}

void LostLeavingBindsOnceItIsWrittenAgain() {
  Recorded lost;
  lost.history.RecordReturn(At(9000), At(11000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, DrainAfter(9000, lost));
  Recorded again;
  again.history.RecordReturn(At(9000), At(11000));
  again.history.RecordLeaving("e/1", At(12000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, DrainAfter(4000, again));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DrainAfter(4001, again));
}

void UnansweredRequestIsReported() {
  const auto lose = [](Recorded& recorded) {
    recorded.history.RecordArrival("lost", "e/1", "new", At(20005));
    recorded.Call("lost", "/m/", 20000, 0);
    return recorded.Violations("LOST");
  };
  Recorded recorded;
  // Neither excuses it.
  recorded.Disturb(Disturbed::kStore, 19000, 21000);
  recorded.Disturb(Disturbed::kStop, 19000, 21000);
  recorded.history.RecordExit("e/1", At(20011));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lose(recorded));
  Recorded killed;
  killed.Disturb(Disturbed::kProcess, 20005, 21000);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lose(killed));
  Recorded without_endpoint;
  without_endpoint.history.RecordExit("e/1", At(20008));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lose(without_endpoint));
  Recorded not_passed_on;
  not_passed_on.Call("crossed", "/m/", 20000, 0);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, not_passed_on.Violations("LOST"));
}

const Story kStory("publication_history", [] {
  return Section(
      "given a history of published changes and requests",
      {Section("when a version has been confirmed",
               {Then("2 s later, what only an older one allows is reported",
                     [] { LateVersionIsReported(kLate, 1); }),
                Then("until then it is allowed",
                     [] { LateVersionIsReported(kLate - 1, 0); }),
                Then("what it allows is not reported", NewVersionIsAllowed),
                Then("what only a version that is not written yet allows is "
                     "reported",
                     VersionBeforeItIsWrittenIsReported),
                Then("one that the store loses binds once it is written again",
                     LostVersionBindsOnceItIsWrittenAgain),
                Then("a process that goes back to an older one is reported",
                     OlderVersionThanBeforeIsReported)}),
       Section("when something is disturbed",
               {Then("that excuses for the contact time",
                     DisturbanceExcusesForTheContactTime),
                Then("nothing is excused at other gateways",
                     DisturbanceOfAnotherGatewayExcusesNothing)}),
       Section("when an endpoint has left",
               {Then("a late request to its process is reported",
                     RequestToEndpointThatHasLeftIsReported),
                Then("a leaving that an unstable store confirms binds once it "
                     "is stable",
                     LeavingThatAnUnstableStoreConfirmsBindsOnceItIsStable),
                Then("one that it confirms again binds at once",
                     LeavingThatIsConfirmedAgainBindsAtOnce),
                Then("a leaving that the store loses binds once it is written "
                     "again",
                     LostLeavingBindsOnceItIsWrittenAgain)}),
       Section("when a request that was passed on is not answered",
               {Then("it is reported", UnansweredRequestIsReported)})});
});

}  // namespace

}  // namespace buckthornpath
