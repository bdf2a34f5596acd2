/** @file placement_estimate.cc What a request costs at an endpoint. */

#include "buckthornpath/placement_estimate.h"

#include <cppunit/TestAssert.h>

#include "buckthornpath/prefill_speed.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Engines that need 60 ms for a first token, and 1 ms for 50 more tokens. */
PrefillSpeed LearntSpeed(double tokens_per_ms = 50) {
  PrefillSpeed speed;
  for (int i = 0; i < 500; ++i) {
    const int tokens = i * 7919 % 20000;
    speed.Record(tokens,
                 milliseconds(60 + static_cast<int>(tokens / tokens_per_ms)));
  }
  return speed;
}

void SpeedIsLearntFromResponses() {
  const PrefillSpeed speed = LearntSpeed();
  CPPUNIT_ASSERT(speed.TimeFor(5000) >= milliseconds(158));
  CPPUNIT_ASSERT(speed.TimeFor(5000) <= milliseconds(162));
  CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, speed.TokensWithin(milliseconds(160)),
                               100);
  CPPUNIT_ASSERT_EQUAL(0.0, speed.TokensWithin(milliseconds(50)));
}

void SpeedFollowsAChange() {
  PrefillSpeed speed = LearntSpeed();
  for (int i = 0; i < 1000; ++i) {
    const int tokens = i * 7919 % 20000;
    speed.Record(tokens, milliseconds(60 + tokens / 20));
  }
  CPPUNIT_ASSERT(speed.TimeFor(5000) >= milliseconds(300));
}

void SpeedIsPlausibleWithoutAnyDifference() {
  PrefillSpeed speed;
  CPPUNIT_ASSERT(speed.TokensWithin(milliseconds(500)) > 0);
  for (int i = 0; i < 100; ++i)
    speed.Record(1000, milliseconds(80));
  CPPUNIT_ASSERT(speed.TimeFor(1000) <= milliseconds(81));
  CPPUNIT_ASSERT(speed.TimeFor(20000) > milliseconds(80));
}

/** An endpoint that holds a short prompt, behind long ones, or an idle one. */
bool WaitsAtItsCache(double backlog, milliseconds target) {
  const PrefillSpeed speed = LearntSpeed();
  PlacementInputs holder{.prefill_backlog = backlog, .own_tokens = 130};
  if (target > milliseconds(0))
    holder.tokens_in_time = speed.TokensWithin(target / 2);
  PlacementInputs idle = holder;
  idle.prefill_backlog = 0;
  idle.uncached_tokens = 700;
  return PlacementCost(holder) < PlacementCost(idle);
}

void AShortPromptWaitsWithinItsTargetOnly() {
  CPPUNIT_ASSERT(WaitsAtItsCache(5000, milliseconds(400)));
  CPPUNIT_ASSERT(!WaitsAtItsCache(12000, milliseconds(400)));
  CPPUNIT_ASSERT_MESSAGE("a later target",
                         WaitsAtItsCache(12000, milliseconds(2000)));
  CPPUNIT_ASSERT_MESSAGE("no target", WaitsAtItsCache(12000, milliseconds(0)));
}

void ALongPromptWaitsForItsCache() {
  const PrefillSpeed speed = LearntSpeed();
  PlacementInputs holder{
      .prefill_backlog = 20000,
      .own_tokens = 1300,
      .tokens_in_time = speed.TokensWithin(milliseconds(500))};
  PlacementInputs idle = holder;
  idle.prefill_backlog = 0;
  idle.uncached_tokens = 10500;
  CPPUNIT_ASSERT(PlacementCost(holder) < PlacementCost(idle));
}

void ASlowEndpointCostsMore() {
  PlacementInputs inputs{.prefill_backlog = 5000};
  const double cost = PlacementCost(inputs);
  inputs.speed = 0.5;
  CPPUNIT_ASSERT(PlacementCost(inputs) > cost);
}

const Story kStory("placement_estimate", [] {
  return Section(
      "given a request with a target latency",
      {Section("when responses tell how fast engines prefill",
               {Then("the speed is learnt", SpeedIsLearntFromResponses),
                Then("it follows a change", SpeedFollowsAChange),
                Then("it is plausible if all prompts are alike",
                     SpeedIsPlausibleWithoutAnyDifference)}),
       Section("when an endpoint that holds its prompt is busy",
               {Then("a short one waits there only within its target",
                     AShortPromptWaitsWithinItsTargetOnly),
                Then("a long one waits longer than prefilling would take",
                     ALongPromptWaitsForItsCache),
                Then("a slow endpoint costs more", ASlowEndpointCostsMore)})});
});

}  // namespace

}  // namespace buckthornpath
