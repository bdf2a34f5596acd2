/** @file model_assignment.cc Models of replicas and the rate of loads. */

#include "buckthornpath/model_assignment.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>

#include "endpoint/fencing_token.h"
#include "endpoint/model_order_schedule.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

constexpr std::size_t kDomains = 7;

std::vector<Replica> Replicas(std::size_t count) {
  std::vector<Replica> replicas;
  for (std::size_t i = 0; i < count; ++i) {
    replicas.push_back(
        {EndpointId("vm-" + std::to_string(i)),
         FailureDomainId("domain-" + std::to_string(i % kDomains))});
  }
  return replicas;
}

std::vector<ModelDemand> ThreeModels() {
  return {{ModelName("large"), 5, 0},
          {ModelName("small"), 3, 0},
          {ModelName("tags"), 0, 4}};
}

std::map<ModelName, std::size_t> CountsOf(
    const std::vector<ModelAssignment>& assignments) {
  std::map<ModelName, std::size_t> counts;
  for (const ModelAssignment& assignment : assignments)
    ++counts[assignment.model];
  return counts;
}

void CountsFollowShares() {
  const auto counts = DivideReplicas(ThreeModels(), 84);
  CPPUNIT_ASSERT((std::vector<std::size_t>{50, 30, 4} == counts));
  for (std::size_t n = 0; n < 200; ++n) {
    const auto any = DivideReplicas(ThreeModels(), n);
    CPPUNIT_ASSERT_EQUAL(
        n, std::accumulate(any.begin(), any.end(), std::size_t{0}));
  }
}

void AssignmentIgnoresInputOrder() {
  auto models = ThreeModels();
  auto replicas = Replicas(60);
  const auto expected = AssignModels(models, replicas);
  std::minstd_rand random(7);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(models.begin(), models.end(), random);
    std::shuffle(replicas.begin(), replicas.end(), random);
    CPPUNIT_ASSERT(expected == AssignModels(models, replicas));
  }
  const auto counts = CountsOf(expected);
  CPPUNIT_ASSERT_EQUAL(std::size_t{35}, counts.at(ModelName("large")));
  CPPUNIT_ASSERT_EQUAL(std::size_t{21}, counts.at(ModelName("small")));
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, counts.at(ModelName("tags")));
}

void ModelsAreSpreadOverDomains() {
  const auto replicas = Replicas(84);
  std::map<ModelName, std::map<FailureDomainId, std::size_t>> held;
  for (const ModelAssignment& assignment :
       AssignModels(ThreeModels(), replicas)) {
    const auto site = std::find_if(
        replicas.begin(), replicas.end(),
        [&](const auto& r) { return r.id == assignment.endpoint; });
    ++held[assignment.model][site->failure_domain];
  }
  for (const auto& [domain, count] : held[ModelName("tags")])
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count);
  for (const auto& [domain, count] : held[ModelName("large")])
    CPPUNIT_ASSERT(count <= 9);
}

void FewReplicasChangeWhenOneLeaves() {
  const auto replicas = Replicas(84);
  const auto before = AssignModels(ThreeModels(), replicas);
  std::size_t total_changed = 0;
  std::size_t max_changed = 0;
  for (std::size_t removed = 0; removed < replicas.size(); ++removed) {
    auto rest = replicas;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
    const auto changed =
        ChangedReplicas(before, AssignModels(ThreeModels(), rest));
    total_changed += changed.size();
    max_changed = std::max(max_changed, changed.size());
  }
  // On average fewer than three of 83 replicas load another model.
  CPPUNIT_ASSERT(total_changed < 3 * replicas.size());
  CPPUNIT_ASSERT(max_changed <= 16);
}

void FencingTokensIncrease() {
  using std::chrono::system_clock;
  const auto now = system_clock::time_point(std::chrono::seconds(1800000000));
  FencingTokenGenerator first(FencingToken{0}, now);
  FencingToken highest{0};
  for (int i = 0; i < 1000; ++i) {
    const FencingToken next = first.Next().value();
    CPPUNIT_ASSERT(next > highest);
    highest = next;
  }
  CPPUNIT_ASSERT(static_cast<std::uint64_t>(highest) < (1ULL << 53U));
  for (const int hours : {-1000000, -1, 0, 1}) {
    FencingTokenGenerator later(highest, now + std::chrono::hours(hours));
    const FencingToken next = later.Next().value();
    CPPUNIT_ASSERT(next > highest);
    CPPUNIT_ASSERT(first.Next().value() < next);
  }
  // Tokens start from the clock, so that they also rise if the engine has lost
  // its highest token.
  FencingTokenGenerator after_engine_restart(FencingToken{0},
                                             now + std::chrono::seconds(1));
  CPPUNIT_ASSERT(after_engine_restart.Next().value() > highest);
}

void LoadsKeepTheRateLimit() {
  std::vector<EndpointId> changed;
  for (const Replica& replica : Replicas(40))
    changed.push_back(replica.id);
  constexpr std::int64_t kPerMinute = 10;
  std::vector<std::chrono::milliseconds> starts;
  std::minstd_rand random(11);
  for (const EndpointId& id : changed) {
    const double jitter = std::uniform_real_distribution<>()(random);
    starts.push_back(LoadDelay({Revision{3}, kPerMinute}, changed, id, jitter));
  }
  std::sort(starts.begin(), starts.end());
  for (std::size_t i = kPerMinute; i + 1 < starts.size(); ++i) {
    // No kPerMinute + 1 loads start within a minute less the jitter.
    CPPUNIT_ASSERT(starts[i + 1] - starts[i - kPerMinute + 1] >=
                   std::chrono::seconds(57));
  }
  CPPUNIT_ASSERT(starts.back() < std::chrono::minutes(4));
}

const Story kStory("model_assignment", [] {
  return Section(
      "given three models and the replicas of a service",
      {Section(
           "when replicas are assigned",
           {Then("their counts follow minimums and shares", CountsFollowShares),
            Then("every process computes the same assignment",
                 AssignmentIgnoresInputOrder),
            Then("each model is spread over failure domains",
                 ModelsAreSpreadOverDomains),
            Then("few replicas change models when one leaves",
                 FewReplicasChangeWhenOneLeaves)}),
       Section("when replicas load",
               {Then("they keep the rate limit of the weight store",
                     LoadsKeepTheRateLimit)}),
       Section("when endpoint processes succeed each other at an engine",
               {Then("fencing tokens increase, whatever the clock says",
                     FencingTokensIncrease)})});
});

}  // namespace

}  // namespace buckthornpath
