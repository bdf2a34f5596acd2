/** @file engine_replay.cc Prompts of many gateways at their worst load. */

#include "harness/engine_replay.h"

#include <cppunit/TestAssert.h>

#include <iostream>

#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Long drafts, urgent chats and short tags, at 42% of the slots. */
EngineReplayPlan MixedLoad() {
  EngineReplayPlan plan;
  ReplayClass draft{.name = "draft",
                    .priority = 2,
                    .requests_per_second = 398,
                    .prompts = 475,
                    .shared_tokens = 10500,
                    .own_tokens = 1300,
                    .decode = milliseconds(1500),
                    .target = milliseconds(1200),
                    .deadline = milliseconds(10000),
                    .worth = 1.8,
                    .late_worth = 1.4};
  ReplayClass chat{.name = "chat",
                   .priority = 0,
                   .requests_per_second = 381,
                   .prompts = 682,
                   .shared_tokens = 700,
                   .own_tokens = 130,
                   .decode = milliseconds(1150),
                   .target = milliseconds(250),
                   .deadline = milliseconds(10000),
                   .worth = 4.6,
                   .late_worth = 0.95};
  ReplayClass tag{.name = "tag",
                  .priority = 1,
                  .requests_per_second = 796,
                  .prompts = 2137,
                  .shared_tokens = 2041,
                  .own_tokens = 360,
                  .decode = milliseconds(100),
                  .target = milliseconds(400),
                  .deadline = milliseconds(2500),
                  .worth = 0.31,
                  .late_worth = 0.15};
  plan.classes = {draft, chat, tag};
  return plan;
}

/** A flood of drafts, with a document that a tenth of them share. */
EngineReplayPlan DraftFlood() {
  EngineReplayPlan plan = MixedLoad();
  plan.classes[0].burst = 2.6;
  plan.classes[0].burst_from = milliseconds(3000);
  plan.classes[0].burst_to = milliseconds(8000);
  plan.classes[0].hot_share = 0.1;
  plan.classes[1].burst = 1.6;
  plan.classes[1].burst_from = milliseconds(5000);
  plan.classes[1].burst_to = milliseconds(9000);
  return plan;
}

/** Few long prompts in use at a time, some much more than others, at engines
 * with many slots, of which few are taken. */
EngineReplayPlan SkewedLoad() {
  EngineReplayPlan plan;
  plan.gateways = 26;
  plan.engines = 48;
  plan.slots = 128;
  plan.queue_length = 128;
  plan.cache_tokens = 603180;
  plan.known_memory_tokens = 603180;
  const ReplayClass plan_draft{.name = "season plan",
                               .priority = 0,
                               .requests_per_second = 172,
                               .prompts = 400,
                               .skew = 0.8,
                               .shared_tokens = 10512,
                               .own_tokens = 1300,
                               .decode = milliseconds(2000),
                               .target = milliseconds(800),
                               .deadline = milliseconds(15000),
                               .worth = 6.5,
                               .late_worth = 0.81};
  const ReplayClass summary{.name = "summary",
                            .priority = 1,
                            .requests_per_second = 254,
                            .prompts = 500,
                            .skew = 0.8,
                            .shared_tokens = 699,
                            .own_tokens = 130,
                            .decode = milliseconds(1500),
                            .target = milliseconds(1000),
                            .deadline = milliseconds(12000),
                            .worth = 0.69,
                            .late_worth = 0.21};
  const ReplayClass reminder{.name = "reminder",
                             .priority = 2,
                             .requests_per_second = 316,
                             .prompts = 600,
                             .skew = 0.8,
                             .shared_tokens = 2041,
                             .own_tokens = 360,
                             .decode = milliseconds(120),
                             .target = milliseconds(2000),
                             .deadline = milliseconds(3000),
                             .worth = 0.1,
                             .late_worth = 0.046};
  plan.classes = {plan_draft, summary, reminder};
  return plan;
}

EngineReplayResult Play(const char* name, const EngineReplayPlan& plan) {
  EngineReplayResult result = ReplayEngines(plan);
  std::cout << name << ": worth " << result.worth_share << ", read again "
            << result.read_again << " M tokens, over the bound "
            << result.over_bound << std::endl;
  for (std::size_t k = 0; k < plan.classes.size(); ++k) {
    const ReplayClassResult& counts = result.classes[k];
    std::cout << "  " << plan.classes[k].name << ": " << counts.requests
              << " requests, " << counts.on_time << " on time, " << counts.late
              << " late, " << counts.refused << " refused, "
              << counts.worth_share << " of their worth, first event p50 "
              << counts.FirstEventAt(0.5).count() << " ms, p95 "
              << counts.FirstEventAt(0.95).count() << " ms" << std::endl;
  }
  return result;
}

