/** @file endpoint_selector.cc Choice of the endpoint for a request. */

#include "buckthornpath/endpoint_selector.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = EndpointSelector::TimePoint;

const ServiceName kService("llm");

EndpointEntry Entry(std::size_t number, std::size_t slots = 48) {
  EndpointEntry entry;
  entry.id = EndpointId("engine-" + std::to_string(number));
  entry.service = kService;
  entry.address = "10.0.0." + std::to_string(number) + ":1";
  entry.failure_domain = FailureDomainId(number % 2 == 0 ? "a" : "b");
  entry.slots = slots;
  return entry;
}

/** The endpoint selector of one gateway, with a simulated clock. */
struct View {
  explicit View(std::size_t endpoints, std::size_t slots = 48)
      : selector(FailureDomainId("a"), EndpointSelectorLimits{}) {
    for (std::size_t i = 0; i < endpoints; ++i)
      this->selector.Publish(Entry(i, slots));
  }

  EndpointHandle Choose(std::vector<PromptSegment> segments,
                        int priority = 0,
                        std::vector<EndpointId> excluded = {}) {
    const EndpointQuery query{kService, segments, priority, excluded};
    return this->selector.Choose(query, this->now,
                                 [](const EndpointState&) { return true; });
  }

  /** Chooses an endpoint and starts a request; null if none has capacity. */
  EndpointHandle Start(const std::vector<PromptSegment>& segments,
                       int priority = 0) {
    EndpointHandle chosen = this->Choose(segments, priority);
    if (chosen) {
      const auto pending_prefill =
          this->selector.RecordStart(*chosen, segments, this->now);
      this->selector.RecordPrefillEnd(*chosen, pending_prefill);
      this->selector.RecordResponseData(*chosen, this->now);
    }
    return chosen;
  }

  EndpointSelector selector;
  TimePoint now{std::chrono::hours(1)};
};

std::vector<PromptSegment> Prompt(std::uint64_t chat, std::uint64_t request) {
  return {{1, 500}, {1000 + chat, 10000}, {1000000 + request, 1300}};
}

/** A prompt that takes less time to prefill than a slot takes to become free.
 */
std::vector<PromptSegment> ShortPrompt(std::uint64_t chat) {
  return {{1, 100}, {1000 + chat, 800}, {1000001, 100}};
}

void ChatsStayAtTheirSegments() {
  View view(12);
  std::map<std::uint64_t, EndpointId> locations;
  for (std::uint64_t i = 0; i < 200; ++i) {
    const std::uint64_t chat = i % 20;
    const EndpointHandle chosen = view.Start(Prompt(chat, i));
    const auto [location, added] =
        locations.try_emplace(chat, chosen->Entry().id);
    CPPUNIT_ASSERT(location->second == chosen->Entry().id);
    view.selector.RecordEnd(*chosen);
    view.now += milliseconds(10);
  }
}

void GatewaysAgreeWithoutCommunication() {
  View first(12);
  View second(12);
  for (std::uint64_t chat = 0; chat < 50; ++chat) {
    CPPUNIT_ASSERT(first.Choose(Prompt(chat, 1))->Entry().id ==
                   second.Choose(Prompt(chat, 2))->Entry().id);
  }
}

void SegmentsReportedByPeersAreUsed() {
  View view(12);
  const EndpointId home = view.Choose(Prompt(7, 1))->Entry().id;
  const EndpointId other = Entry(home == Entry(3).id ? 4 : 3).id;
  view.selector.RecordSegment({other, 1007}, view.now);
  CPPUNIT_ASSERT(view.Choose(Prompt(7, 2))->Entry().id == other);
  CPPUNIT_ASSERT(view.selector.TakeNewSegments().empty());
}

/** Short prompts of a returning chat find long ones at the chat's home. */
void ChatWaitsBehindOneLongPromptNotTwo() {
  View view(12);
  const auto chat = [](std::uint64_t request) {
    return std::vector<PromptSegment>{{2, 120}, {77, 580}, {request, 130}};
  };
  const EndpointHandle home = view.Start(chat(1));
  view.selector.RecordEnd(*home);
  view.selector.RecordStart(*home, Prompt(5, 50), view.now);
  CPPUNIT_ASSERT_MESSAGE("behind one", view.Choose(chat(2)) == home);
  view.selector.RecordStart(*home, Prompt(6, 60), view.now);
  CPPUNIT_ASSERT_MESSAGE("behind two", view.Choose(chat(3)) != home);
}

