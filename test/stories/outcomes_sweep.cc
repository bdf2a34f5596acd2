/** @file outcomes_sweep.cc Outcomes hold under generated faults. */

#include <cppunit/TestAssert.h>

#include "harness/story.h"
#include "sweep/fault_schedule.h"

namespace buckthornpath {

namespace {

constexpr std::uint64_t kSeed = 20261;
constexpr int kRuns = 8;

nlohmann::json Line(const char* event, nlohmann::json more) {
  more["event"] = event;
  more["body"] = "receipt";
  return more;
}

const nlohmann::json kInvoke =
    Line("invoke",
         {{"repeatable", false}, {"streamed", false}, {"path", "/issue"}});

void CheckerSees(const std::vector<nlohmann::json>& lines,
                 std::size_t violations) {
  CPPUNIT_ASSERT_EQUAL(violations, CheckHistory(lines).violations.size());
}

const Story kStory("outcomes_sweep", [] {
  return Section(
      "given histories of callers and fakes",
      {Section(
           "when a history breaks a rule",
           {Then("the checker finds a second run",
                 [] {
                   CheckerSees({kInvoke, Line("service_run", {}),
                                Line("service_run", {})},
                               1);
                 }),
            Then("the checker finds a run of what was not to run",
                 [] {
                   CheckerSees({kInvoke, Line("told", {{"outcome", "not_run"}}),
                                Line("service_run", {})},
                               1);
                 }),
            Then("the checker finds an answer to another request",
                 [] {
                   CheckerSees(
                       {kInvoke, Line("service_run", {}),
                        Line("answer",
                             {{"text", R"({"echo":"x","path":"/issue"})"}})},
                       1);
                 }),
            Then("the checker passes a sound history",
                 [] {
                   CheckerSees(
                       {kInvoke, Line("service_run", {}),
                        Line("answer",
                             {{"text",
                               R"({"echo":"receipt","path":"/issue"})"}})},
                       0);
                 })}),
       Section("when faults are generated from a fixed seed",
               {Then("no rule is broken",
                     [] { CPPUNIT_ASSERT(Sweep(kSeed, kRuns).passed); })})});
});

}  // namespace

}  // namespace buckthornpath
