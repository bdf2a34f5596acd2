/** @file gateway_soak.cc A short soak under fixed seeds; see test/soak/. */

#include <cppunit/TestAssert.h>

#include "harness/story.h"
#include "soak/soak_run.h"

namespace buckthornpath {

namespace {

/** Runs one seed and reports all violations. */
void RunSeed(std::uint64_t seed, bool has_evacuations = false) {
  SoakPlan plan;
  plan.seed = seed;
  plan.has_evacuations = has_evacuations;
  const SoakResult result = RunSoak(plan);
  std::string all_violations;
  for (const std::string& violation : result.violations)
    all_violations += violation + "; ";
  all_violations += "\n" + result.evidence;
  CPPUNIT_ASSERT_MESSAGE(all_violations, result.violations.empty());
}

// Regression seeds; seeds that failed stay here. 1 and 2: a second SIGTERM to a
// draining gateway closed connections whose requests had already been executed.
// 20261544: requests reached an endpoint in the time that it had asked for; the
// cause is not known.
const Story kStory("gateway_soak", [] {
  return Section(
      "given gateways under signals, broken connections and changes",
      {Then("every guarantee holds under seed 1", [] { RunSeed(1); }),
       Then("every guarantee holds under seed 2", [] { RunSeed(2); }),
       Then("every guarantee holds under seed 20261544",
            [] { RunSeed(20261544); }),
       Then("every guarantee holds while failure domains are evacuated",
            [] { RunSeed(1, true); })});
});

}  // namespace

}  // namespace buckthornpath
