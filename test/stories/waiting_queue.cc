/** @file waiting_queue.cc Requests that wait while a service is full. */

#include "buckthornpath/waiting_queue.h"

#include <cppunit/TestAssert.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <string>

#include "buckthornpath/retry_after.h"
#include "gateway/gateway_state.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = WaitingQueue::TimePoint;

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kAll = 1000;
constexpr milliseconds kTarget{300};
constexpr milliseconds kDeadline{1500};

WaitingRequest RequestOf(int priority,
                         const std::string& organisation,
                         TimePoint received) {
  return {priority, OrganisationId(organisation), received + kTarget,
          received + kDeadline};
}

void OrderIsByPriorityThenAge() {
  WaitingQueue queue;
  const WaitTicket bulk = queue.Add(RequestOf(2, "a", kStart));
  const WaitTicket first = queue.Add(RequestOf(0, "a", kStart));
  const WaitTicket second = queue.Add(RequestOf(0, "a", kStart));
  CPPUNIT_ASSERT(
      (queue.Order(kStart, kAll) == std::vector{first, second, bulk}));
  CPPUNIT_ASSERT((queue.Order(kStart, 2) == std::vector{first, second}));
  queue.Remove(first);
  queue.Remove(first);
  CPPUNIT_ASSERT((queue.Order(kStart, kAll) == std::vector{second, bulk}));
}

void TheEarliestLatestStartIsFirst() {
  WaitingQueue queue;
  const WaitTicket late = queue.Add(RequestOf(1, "a", kStart));
  const WaitTicket soon =
      queue.Add(RequestOf(1, "a", kStart - milliseconds(100)));
  const WaitTicket missed =
      queue.Add(RequestOf(1, "a", kStart - milliseconds(400)));
  CPPUNIT_ASSERT(
      (queue.Order(kStart, kAll) == std::vector{soon, late, missed}));
}

void OrganisationsTakeTurns() {
  WaitingQueue queue;
  const WaitTicket a1 = queue.Add(RequestOf(1, "a", kStart));
  const WaitTicket a2 = queue.Add(RequestOf(1, "a", kStart));
  const WaitTicket b1 = queue.Add(RequestOf(1, "b", kStart + milliseconds(50)));
  CPPUNIT_ASSERT((queue.Order(kStart, kAll) == std::vector{a1, b1, a2}));
  // One that has started requests without a wait has had its turn.
  queue.RecordStart(OrganisationId("a"));
  CPPUNIT_ASSERT((queue.Order(kStart, kAll) == std::vector{b1, a1, a2}));
}

/** Served and sent requests of each organisation. */
struct Shares {
  std::map<std::string, double> sent;
  std::map<std::string, double> served;

  double LostOfOthers(const std::string& greedy) const {
    double all = 0;
    double lost = 0;
    for (const auto& [name, count] : this->sent) {
      if (name == greedy)
        continue;
      all += count;
      const auto found = this->served.find(name);
      lost += count - (found == this->served.end() ? 0 : found->second);
    }
    return lost / all;
  }

  /** @return Jain's index of the served share of each fair demand. */
  double Jain(double fair_demand) const {
    double sum = 0;
    double squares = 0;
    for (const auto& [name, count] : this->sent) {
      const double share = this->served.at(name) / std::min(count, fair_demand);
      sum += std::min(share, 1.0);
      squares += std::min(share, 1.0) * std::min(share, 1.0);
    }
    return sum * sum / (squares * static_cast<double>(this->sent.size()));
  }
};

/** 24 organisations send 5 requests a second each, "0" ten times as many, to a
 * service that serves 150 a second. */
Shares ReplayGreedyOrganisation() {
  constexpr int kOrganisations = 24;
  constexpr int kSteps = 20000;
  std::mt19937_64 random(20261204);
  std::uniform_real_distribution<double> chance(0, 1);
  WaitingQueue queue;
  Shares shares;
  std::map<WaitTicket, std::string> waiting;
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = kStart + milliseconds(step);
    for (int i = 0; i < kOrganisations; ++i) {
      if (chance(random) >= (i == 0 ? 0.05 : 0.005))
        continue;
      const std::string name = std::to_string(i);
      ++shares.sent[name];
      waiting[queue.Add(RequestOf(1, name, now))] = name;
    }
    for (const WaitTicket ticket : queue.FindHopeless(now)) {
      queue.Remove(ticket);
      waiting.erase(ticket);
    }
    const std::vector<WaitTicket> next = queue.Order(now, 1);
    if (next.empty() || chance(random) >= 0.15)
      continue;
    const std::string name = waiting.at(next.front());
    ++shares.served[name];
    queue.RecordStart(OrganisationId(name));
    queue.Remove(next.front());
    queue.RecordDeparture(now);
    waiting.erase(next.front());
  }
  return shares;
}

void TheGreedyWaitBehindTheOthers() {
  const Shares shares = ReplayGreedyOrganisation();
  CPPUNIT_ASSERT(shares.LostOfOthers("0") <= 0.02);
  CPPUNIT_ASSERT(shares.Jain(100) >= 0.95);
}

void OnlyThoseAheadAreRemembered() {
  WaitingQueue queue;
  for (int i = 0; i < 10000; ++i)
    queue.RecordStart(OrganisationId(std::to_string(i)));
  CPPUNIT_ASSERT(queue.OrganisationCount() <= 256);
}

