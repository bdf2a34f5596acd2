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
              << counts.worth_share << " of their worth" << std::endl;
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

const Story kStory("engine_replay", [] {
  return Section(
      "given a hundred gateways before 180 engines",
      {Section("when the load is ordinary",
               {Then("all is served", MixedLoadIsServed)}),
       Section("when drafts flood in", {Then("chats keep their share",
                                             AFloodOfDraftsSparesTheChats)})});
});

}  // namespace

}  // namespace buckthornpath
