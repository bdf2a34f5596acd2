/** @file load_replay.cc Many gateways that choose endpoints under load. */

#include "harness/load_replay.h"

#include <cppunit/TestAssert.h>

#include <iostream>

#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

void Print(const char* name, const ReplayResult& result) {
  std::cout << name << ": " << result.requests << " requests, "
            << result.refused << " refused (" << result.refused_beside_slots
            << " beside slots), " << result.shed << " shed, " << result.served
            << " served, " << result.in_target << " in target, "
            << result.over_bound << " over the bound, wait p50 "
            << result.WaitAt(0.5).count() << " ms, p99 "
            << result.WaitAt(0.99).count() << " ms, prompts read again "
            << result.prefilled_again << std::endl;
}

/** Requests of 30 ms, loads that are several times as old: 42% of 36 slots. */
ReplayPlan ShortRequests() {
  return {};
}

void ShortRequestsSpreadOverAllEndpoints() {
  const ReplayResult result = ReplayLoad(ShortRequests());
  Print("short requests", result);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.shed);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.refused);
  // The latency target of these requests is 150 ms.
  CPPUNIT_ASSERT(result.WaitAt(0.99) <= milliseconds(75));
}

void ShortRequestsSpreadWithoutAnyLoads() {
  ReplayPlan plan = ShortRequests();
  plan.load_delay = milliseconds(5000);
  const ReplayResult result = ReplayLoad(plan);
  Print("short requests, loads of 5 s ago", result);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.shed);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.refused);
}

/** A burst beyond the slots must be refused by the gateways, not shed. */
void OverloadIsRefusedBeforeItIsShed() {
  ReplayPlan plan = ShortRequests();
  plan.requests_per_second = 2000;
  plan.target = milliseconds(150);
  const ReplayResult result = ReplayLoad(plan);
  Print("short requests, overload", result);
  CPPUNIT_ASSERT(result.refused > 0);
  CPPUNIT_ASSERT(result.shed * 50 <= result.requests);
}

/** One response in 150 takes longer than its target though slots are free. */
void SingleSlowResponsesCauseNoRefusal() {
  ReplayPlan plan = ShortRequests();
  plan.target = milliseconds(150);
  const ReplayResult result = ReplayLoad(plan);
  Print("short requests, some of them slow", result);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.shed);
  CPPUNIT_ASSERT(result.refused * 1000 <= result.requests);
}

/** Requests of 60 ms in waves and clumps; three endpoints that are slow at
 * times can serve some 240 a second. */
ReplayPlan WavesAtFewEndpoints(std::size_t gateways) {
  ReplayPlan plan;
  plan.gateways = gateways;
  plan.endpoints = 3;
  plan.mean_work = milliseconds(60);
  plan.requests_per_second = 147;
  plan.wave = 0.5;
  plan.slowdown = 2.5;
  plan.load_interval = milliseconds(100);
  plan.load_delay = milliseconds(60);
  plan.duration = milliseconds(60000);
  plan.target = milliseconds(300);
  return plan;
}

/** The crest of a wave is more than the endpoints can serve; what follows is
 * not. */
void AWaveIsOverWhenItHasPassed() {
  for (const std::size_t gateways : {13, 26}) {
    const ReplayResult result = ReplayLoad(WavesAtFewEndpoints(gateways));
    Print("waves at few endpoints", result);
    CPPUNIT_ASSERT(result.refused_beside_slots * 1000 <= result.requests);
    CPPUNIT_ASSERT(result.served * 100 >= result.requests * 98);
    CPPUNIT_ASSERT(result.shed * 50 <= result.requests);
  }
}

/** Streams of a second with shared prompts, at a third of the slots. */
ReplayPlan ChatRequests() {
  ReplayPlan plan;
  plan.endpoints = 60;
  plan.slots = 16;
  plan.queue_length = 48;
  plan.requests_per_second = 320;
  plan.clump = 1;
  plan.mean_work = milliseconds(1000);
  plan.prompts = 400;
  plan.prompt_tokens = 10000;
  plan.duration = milliseconds(10000);
  return plan;
}

void ChatsKeepTheBoundOfTheMeanLoad() {
  const ReplayResult result = ReplayLoad(ChatRequests());
  Print("chats", result);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.refused);
  // The platform allows 3 in 100 requests above the bound.
  CPPUNIT_ASSERT(result.over_bound * 100 <= result.requests * 3);
}

const Story kStory("load_replay", [] {
  return Section(
      "given a hundred gateways that learn each other's load late",
      {Section(
           "when requests are shorter than the loads are old",
           {Then("no endpoint is crowded", ShortRequestsSpreadOverAllEndpoints),
            Then("no endpoint is crowded if the loads stop",
                 ShortRequestsSpreadWithoutAnyLoads),
            Then("single slow responses cause no refusals",
                 SingleSlowResponsesCauseNoRefusal),
            Then("a burst is refused by the gateways",
                 OverloadIsRefusedBeforeItIsShed)}),
       Section(
           "when few endpoints get waves of requests",
           {Then("none are refused beside free slots once a wave has passed",
                 AWaveIsOverWhenItHasPassed)}),
       Section("when chats share prompts",
               {Then("no endpoint exceeds the bound of the mean load",
                     ChatsKeepTheBoundOfTheMeanLoad)})});
});

}  // namespace

}  // namespace buckthornpath