/** One chat makes up a fifth of the requests, as with a hot key. */
void HotSegmentSpreadsWithinTheBound() {
  View view(12);
  std::mt19937_64 random(20261204);
  std::deque<EndpointHandle> running;
  std::size_t checked = 0;
  for (std::uint64_t i = 0; i < 4000; ++i) {
    const std::uint64_t chat = random() % 5 == 0 ? 0 : 1 + random() % 200;
    const EndpointHandle chosen = view.Start(Prompt(chat, i));
    CPPUNIT_ASSERT(chosen);
    running.push_back(chosen);
    view.now += milliseconds(5);
    if (running.size() <= 150)
      continue;
    view.selector.RecordEnd(*running.front());
    running.pop_front();
    std::map<EndpointId, double> loads;
    for (const EndpointHandle& endpoint : running)
      loads[endpoint->Entry().id] += 1;
    // The platform's bound: twice the mean load plus three requests.
    const double bound = 2.0 * 150.0 / 12.0 + 3.0;
    for (const auto& [id, load] : loads)
      CPPUNIT_ASSERT(load <= bound);
    ++checked;
  }
  CPPUNIT_ASSERT(checked > 3000);
}

/** All endpoints fill up; the last slots are reserved for urgent requests. */
void FloodLeavesSlotsForUrgent() {
  View view(4, 10);
  std::size_t bulk = 0;
  while (view.Start({}, 2) != nullptr)
    ++bulk;
  CPPUNIT_ASSERT(bulk < 40);
  std::size_t urgent = 0;
  while (view.Start({}, 0) != nullptr)
    ++urgent;
  CPPUNIT_ASSERT_EQUAL(std::size_t{40}, bulk + urgent);
  CPPUNIT_ASSERT(urgent >= 4);
}

void RunningNeverExceedsSlots() {
  const auto endpoints = *rc::gen::inRange<std::size_t>(1, 8);
  const auto slots = *rc::gen::inRange<std::size_t>(1, 20);
  View view(endpoints, slots);
  const auto priorities =
      *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 4));
  for (const int priority : priorities)
    view.Start(ShortPrompt(static_cast<std::uint64_t>(priority)), priority);
  for (const auto& [id, endpoint] : view.selector.All())
    RC_ASSERT(endpoint->EstimatedRequests() <=
              static_cast<std::int64_t>(slots));
}

/** Requests with long prompts may wait at an endpoint, but only at one that has
 * the prompt cached, only within its slots once more, and never urgent ones. */
void OnlyCachedLongPromptsWaitAtAnEndpoint() {
  const auto endpoints = *rc::gen::inRange<std::size_t>(1, 8);
  const auto slots = *rc::gen::inRange<std::int64_t>(1, 20);
  View view(endpoints, static_cast<std::size_t>(slots));
  const auto priorities =
      *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 4));
  std::set<std::pair<EndpointId, std::uint64_t>> cached;
  for (const int priority : priorities) {
    const auto chat = static_cast<std::uint64_t>(priority);
    const EndpointHandle chosen = view.Start(Prompt(chat, 1), priority);
    if (!chosen)
      continue;
    const bool was_cached = !cached.emplace(chosen->Entry().id, chat).second;
    if (priority == 0 || !was_cached) {
      RC_ASSERT(chosen->EstimatedRequests() <= slots);
    }
    RC_ASSERT(chosen->EstimatedRequests() <= 2 * slots);
  }
}

void RequestsOfPeersCountAsLoad() {
  View view(2, 10);
  view.selector.SetPeerLoad(Entry(0).id, 10, 0);
  for (int i = 0; i < 5; ++i)
    CPPUNIT_ASSERT(view.Start({})->Entry().id == Entry(1).id);
}

