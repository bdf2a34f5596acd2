/** @file endpoint_speed.cc Time that work takes at an endpoint. */

#include "buckthornpath/endpoint_speed.h"

#include <cppunit/TestAssert.h>

#include <string>

#include "buckthornpath/endpoint_selector.h"
#include "gateway/platform_adapter.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr EndpointSpeed::TimePoint kStart =
    EndpointSpeed::TimePoint{} + hours(100);

double StatedFactor(const std::string& load) {
  HeaderFields header;
  header.set("Buckthornpath-Server-Load", load);
  const auto decoded =
      PlatformAdapter::Linked().ParseResponseHeader(header).load;
  return decoded ? decoded->work_time_factor : -1;
}

void FourthFigureIsAPercentage() {
  CPPUNIT_ASSERT_EQUAL(2.5, StatedFactor("3,0,8,250"));
  CPPUNIT_ASSERT_EQUAL(0.0, StatedFactor("3,0,8"));
  for (const char* odd : {"3,0,8,", "3,0,8,x", "3,0,8,-5", "3,0,8,nan"})
    CPPUNIT_ASSERT_EQUAL(0.0, StatedFactor(odd));
}

void FigureFades() {
  EndpointSpeed speed;
  CPPUNIT_ASSERT_EQUAL(1.0, speed.SpeedFactor(kStart));
  speed.Record(2.5, kStart);
  CPPUNIT_ASSERT_EQUAL(2.5, speed.SpeedFactor(kStart));
  const double later = speed.SpeedFactor(kStart + milliseconds(300));
  CPPUNIT_ASSERT(later > 1.5 && later < 1.75);
  CPPUNIT_ASSERT(speed.SpeedFactor(kStart + seconds(2)) < 1.01);
  // A response without a figure says nothing.
  speed.Record(0, kStart);
  CPPUNIT_ASSERT_EQUAL(2.5, speed.SpeedFactor(kStart));
}

/** Load pattern: one of two idle machines is slowed for a moment. */
void SlowedMachineIsAvoidedForAMoment() {
  EndpointSelector selector(FailureDomainId("a"), {});
  for (const char* id : {"e-1", "e-2"}) {
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.service = ServiceName("llm");
    entry.failure_domain = FailureDomainId("a");
    entry.slots = 48;
    selector.Publish(entry);
  }
  const EndpointHandle slowed = selector.Find(EndpointId("e-1"));
  const auto choose = [&](EndpointSpeed::TimePoint now) {
    const std::vector<PromptSegment> prompt = {{7, 900}};
    const EndpointQuery query{ServiceName("llm"), prompt, 0, {}, false};
    return selector
        .Choose(query, now, [](const EndpointState&) { return true; })
        ->Entry()
        .id;
  };
  // Least recently used first, if nothing else differs.
  selector.RecordStart(*selector.Find(EndpointId("e-2")), {}, kStart);
  selector.RecordEnd(*selector.Find(EndpointId("e-2")));
  CPPUNIT_ASSERT(choose(kStart) == EndpointId("e-1"));
  selector.RecordReportedLoad(*slowed, {0, 0, 2.5}, kStart);
  CPPUNIT_ASSERT(choose(kStart + milliseconds(50)) == EndpointId("e-2"));
  CPPUNIT_ASSERT(choose(kStart + seconds(60)) == EndpointId("e-1"));
}

const Story kStory("endpoint_speed", [] {
  return Section("given endpoints that state how long work takes",
                 {Then("the fourth part of a load is a percentage",
                       FourthFigureIsAPercentage),
                  Then("what it says fades", FigureFades),
                  Then("a machine that is slowed is avoided for a moment",
                       SlowedMachineIsAvoidedForAMoment)});
});

}  // namespace

}  // namespace buckthornpath
