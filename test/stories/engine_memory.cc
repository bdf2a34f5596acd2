/** @file engine_memory.cc What a gateway believes that engines hold. */

#include "buckthornpath/engine_memory.h"

#include <cppunit/TestAssert.h>

#include <vector>

#include "buckthornpath/endpoint_selector.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::seconds;

constexpr std::int64_t kCapacity = 100000;
constexpr EngineMemory::TimePoint kStart{std::chrono::hours(1)};

std::vector<PromptSegment> Prompt(std::uint64_t chat, std::uint64_t request) {
  return {{1, 500}, {1000 + chat, 10000}, {1000000 + request, 1500}};
}

/** One engine, as one of several gateways sees it. */
struct View {
  explicit View(std::int64_t capacity, std::size_t gateways = 1) {
    this->use.SetCapacity(capacity);
    this->use.SetSpread(gateways, 1);
  }

  EngineMemory::Moment Moment(double running = 0) const {
    return {this->use, running, this->now};
  }

  EngineMemory::Change Send(std::uint64_t chat, std::uint64_t request) {
    const auto change = this->memory.Use(Prompt(chat, request), this->Moment());
    this->use.RecordRequest(change.uncached_tokens, 1500);
    return change;
  }

  bool Holds(std::uint64_t chat, double running = 0) const {
    return this->memory.Holds(1000 + chat, this->Moment(running));
  }

  EngineMemoryUse use;
  EngineMemory memory;
  EngineMemory::TimePoint now = kStart;
};

void OnlyWhatIsMissingIsPrefilled() {
  View view(kCapacity);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{12000}, view.Send(1, 1).uncached_tokens);
  const EngineMemory::Change second = view.Send(1, 2);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, second.uncached_tokens);
  CPPUNIT_ASSERT(!second.is_shared_new);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{11500}, view.Send(2, 3).uncached_tokens);
}

void APeersSegmentStandsForThoseBeforeIt() {
  View view(kCapacity);
  view.memory.RecordPeerUse(1001, view.Moment());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, view.Send(1, 1).uncached_tokens);
}

void TheLeastRecentlyUsedIsEvicted() {
  View view(kCapacity);
  view.Send(1, 1);
  view.Send(2, 2);
  for (std::uint64_t chat = 3; chat < 9; ++chat) {
    view.Send(chat, 10 + chat);
    view.Send(1, 20 + chat);
  }
  CPPUNIT_ASSERT_MESSAGE("used again and again", view.Holds(1));
  CPPUNIT_ASSERT_MESSAGE("78,000 tokens ago", view.Holds(2));
  view.Send(9, 30);
  view.Send(10, 31);
  CPPUNIT_ASSERT_MESSAGE("101,000 tokens ago", !view.Holds(2));
  CPPUNIT_ASSERT(view.Send(2, 32).is_shared_new);
}

void OtherGatewaysFillItToo() {
  View view(kCapacity, 3);
  view.Send(1, 1);
  view.Send(2, 2);
  CPPUNIT_ASSERT(view.Holds(1));
  view.Send(3, 3);
  CPPUNIT_ASSERT_MESSAGE("3 own requests stand for 9", !view.Holds(1));
}

void RunningRequestsTakeRoom() {
  View view(kCapacity);
  for (std::uint64_t i = 0; i < 200; ++i) {
    view.Send(i % 2, i);
    view.use.RecordRequest(0, 1500);
  }
  view.Send(3, 300);
  for (std::uint64_t i = 0; i < 20; ++i)
    view.Send(1, 400 + i);
  CPPUNIT_ASSERT_MESSAGE("30,000 tokens ago", view.Holds(3));
  CPPUNIT_ASSERT_MESSAGE("of which 60 requests leave 10,000 tokens",
                         !view.Holds(3, 60));
}

void AgeDecidesWithoutACapacity() {
  View view(0);
  for (std::uint64_t chat = 0; chat < 100; ++chat)
    view.Send(chat, chat);
  CPPUNIT_ASSERT(view.Holds(0));
  view.now += seconds(60);
  CPPUNIT_ASSERT(!view.Holds(0));
}

void TheModelIsBounded() {
  View view(1000000000);
  for (std::uint64_t chat = 0; chat < 100000; ++chat)
    view.Send(chat, chat);
  CPPUNIT_ASSERT(view.memory.Size() <= 1024);
  CPPUNIT_ASSERT(view.Holds(99999));
  CPPUNIT_ASSERT(!view.Holds(0));
}

void ANewProcessHoldsNothing() {
  EndpointEntry entry{.id = EndpointId("engine"),
                      .service = ServiceName("llm"),
                      .address = "10.0.0.1:1",
                      .failure_domain = FailureDomainId("a"),
                      .slots = 10,
                      .born_ms = 1000};
  EndpointSelector selector(FailureDomainId("a"), EndpointSelectorLimits{});
  selector.Publish(entry);
  const EndpointHandle endpoint = selector.Find(entry.id);
  selector.RecordStart(*endpoint, Prompt(1, 1), kStart);
  selector.Publish(entry);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1500},
                       selector.RecordStart(*endpoint, Prompt(1, 2), kStart));
  entry.born_ms = 2000;
  selector.Publish(entry);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{12000},
                       selector.RecordStart(*endpoint, Prompt(1, 3), kStart));
}

void AnotherEngineThatHoldsItIsFound() {
  EndpointSelector selector(FailureDomainId("a"), EndpointSelectorLimits{});
  EndpointEntry entry{.id = EndpointId("first"),
                      .service = ServiceName("llm"),
                      .address = "10.0.0.1:1",
                      .failure_domain = FailureDomainId("a"),
                      .slots = 10};
  selector.Publish(entry);
  const EndpointHandle first = selector.Find(entry.id);
  entry.id = EndpointId("second");
  selector.Publish(entry);
  const EndpointHandle second = selector.Find(entry.id);
  const auto is_away = [&](const EndpointHandle& endpoint) {
    return selector.IsCachedOnlyElsewhere(*endpoint, Prompt(1, 9), kStart);
  };
  CPPUNIT_ASSERT_MESSAGE("cached nowhere", !is_away(second));
  selector.RecordStart(*first, Prompt(1, 1), kStart);
  CPPUNIT_ASSERT(!is_away(first));
  CPPUNIT_ASSERT(is_away(second));
  selector.RecordStart(*second, Prompt(1, 2), kStart);
  CPPUNIT_ASSERT_MESSAGE("cached at both", !is_away(second));
}

const Story kStory("engine_memory", [] {
  return Section(
      "given an engine that caches the prompts of many chats",
      {Section("when a chat returns",
               {Then("only what is missing is prefilled",
                     OnlyWhatIsMissingIsPrefilled),
                Then("a segment that a peer announces stands for its prefix",
                     APeersSegmentStandsForThoseBeforeIt),
                Then("another engine that holds it is found",
                     AnotherEngineThatHoldsItIsFound)}),
       Section(
           "when there are more prompts than memory",
           {Then("the least recently used is evicted",
                 TheLeastRecentlyUsedIsEvicted),
            Then("requests of other gateways count", OtherGatewaysFillItToo),
            Then("running requests take room", RunningRequestsTakeRoom),
            Then("age decides where no capacity is stated",
                 AgeDecidesWithoutACapacity),
            Then("the model is bounded", TheModelIsBounded)}),
       Section("when the engine restarts",
               {Then("it holds nothing", ANewProcessHoldsNothing)})});
});

}  // namespace

}  // namespace buckthornpath