void LeavingOrExcludedIsNotChosen() {
  View view(3);
  EndpointEntry leaving = Entry(0);
  leaving.leaving = true;
  view.selector.Publish(leaving);
  view.selector.Withdraw(Entry(1).id);
  CPPUNIT_ASSERT(view.Choose({})->Entry().id == Entry(2).id);
  CPPUNIT_ASSERT(view.Choose({}, 0, {Entry(2).id}) == nullptr);
  view.selector.Withdraw(Entry(2).id);
  CPPUNIT_ASSERT(!view.selector.HasAvailableEndpoint({.service = kService},
                                                     view.now, view.now));
}

std::string StateOf(const View& view, const EndpointHandle& endpoint) {
  return endpoint->Availability().StateAt(view.now).name;
}

void StatementsOutliveTheRecord() {
  View view(2);
  EndpointEntry entry = Entry(0);
  entry.born_ms = 1000;
  view.selector.Publish(entry);
  const EndpointHandle old_record = view.selector.Find(entry.id);
  entry.address = "10.0.0.99:1";
  view.selector.Publish(entry);
  const EndpointHandle record = view.selector.Find(entry.id);
  CPPUNIT_ASSERT(old_record != record);
  view.selector.RecordLeaving(*record, view.now);
  // A response to a request that was sent under the old record.
  view.selector.RecordClosed(*old_record, view.now + milliseconds(500));
  CPPUNIT_ASSERT_EQUAL(std::string("closed"), StateOf(view, record));
  view.now += milliseconds(1000);
  CPPUNIT_ASSERT_EQUAL(std::string("leaving"), StateOf(view, record));
  // A new process has said nothing, and the old one does not speak for it.
  entry.born_ms = 2000;
  entry.address = "10.0.0.99:2";
  view.selector.Publish(entry);
  const EndpointHandle successor = view.selector.Find(entry.id);
  CPPUNIT_ASSERT_EQUAL(std::string("usable"), StateOf(view, successor));
  view.selector.RecordClosed(*successor, view.now + milliseconds(500));
  view.selector.RecordLeaving(*old_record, view.now);
  view.now += milliseconds(1000);
  CPPUNIT_ASSERT_EQUAL(std::string("usable"), StateOf(view, successor));
}

void UnreachableIsUsedOnlyAsLast() {
  View view(2);
  const EndpointHandle faulty = view.selector.Find(Entry(0).id);
  view.selector.RecordResult(*faulty, EndpointResult::kUnreachable, view.now);
  for (int i = 0; i < 5; ++i)
    CPPUNIT_ASSERT(view.Choose({}, 0)->Entry().id == Entry(1).id);
  // A suspect endpoint is chosen if there is no other.
  CPPUNIT_ASSERT(view.Choose({}, 0, {Entry(1).id}) == faulty);
}

void ServiceKeepsAUsableEndpoint() {
  View view(3);
  for (std::size_t i = 0; i < 3; ++i) {
    for (int fault = 0; fault < 20; ++fault) {
      view.selector.RecordResult(*view.selector.Find(Entry(i).id),
                                 EndpointResult::kUnreachable, view.now);
      view.selector.RecordResult(*view.selector.Find(Entry(i).id),
                                 EndpointResult::kBroken, view.now);
    }
  }
  CPPUNIT_ASSERT(view.Choose({}) != nullptr);
}

void FailingEndpointGetsFewerRequests() {
  View view(4);
  const EndpointHandle faulty = view.selector.Find(Entry(0).id);
  for (int i = 0; i < 10; ++i)
    view.selector.RecordResult(*faulty, EndpointResult::kFailed, view.now);
  std::size_t chosen = 0;
  for (std::uint64_t i = 0; i < 40; ++i) {
    if (view.Start(Prompt(100 + i, i)) == faulty)
      ++chosen;
  }
  CPPUNIT_ASSERT(chosen < 10);
}

