/** @file outcomes_sweep.cc Outcomes are correct under generated faults. */

#include <cppunit/TestAssert.h>

#include "harness/story.h"
#include "sweep/fault_schedule.h"

namespace buckthornpath {

namespace {

constexpr std::uint64_t kSeed = 20261;
constexpr int kRuns = 8;

nlohmann::json HistoryLine(const char* event, nlohmann::json fields) {
  fields["event"] = event;
  fields["body"] = "receipt";
  return fields;
}

const nlohmann::json kInvocation = HistoryLine(
    "invoke",
    {{"repeatable", false}, {"streamed", false}, {"path", "/issue"}});

void AssertViolations(const std::vector<nlohmann::json>& lines,
                      std::size_t violations) {
  CPPUNIT_ASSERT_EQUAL(violations, CheckHistory(lines).violations.size());
}

const Story kStory("outcomes_sweep", [] {
  return Section(
      "given histories recorded by callers and fake services",
      {Section("when a history breaks a rule",
               {Then("the checker finds a second run",
                     [] {
                       AssertViolations(
                           {kInvocation, HistoryLine("service_run", {}),
                            HistoryLine("service_run", {})},
                           1);
                     }),
                Then("the checker finds a run of a call reported as not run",
                     [] {
                       AssertViolations(
                           {kInvocation,
                            HistoryLine("told", {{"outcome", "not_run"}}),
                            HistoryLine("service_run", {})},
                           1);
                     }),
                Then("the checker finds an answer to another request",
                     [] {
                       AssertViolations(
                           {kInvocation, HistoryLine("service_run", {}),
                            HistoryLine(
                                "answer",
                                {{"text", R"({"echo":"x","path":"/issue"})"}})},
                           1);
                     }),
                Then("the checker passes a correct history",
                     [] {
                       AssertViolations(
                           {kInvocation, HistoryLine("service_run", {}),
                            HistoryLine(
                                "answer",
                                {{"text",
                                  R"({"echo":"receipt","path":"/issue"})"}})},
                           0);
                     })}),
       Section("when faults are generated from a fixed seed",
               {Then("no rule is broken",
                     [] { CPPUNIT_ASSERT(RunSweep(kSeed, kRuns).passed); })})});
});

}  // namespace

}  // namespace buckthornpath