/** Departures at a constant rate of 100 per second, for 4 s. */
TimePoint RecordDepartures(WaitingQueue& queue) {
  TimePoint now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(10);
    queue.RecordDeparture(now);
  }
  return now;
}

void ForecastFollowsDepartureRate() {
  WaitingQueue queue;
  TimePoint now = RecordDepartures(queue);
  for (int i = 0; i < 99; ++i)
    queue.Add(RequestOf(1, "a", now));
  const WaitingRequest next = RequestOf(1, "a", now);
  const milliseconds last = queue.EstimateWait(next, now);
  CPPUNIT_ASSERT(last >= milliseconds(900) && last <= milliseconds(1100));
  CPPUNIT_ASSERT(queue.EstimateWait(RequestOf(0, "a", now), now) <=
                 milliseconds(15));
  // Another organisation is due at once.
  CPPUNIT_ASSERT(queue.EstimateWait(RequestOf(1, "b", now), now) <=
                 milliseconds(25));
  // The service stops responding: the forecast grows with the time since the
  // last departure.
  now += std::chrono::seconds(10);
  CPPUNIT_ASSERT(queue.EstimateWait(next, now) > last * 5);
}

void ThoseWithoutHopeLeave() {
  WaitingQueue queue;
  const TimePoint now = RecordDepartures(queue);
  for (int i = 0; i < 140; ++i)
    queue.Add(RequestOf(1, "a", now));
  CPPUNIT_ASSERT(queue.FindHopeless(now).empty());
  // Urgent ones push the last back beyond their deadline.
  for (int i = 0; i < 40; ++i)
    queue.Add(RequestOf(0, "a", now));
  const std::size_t hopeless = queue.FindHopeless(now).size();
  CPPUNIT_ASSERT(hopeless >= 20 && hopeless <= 45);
}

/** A waiter that starts or not, and counts what was asked of it. */
struct FakeWaiters {
  FakeWaiters() : state(this->settings, this->io.get_executor()) {}

  void Add(bool can_start) {
    ServiceQueue& queue = this->state.QueueOf(this->service);
    const auto now = GatewayState::Clock::now();
    const WaitTicket ticket = queue.waiting.Add(
        {1, OrganisationId("a"), now + kDeadline, now + kDeadline});
    queue.waiters[ticket] = {[this, &queue, ticket, can_start] {
                               ++(can_start ? this->started : this->refused);
                               if (!can_start)
                                 return false;
                               queue.waiting.Remove(ticket);
                               queue.waiters.erase(ticket);
                               return true;
                             },
                             [] {}, [] {}};
  }

  const ServiceName service{"service"};
  boost::asio::io_context io;
  Settings settings;
  GatewayState state;
  int started = 0;
  int refused = 0;
};

void OneThatCannotStartHoldsNobody() {
  FakeWaiters waiters;
  waiters.Add(false);
  waiters.Add(true);
  waiters.Add(false);
  waiters.Add(true);
  waiters.state.WakeWaiting(waiters.service);
  CPPUNIT_ASSERT_EQUAL(2, waiters.started);
  CPPUNIT_ASSERT_EQUAL(2, waiters.refused);
}

void AFullServiceIsNotAskedForEach() {
  FakeWaiters waiters;
  for (int i = 0; i < 200; ++i)
    waiters.Add(false);
  waiters.state.WakeWaiting(waiters.service);
  CPPUNIT_ASSERT(waiters.refused <= 10);
}

void RefusedCallersReturnSpread() {
  RefusalOutlook outlook;
  outlook.time_left = kDeadline;
  outlook.queue_wait = milliseconds(400);
  outlook.spread = 0;
  const milliseconds first = RetryAfterFor(outlook);
  outlook.spread = 1;
  const milliseconds last = RetryAfterFor(outlook);
  CPPUNIT_ASSERT(last - first >= milliseconds(250));
  CPPUNIT_ASSERT(last <= kDeadline / 3);
  outlook.endpoint_return = milliseconds(4000);
  CPPUNIT_ASSERT(RetryAfterFor(outlook) >= milliseconds(4000));
  outlook.quarantine = milliseconds(9000);
  CPPUNIT_ASSERT(RetryAfterFor(outlook) == milliseconds(9000));
}

const Story kStory("waiting_queue", [] {
  return Section(
      "given a service without free slots",
      {Section("when requests wait",
               {Then("the most urgent start first, then the oldest",
                     OrderIsByPriorityThenAge),
                Then("one that has missed its target waits behind the others",
                     TheEarliestLatestStartIsFirst),
                Then("one that can't start holds nobody behind it",
                     OneThatCannotStartHoldsNobody),
                Then("few are tried in vain", AFullServiceIsNotAskedForEach)}),
       Section("when one organisation sends ten times its usual",
               {Then("organisations take turns", OrganisationsTakeTurns),
                Then("the others lose next to nothing",
                     TheGreedyWaitBehindTheOthers),
                Then("only organisations that are ahead are remembered",
                     OnlyThoseAheadAreRemembered)}),
       Section("when more wait than can be served",
               {Then("the forecast follows the departure rate",
                     ForecastFollowsDepartureRate),
                Then("those that can't start in time leave at once",
                     ThoseWithoutHopeLeave),
                Then("refused callers return spread",
                     RefusedCallersReturnSpread)})});
});

}  // namespace

}  // namespace buckthornpath
