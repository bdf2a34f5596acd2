/** @file endpoint_availability.cc States of an endpoint, begin to end. */

#include "buckthornpath/endpoint_availability.h"

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <set>
#include <string>

#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = EndpointAvailability::TimePoint;

constexpr TimePoint kStart = TimePoint{} + hours(100);
constexpr milliseconds kLeavingTime{1500};

std::string NameAt(const EndpointAvailability& endpoint, TimePoint now) {
  return endpoint.StateAt(now).name;
}

void EachStateHasItsOwnName() {
  std::set<std::string> names;
  for (const auto& state : EndpointAvailability::AllStates())
    names.insert(state.name);
  CPPUNIT_ASSERT_EQUAL(EndpointAvailability::AllStates().size(), names.size());
}

void LeavingBecomesLeftForGood() {
  EndpointAvailability endpoint(kLeavingTime);
  CPPUNIT_ASSERT_EQUAL(std::string("usable"), NameAt(endpoint, kStart));
  endpoint.RecordLeaving(kStart);
  CPPUNIT_ASSERT_EQUAL(std::string("leaving"), NameAt(endpoint, kStart));
  // A later answer that says so again changes nothing.
  endpoint.RecordLeaving(kStart + milliseconds(1000));
  CPPUNIT_ASSERT_EQUAL(std::string("left"),
                       NameAt(endpoint, kStart + kLeavingTime));
  endpoint.SetDraining(false);
  endpoint.RecordServed();
  CPPUNIT_ASSERT_EQUAL(std::string("left"),
                       NameAt(endpoint, kStart + hours(9)));
}

void ClosedEndsByItself() {
  EndpointAvailability endpoint(kLeavingTime);
  endpoint.RecordClosed(kStart + seconds(3));
  CPPUNIT_ASSERT_EQUAL(std::string("closed"), NameAt(endpoint, kStart));
  CPPUNIT_ASSERT_EQUAL(std::string("usable"),
                       NameAt(endpoint, kStart + seconds(3)));
}

void BackOffGrowsAndEnds() {
  EndpointAvailability endpoint(kLeavingTime);
  endpoint.RecordUnreachable(kStart);
  CPPUNIT_ASSERT_EQUAL(std::string("backing_off"), NameAt(endpoint, kStart));
  CPPUNIT_ASSERT_EQUAL(std::string("usable"),
                       NameAt(endpoint, kStart + milliseconds(300)));
  endpoint.RecordUnreachable(kStart);
  CPPUNIT_ASSERT_EQUAL(std::string("backing_off"),
                       NameAt(endpoint, kStart + milliseconds(300)));
}

void SilenceEndsWithAResponse() {
  EndpointAvailability endpoint(kLeavingTime);
  endpoint.RecordResponse(kStart);
  endpoint.RecordRequest(kStart + seconds(1));
  const TimePoint later = kStart + seconds(3);
  CPPUNIT_ASSERT_EQUAL(std::string("silent"), NameAt(endpoint, later));
  endpoint.RecordResponse(later);
  CPPUNIT_ASSERT_EQUAL(std::string("usable"), NameAt(endpoint, later));
}

/** Property: whatever else happens, an endpoint that has said it leaves, or
 * asked for time, gets nothing from the limit on, or for that time. */
void StatementsHoldWhateverHappens() {
  const bool holds = rc::check([] {
    EndpointAvailability endpoint(kLeavingTime);
    TimePoint now = kStart;
    TimePoint left_at = TimePoint::max();
    TimePoint closed_until{};
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          endpoint.RecordLeaving(now);
          left_at = std::min(left_at, now + kLeavingTime);
          break;
        case 1:
          closed_until = now + milliseconds(*rc::gen::inRange(0, 2000));
          endpoint.RecordClosed(closed_until);
          break;
        case 2:
          endpoint.RecordRequest(now);
          break;
        case 3:
          endpoint.RecordResponse(now);
          endpoint.RecordServed();
          break;
        case 4:
          endpoint.RecordUnreachable(now);
          break;
        case 5:
          endpoint.RecordMisdirected(now);
          break;
        default:
          endpoint.SetDraining(*rc::gen::arbitrary<bool>());
          break;
      }
      const bool must_rest = now >= left_at || now < closed_until;
      RC_ASSERT(!must_rest || endpoint.StateAt(now).use == EndpointUse::kNever);
    }
  });
  CPPUNIT_ASSERT(holds);
}

const Story kStory("endpoint_availability", [] {
  return Section(
      "given the states of an endpoint",
      {Then("each has a name of its own", EachStateHasItsOwnName),
       Section("when it speaks of itself",
               {Then("one that leaves is a last resort, then unused for good",
                     LeavingBecomesLeftForGood),
                Then("one that asks for time returns by itself",
                     ClosedEndsByItself),
                Then("no other event brings it back before",
                     StatementsHoldWhateverHappens)}),
       Section(
           "when it fails",
           {Then("back-off grows and ends", BackOffGrowsAndEnds),
            Then("silence ends with a response", SilenceEndsWithAResponse)})});
});

}  // namespace

}  // namespace buckthornpath
