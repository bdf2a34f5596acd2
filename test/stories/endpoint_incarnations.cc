/** @file endpoint_incarnations.cc Whether a connection leads to the process of
 * a known entry, without a network. */

#include "buckthornpath/endpoint_incarnations.h"

#include <cppunit/TestAssert.h>

#include <chrono>

#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Incarnations = EndpointIncarnations;
using TimePoint = Incarnations::TimePoint;

const TimePoint kStart{std::chrono::hours(1)};
const EndpointId kEndpoint("engine-1");
constexpr milliseconds kMoment{1};

void EndpointCountsAsTheOneOfItsEntry() {
  Incarnations incarnations;
  CPPUNIT_ASSERT(!incarnations.IsCurrentAsOf(kStart));
  CPPUNIT_ASSERT(!incarnations.MayBeAnother(kEndpoint, kStart));
}

void RefusalRaisesADoubt() {
  Incarnations incarnations;
  incarnations.RecordCurrent(kStart);
  incarnations.RecordEnd(kEndpoint, kStart + kMoment);
  CPPUNIT_ASSERT(incarnations.MayHaveEnded(kEndpoint));
  const TimePoint opened_at = kStart + 2 * kMoment;
  CPPUNIT_ASSERT(incarnations.MayBeAnother(kEndpoint, opened_at));
  CPPUNIT_ASSERT(!incarnations.MayBeAnother(EndpointId("other"), opened_at));
  // Word from before the new process has written its entry ends no doubt.
  incarnations.RecordCurrent(opened_at);
  CPPUNIT_ASSERT(incarnations.MayBeAnother(kEndpoint, opened_at));
  incarnations.RecordCurrent(Incarnations::ConfirmedBy(opened_at));
  CPPUNIT_ASSERT(!incarnations.MayBeAnother(kEndpoint, opened_at));
  CPPUNIT_ASSERT(!incarnations.MayHaveEnded(kEndpoint));
}

/** It leads to a process that had not ended when it was opened. */
void ConfirmedConnectionOfBeforeIsUsed() {
  Incarnations incarnations;
  incarnations.RecordCurrent(Incarnations::ConfirmedBy(kStart));
  incarnations.RecordEnd(kEndpoint, kStart + std::chrono::seconds(1));
  CPPUNIT_ASSERT(!incarnations.MayBeAnother(kEndpoint, kStart));
  // It says nothing of the process that is there now.
  CPPUNIT_ASSERT(incarnations.MayHaveEnded(kEndpoint));
}

void NewEntryEndsTheDoubt() {
  Incarnations incarnations;
  incarnations.RecordEnd(kEndpoint, kStart);
  incarnations.Forget(kEndpoint);
  CPPUNIT_ASSERT(!incarnations.MayBeAnother(kEndpoint, kStart));
}

void WordNeverGoesBack() {
  Incarnations incarnations;
  incarnations.RecordCurrent(kStart + kMoment);
  incarnations.RecordCurrent(kStart);
  CPPUNIT_ASSERT(incarnations.IsCurrentAsOf(kStart + kMoment));
}

const Story kStory("endpoint_incarnations", [] {
  return Section(
      "given an endpoint that may start again under its id",
      {Section("when it has refused no connection",
               {Then("it counts as the one of its entry",
                     EndpointCountsAsTheOneOfItsEntry)}),
       Section("when it has refused one",
               {Then("later connections are in doubt until its entry is "
                     "confirmed",
                     RefusalRaisesADoubt),
                Then("those that were confirmed before are used",
                     ConfirmedConnectionOfBeforeIsUsed),
                Then("the entry of a new process ends the doubt",
                     NewEntryEndsTheDoubt)}),
       Section("when word of the entries comes late",
               {Then("it takes nothing back", WordNeverGoesBack)})});
});

}  // namespace

}  // namespace buckthornpath
