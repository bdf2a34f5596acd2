/** @file gateway_stop_soak.cc Planned stops in series under fixed seeds; see
 * test/soak/stop_soak.h. */

#include <cppunit/TestAssert.h>

#include "harness/story.h"
#include "soak/stop_soak.h"

namespace buckthornpath {

namespace {

/** Runs one seed and reports all violations. */
void RunSeed(std::uint64_t seed) {
  StopSoakPlan plan;
  plan.seed = seed;
  const SoakResult result = RunStopSoak(plan);
  std::string all_violations;
  for (const std::string& violation : result.violations)
    all_violations += violation + "; ";
  all_violations += "\n" + result.evidence;
  CPPUNIT_ASSERT_MESSAGE(all_violations, result.violations.empty());
  CPPUNIT_ASSERT(result.served > 0);
}

// Seeds that failed: paused streams were given up before another endpoint had
// taken them.
const Story kStory("gateway_stop_soak", [] {
  return Section(
      "given gateways that are stopped in series under load",
      {Then("every answer is whole under stop seed 1", [] { RunSeed(1); }),
       Then("every answer is whole under stop seed 3", [] { RunSeed(3); })});
});

}  // namespace

}  // namespace buckthornpath
