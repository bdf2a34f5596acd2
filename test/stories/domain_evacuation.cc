/** @file domain_evacuation.cc Choice of endpoints while domains are evacuated.
 */

#include "buckthornpath/domain_evacuation.h"

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "buckthornpath/endpoint_selector.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = EndpointSelector::TimePoint;

const ServiceName kService("llm");
constexpr std::size_t kSlots = 8;
constexpr std::size_t kEndpoints = 6;

FailureDomainId DomainOf(std::size_t number) {
  return FailureDomainId(std::string(1, static_cast<char>('a' + number % 3)));
}

EndpointEntry Entry(std::size_t number) {
  EndpointEntry entry;
  entry.id = EndpointId("engine-" + std::to_string(number));
  entry.service = kService;
  entry.address = "10.0.0." + std::to_string(number) + ":1";
  entry.failure_domain = DomainOf(number);
  entry.slots = kSlots;
  return entry;
}

/** Two endpoints in each of the domains a, b and c. */
struct View {
  View() : selector(FailureDomainId("a"), EndpointSelectorLimits{}) {
    for (std::size_t i = 0; i < kEndpoints; ++i)
      this->selector.Publish(Entry(i));
  }

  EndpointHandle Choose(std::uint64_t chat) {
    const std::vector<PromptSegment> segments = {{chat, 800}, {1000000, 100}};
    return this->selector.Choose({kService, segments, 0, {}}, this->now,
                                 [](const EndpointState&) { return true; });
  }

  /** Starts a request. @return Its endpoint; null if none has capacity. */
  EndpointHandle Start(std::uint64_t chat) {
    EndpointHandle chosen = this->Choose(chat);
    if (chosen)
      this->selector.RecordStart(*chosen, {}, this->now);
    return chosen;
  }

  bool HasEndpoint() const {
    return this->selector.HasAvailableEndpoint(
        {.service = kService}, this->now, this->now + std::chrono::hours(1));
  }

  EndpointSelector selector;
  TimePoint now{std::chrono::hours(1)};
};

/** Property: in any order of evacuations, ends, removals and publications,
 * nothing is sent to an evacuated domain, and something to any other. */
void NothingIsSentToEvacuatedDomains() {
  const bool holds = rc::check([] {
    View view;
    std::set<FailureDomainId> evacuated;
    std::set<std::size_t> published = {0, 1, 2, 3, 4, 5};
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      view.now += milliseconds(*rc::gen::inRange(0, 500));
      const auto number = *rc::gen::inRange<std::size_t>(0, kEndpoints);
      const FailureDomainId domain = DomainOf(number);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          RC_ASSERT(view.selector.BeginEvacuation(domain, view.now) ==
                    evacuated.insert(domain).second);
          break;
        case 1:
          RC_ASSERT(view.selector.EndEvacuation(domain, view.now).has_value() ==
                    (evacuated.erase(domain) == 1));
          break;
        case 2:
          view.selector.Withdraw(Entry(number).id);
          published.erase(number);
          break;
        default:
          view.selector.Publish(Entry(number));
          published.insert(number);
          break;
      }
      bool is_any_usable = false;
      for (const std::size_t each : published)
        is_any_usable |= !evacuated.contains(DomainOf(each));
      const EndpointHandle chosen = view.Choose(static_cast<std::uint64_t>(i));
      RC_ASSERT((chosen != nullptr) == is_any_usable);
      RC_ASSERT(view.HasEndpoint() == is_any_usable);
      if (chosen)
        RC_ASSERT(!evacuated.contains(chosen->Entry().failure_domain));
    }
  });
  CPPUNIT_ASSERT(holds);
}

void ServiceIsUnavailableUntilOneDomainReturns() {
  View view;
  for (const char* domain : {"a", "b", "c"})
    view.selector.BeginEvacuation(FailureDomainId(domain), view.now);
  CPPUNIT_ASSERT(!view.HasEndpoint());
  CPPUNIT_ASSERT(view.selector.IsEvacuated({.service = kService}, view.now));
  CPPUNIT_ASSERT(
      !view.selector.EarliestReturn({.service = kService}, view.now));
  view.selector.EndEvacuation(FailureDomainId("b"), view.now);
  CPPUNIT_ASSERT(view.HasEndpoint());
  CPPUNIT_ASSERT(!view.selector.IsEvacuated({.service = kService}, view.now));
}

void UnnamedDomainIsNotEvacuated() {
  DomainEvacuations evacuations;
  CPPUNIT_ASSERT(!evacuations.Begin(FailureDomainId(""), TimePoint{}));
  CPPUNIT_ASSERT(evacuations.All().empty());
}

/** Requests that still run in the evacuated domain must not raise the mean:
 * others would be sent more of one prompt than their share. */
void RunningRequestsThereRaiseNoBound() {
  View view;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const EndpointHandle endpoint = view.selector.Find(Entry(i).id);
    for (std::size_t running = 0; running < kSlots; ++running) {
      if (DomainOf(i) == FailureDomainId("a"))
        view.selector.RecordStart(*endpoint, {}, view.now);
    }
  }
  CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, view.selector.Utilisation(kService),
                               0.001);
  view.selector.BeginEvacuation(FailureDomainId("a"), view.now);
  CPPUNIT_ASSERT_EQUAL(0.0, view.selector.Utilisation(kService));
  // The bound of the fourth request of a chat is 1.5 * 3 / 4 + 2.5 requests;
  // with those of domain a in the mean it would be 7.25.
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 4; ++i)
    ++sent[view.Start(7)->Entry().id];
  for (const auto& [id, count] : sent)
    CPPUNIT_ASSERT(count <= 3);
}

/** The load of a third of the endpoints moves at once and returns at once. */
void LoadMovesAndReturnsWithinTheBound() {
  View view;
  std::vector<EndpointHandle> running;
  for (std::uint64_t chat = 0; chat < 24; ++chat)
    running.push_back(view.Start(chat));
  view.selector.BeginEvacuation(FailureDomainId("a"), view.now);
  for (EndpointHandle& endpoint : running) {
    if (!endpoint->Availability().IsEvacuated())
      continue;
    view.selector.RecordEnd(*endpoint);
    endpoint = view.Start(100);
  }
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const auto requests = view.selector.Find(Entry(i).id)->OwnRequests();
    const bool is_evacuated = DomainOf(i) == FailureDomainId("a");
    CPPUNIT_ASSERT(is_evacuated ? requests == 0 : requests <= 8);
  }
  view.selector.EndEvacuation(FailureDomainId("a"), view.now);
  // Four requests more: the mean is 4.
  for (std::uint64_t chat = 200; chat < 204; ++chat)
    view.Start(chat);
  for (std::size_t i = 0; i < kEndpoints; ++i)
    CPPUNIT_ASSERT(view.selector.Find(Entry(i).id)->OwnRequests() <= 8);
}

const Story kStory("domain_evacuation", [] {
  return Section(
      "given endpoints in three failure domains",
      {Section("when domains are evacuated and restored",
               {Then("nothing is sent to an evacuated one, in any order",
                     NothingIsSentToEvacuatedDomains),
                Then("endpoints without a domain stay in use",
                     UnnamedDomainIsNotEvacuated)}),
       Section("when all of them are evacuated",
               {Then("the service has no endpoint until one returns",
                     ServiceIsUnavailableUntilOneDomainReturns)}),
       Section("when the load of one moves",
               {Then("what still runs there raises no bound",
                     RunningRequestsThereRaiseNoBound),
                Then("it moves and returns within the load bound",
                     LoadMovesAndReturnsWithinTheBound)})});
});

}  // namespace

}  // namespace buckthornpath