void MixedLoadIsServed() {
  const EngineReplayResult result = Play("mixed load", MixedLoad());
  CPPUNIT_ASSERT(result.over_bound <= 0.03);
}

void AFloodOfDraftsSparesTheChats() {
  const EngineReplayResult result = Play("flood of drafts", DraftFlood());
  // The platform allows 3 in 100 requests above the bound.
  CPPUNIT_ASSERT(result.over_bound <= 0.03);
  // Prompts read again cost at most a twentieth of the worth owed, at the
  // platform's price of 0.56 per 1,000 tokens.
  CPPUNIT_ASSERT(result.read_again <= 4.5);
  // A less urgent kind of request is not served better.
  CPPUNIT_ASSERT(result.classes[1].worth_share >=
                 result.classes[0].worth_share - 0.15);
}

/** The same at engines of half the speed, which are wanted sooner by the short
 * prompts; the long ones triple for a while. */
EngineReplayPlan LongBesideShort(double burst) {
  EngineReplayPlan plan = SkewedLoad();
  plan.gateways = 13;
  plan.engines = 58;
  plan.slots = 64;
  plan.queue_length = 64;
  plan.prefill_tokens_per_ms = 56.6;
  plan.cache_tokens = plan.known_memory_tokens = 423173;
  plan.duration = milliseconds(12000);
  ReplayClass& draft = plan.classes[0];
  draft.priority = 1;
  draft.requests_per_second = 132;
  draft.target = milliseconds(1000);
  draft.burst = burst;
  draft.burst_from = milliseconds(4000);
  draft.burst_to = milliseconds(8000);
  ReplayClass& answer = plan.classes[1];
  answer.priority = 0;
  answer.requests_per_second = 208;
  answer.target = milliseconds(400);
  ReplayClass& tag = plan.classes[2];
  tag.priority = 1;
  tag.requests_per_second = 189;
  tag.target = milliseconds(500);
  for (ReplayClass& kind : plan.classes) {
    kind.skew = 1;
    kind.decode /= 2;
  }
  draft.hot_share = 0.15;
  return plan;
}

double LateShare(const ReplayClassResult& counts) {
  return static_cast<double>(counts.late) /
         static_cast<double>(counts.late + counts.on_time);
}

void SkewedLoadStaysWithinTheBound() {
  const EngineReplayResult result = Play("skewed load", SkewedLoad());
  CPPUNIT_ASSERT(result.over_bound <= 0.03);
}

void ShortPromptsMeetTheirTargetsBesideLongOnes() {
  const EngineReplayResult quiet =
      Play("long beside short", LongBesideShort(1));
  const EngineReplayResult burst = Play("burst of long", LongBesideShort(3));
  CPPUNIT_ASSERT(burst.over_bound <= 0.03);
  // Answers and tags are at most 1 in 100 late, also in a burst of drafts.
  for (const std::size_t kind : {1, 2}) {
    CPPUNIT_ASSERT(LateShare(quiet.classes[kind]) <= 0.01);
    CPPUNIT_ASSERT(LateShare(burst.classes[kind]) <= 0.01);
  }
  // The drafts themselves meet theirs.
  CPPUNIT_ASSERT(LateShare(burst.classes[0]) <= 0.01);
}

const Story kStory("engine_replay", [] {
  return Section(
      "given a hundred gateways before 180 engines",
      {Section("when the load is ordinary",
               {Then("all is served", MixedLoadIsServed)}),
       Section("when some prompts are used much more than others",
               {Then("endpoints stay within the platform's bound",
                     SkewedLoadStaysWithinTheBound)}),
       Section("when long prompts come beside short ones",
               {Then("the short ones meet their targets",
                     ShortPromptsMeetTheirTargetsBesideLongOnes)}),
       Section("when drafts flood in", {Then("chats keep their share",
                                             AFloodOfDraftsSparesTheChats)})});
});

}  // namespace

}  // namespace buckthornpath