void ColdEndpointIsUsedLast() {
  View view(3);
  EndpointEntry cold = Entry(1);
  cold.warm_up_remaining = milliseconds(2000);
  view.selector.Publish(cold);
  std::size_t chosen = 0;
  for (std::uint64_t i = 0; i < 60; ++i)
    chosen += view.Start({})->Entry().id == cold.id ? 1 : 0;
  CPPUNIT_ASSERT_MESSAGE("chosen before the others are loaded", chosen < 10);
  // Once the others are full, a cold endpoint is better than a refusal.
  while (const EndpointHandle next = view.Start({}))
    chosen += next->Entry().id == cold.id ? 1 : 0;
  CPPUNIT_ASSERT_EQUAL(std::size_t{48}, chosen);
  cold.warm_up_remaining = milliseconds(0);
  view.selector.Publish(cold);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{48},
                       view.selector.Find(cold.id)->EstimatedRequests());
}

/** A chat returns after a pause, with overlapping requests at one gateway. */
void ResponseTimeCountsFromFirstPending() {
  View view(12);
  const EndpointHandle home = view.Start(Prompt(1, 1));
  view.selector.RecordEnd(*home);
  view.now += std::chrono::seconds(10);
  view.selector.RecordStart(*home, Prompt(1, 2), view.now);
  view.now += milliseconds(100);
  CPPUNIT_ASSERT_MESSAGE("suspect 100 ms after the request",
                         view.Choose(Prompt(1, 3)) == home);
  view.now += milliseconds(1500);
  CPPUNIT_ASSERT_MESSAGE("not suspect after 1600 ms without a response",
                         view.Choose(Prompt(1, 4)) != home);
  view.selector.RecordResponseData(*home, view.now);
  CPPUNIT_ASSERT(view.Choose(Prompt(1, 5)) == home);
}

void NewAddressIsANewEndpoint() {
  View view(1);
  const EndpointHandle before = view.Start(Prompt(1, 1));
  EndpointEntry moved = Entry(0);
  moved.address = "10.0.0.99:1";
  view.selector.Publish(moved);
  const EndpointHandle after = view.selector.Find(moved.id);
  CPPUNIT_ASSERT(after != before);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, after->EstimatedRequests());
  view.selector.RecordEnd(*before);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, after->EstimatedRequests());
}

const Story kStory("endpoint_selector", [] {
  return Section(
      "given a gateway's view of the endpoints of a service",
      {Section("when chats return",
               {Then("each stays at the endpoint that has its segments",
                     ChatsStayAtTheirSegments),
                Then("gateways choose the same home without communication",
                     GatewaysAgreeWithoutCommunication),
                Then("segment locations reported by peers are used",
                     SegmentsReportedByPeersAreUsed),
                Then("a chat waits behind one long prompt at its home, not two",
                     ChatWaitsBehindOneLongPromptNotTwo),
                Then("a hot segment spreads within the platform's bound",
                     HotSegmentSpreadsWithinTheBound)}),
       Section("when a flood fills every endpoint",
               {Then("the last slots are reserved for urgent requests",
                     FloodLeavesSlotsForUrgent),
                Always("only cached long prompts wait at an endpoint",
                       OnlyCachedLongPromptsWaitAtAnEndpoint),
                Always("no endpoint runs more requests than its slots",
                       RunningNeverExceedsSlots),
                Then("requests of peer gateways count as load",
                     RequestsOfPeersCountAsLoad)}),
       Section(
           "when endpoints leave, fail or return",
           {Then("none that leaves or failed the request is chosen",
                 LeavingOrExcludedIsNotChosen),
            Then("what one has said outlives its record, until a new process",
                 StatementsOutliveTheRecord),
            Then("an unreachable one is avoided unless it is the last",
                 UnreachableIsUsedOnlyAsLast),
            Then("a service never loses all endpoints to faults",
                 ServiceKeepsAUsableEndpoint),
            Then("a failing one gets fewer requests",
                 FailingEndpointGetsFewerRequests),
            Then("response time counts from the first pending request",
                 ResponseTimeCountsFromFirstPending),
            Then("a cold one is used last", ColdEndpointIsUsedLast),
            Then("one with a new address starts without load",
                 NewAddressIsANewEndpoint)})});
});

}  // namespace

}  // namespace buckthornpath
