/** @file admission_queue.cc Which waiting call starts next at an endpoint. */

#include "buckthornpath/admission_queue.h"

#include <cppunit/TestAssert.h>

#include <algorithm>

#include "buckthornpath/retry_budget.h"
#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

constexpr PerRank<double> kShares = {0.2, 0.2, 0.1};
constexpr milliseconds kFar{1000000000};

WaitingCall Call(Rank rank, const char* organisation, std::int64_t cost) {
  WaitingCall call;
  call.rank = rank;
  call.organisation = OrganisationId(organisation);
  call.cost = cost;
  call.deadline = kFar;
  return call;
}

/** Way of ordering that the stories run; a mutant run names another. */
std::unique_ptr<SchedulingPolicy> PolicyUnderTest() {
  const char* name = std::getenv("BUCKTHORNPATH_START_ORDER");
  return MakeSchedulingPolicy(name == nullptr ? "share" : name);
}

AdmissionQueue QueueOf(std::size_t running, std::size_t queued) {
  AdmissionQueue queue({running, queued}, PolicyUnderTest());
  queue.SetShares(kShares);
  return queue;
}

/** Starts calls one by one and returns them in order. */
std::vector<WaitingCall> RunAll(AdmissionQueue& queue, std::size_t most) {
  std::vector<WaitingCall> started;
  while (started.size() < most) {
    const auto next = queue.StartNext(milliseconds(0));
    if (!next)
      break;
    started.push_back(*next);
    queue.Finish(next->handle, milliseconds(0));
  }
  return started;
}

double CostOf(const std::vector<WaitingCall>& calls, Rank rank) {
  double total = 0;
  for (const WaitingCall& call : calls)
    total += call.rank == rank ? static_cast<double>(call.cost) : 0.0;
  return total;
}

/** Adds calls of one rank with costs from a generator. */
std::int64_t AddFlood(AdmissionQueue& queue, Rank rank, std::size_t count) {
  std::int64_t largest = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto cost = *rc::gen::inRange<std::int64_t>(1, 200);
    largest = std::max(largest, cost);
    queue.Offer(Call(rank, "hospital", cost), milliseconds(0));
  }
  return largest;
}

void EveryBacklogKeepsItsShare() {
  constexpr std::size_t kCalls = 60;
  AdmissionQueue queue = QueueOf(1, 1000);
  std::int64_t largest = 0;
  for (const Rank rank : {Rank::kUrgent, Rank::kStandard, Rank::kBulk}) {
    largest = std::max(largest, AddFlood(queue, rank, kCalls));
  }
  std::vector<WaitingCall> started;
  while (queue.LoadOf(Rank::kUrgent).queued > 0 &&
         queue.LoadOf(Rank::kStandard).queued > 0 &&
         queue.LoadOf(Rank::kBulk).queued > 0) {
    const auto next = RunAll(queue, 1);
    started.insert(started.end(), next.begin(), next.end());
  }
  double total = 0;
  for (const WaitingCall& call : started)
    total += static_cast<double>(call.cost);
  for (const Rank rank : {Rank::kUrgent, Rank::kStandard, Rank::kBulk}) {
    const double least = kShares[IndexOf(rank)] * total;
    RC_ASSERT(CostOf(started, rank) >=
              least - 2.0 * static_cast<double>(largest));
  }
}

void UrgentWaitsForNoBulkBeyondItsShare() {
  AdmissionQueue queue = QueueOf(1, 1000);
  AddFlood(queue, Rank::kBulk, 50);
  RunAll(queue, *rc::gen::inRange<std::size_t>(0, 40));
  queue.Offer(Call(Rank::kUrgent, "parish", 1), milliseconds(0));
  const auto started = RunAll(queue, 2);
  const bool is_prompt = std::any_of(
      started.begin(), started.end(),
      [](const WaitingCall& call) { return call.rank == Rank::kUrgent; });
  RC_ASSERT(is_prompt);
}

void BacklogsShareByWeight() {
  const auto weight = *rc::gen::inRange<std::int64_t>(1, 8);
  AdmissionQueue queue = QueueOf(1, 10000);
  std::int64_t largest = 0;
  for (std::size_t i = 0; i < 400; ++i) {
    WaitingCall call = Call(Rank::kStandard, i % 2 == 0 ? "parish" : "hospital",
                            *rc::gen::inRange<std::int64_t>(1, 100));
    call.weight = i % 2 == 0 ? weight : 1;
    largest = std::max(largest, call.cost);
    queue.Offer(call, milliseconds(0));
  }
  double parish = 0;
  double hospital = 0;
  for (const WaitingCall& call : RunAll(queue, 200)) {
    (call.organisation.str() == "parish" ? parish : hospital) +=
        static_cast<double>(call.cost);
  }
  const double lag = std::abs(parish / static_cast<double>(weight) - hospital);
  RC_ASSERT(lag <= 2.0 * static_cast<double>(largest));
}

void NoCallIsLostOrStartedTwice() {
  AdmissionQueue queue = QueueOf(3, 8);
  std::size_t offered = 0;
  std::size_t refused = 0;
  std::size_t cancelled = 0;
  std::size_t expired = 0;
  std::vector<CallHandle> running;
  std::vector<CallHandle> started;
  milliseconds now{0};
  const auto steps =
      *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 6));
  for (const int step : steps) {
    now += milliseconds(*rc::gen::inRange(0, 5));
    if (step <= 2) {
      WaitingCall call =
          Call(static_cast<Rank>(*rc::gen::inRange(0, 3)),
               *rc::gen::arbitrary<bool>() ? "parish" : "hospital",
               *rc::gen::inRange<std::int64_t>(1, 50));
      call.deadline = now + milliseconds(*rc::gen::inRange(0, 60));
      const AdmissionResult result = queue.Offer(call, now);
      ++offered;
      refused += result.status == AdmissionStatus::kQueued ? 0 : 1;
      refused += result.evicted ? 1 : 0;
    } else if (step == 3 && !running.empty()) {
      queue.Finish(running.back(), now);
      running.pop_back();
    } else if (step == 4) {
      expired += queue.TakeExpired(now).size();
    } else {
      const auto handle =
          CallHandle{*rc::gen::inRange<std::uint64_t>(1, offered + 2)};
      cancelled += queue.Cancel(handle) ? 1 : 0;
    }
    while (const auto next = queue.StartNext(now)) {
      running.push_back(next->handle);
      started.push_back(next->handle);
    }
    RC_ASSERT(queue.Running() <= 3U);
    RC_ASSERT(queue.Queued() <= 8U);
    RC_ASSERT(offered ==
              refused + cancelled + expired + started.size() + queue.Queued());
  }
  std::sort(started.begin(), started.end());
  RC_ASSERT(std::adjacent_find(started.begin(), started.end()) ==
            started.end());
}

void RetriesStayWithinTheirShare() {
  const auto percent = *rc::gen::inRange(0, 100);
  constexpr double kSaved = 10.0;
  RetryBudget budget(percent / 100.0, kSaved);
  int first = 0;
  int retries = 0;
  const auto steps =
      *rc::gen::container<std::vector<bool>>(300, rc::gen::arbitrary<bool>());
  for (const bool is_first : steps) {
    if (is_first) {
      budget.CountFirstAttempt();
      ++first;
    } else if (budget.TryTake()) {
      ++retries;
    }
    RC_ASSERT(retries <= kSaved + first * percent / 100.0 + 1e-6);
  }
}

/** Waits of a parish in a queue that a hospital floods 50 times as fast. */
double ParishWaits(std::size_t hospital_calls) {
  AdmissionQueue queue = QueueOf(4, 100000);
  std::vector<std::pair<CallHandle, int>> running;
  std::map<CallHandle, int> arrived;
  double waited = 0;
  int parish_starts = 0;
  for (int now = 0; now < 2000; ++now) {
    const auto at = milliseconds(now);
    for (std::size_t i = 0; i < hospital_calls; ++i)
      queue.Offer(Call(Rank::kStandard, "hospital", 10), at);
    if (now % 10 == 0) {
      const auto result = queue.Offer(Call(Rank::kStandard, "parish", 10), at);
      arrived[result.handle] = now;
    }
    std::erase_if(running, [&](const auto& entry) {
      if (entry.second > now)
        return false;
      queue.Finish(entry.first, at);
      return true;
    });
    while (const auto next = queue.StartNext(at)) {
      running.emplace_back(next->handle, now + 4);
      if (next->organisation.str() != "parish")
        continue;
      waited += now - arrived[next->handle];
      ++parish_starts;
    }
  }
  CPPUNIT_ASSERT(parish_starts > 0);
  return waited / parish_starts;
}

void HospitalDoesNotLengthenParishWait() {
  // Five calls a tick are 50 times the parish's rate and more than the four
  // slots finish in four ticks.
  constexpr double kMostTicks = 4.0;
  CPPUNIT_ASSERT(ParishWaits(5) <= ParishWaits(0) + kMostTicks);
}

void ReservedSlotAwaitsUrgent() {
  AdmissionQueue queue = QueueOf(10, 100);
  for (int i = 0; i < 50; ++i)
    queue.Offer(Call(Rank::kBulk, "hospital", 10), milliseconds(0));
  while (queue.StartNext(milliseconds(0))) {
  }
  CPPUNIT_ASSERT(queue.Queued() > 0);
  queue.Offer(Call(Rank::kUrgent, "parish", 1), milliseconds(0));
  const auto next = queue.StartNext(milliseconds(0));
  CPPUNIT_ASSERT(next && next->rank == Rank::kUrgent);
}

void LateWorkIsRefusedAtOnce() {
  AdmissionQueue queue = QueueOf(1, 100);
  const auto run = [&](milliseconds from, milliseconds to) {
    queue.Offer(Call(Rank::kBulk, "hospital", 10), from);
    const auto started = queue.StartNext(from);
    CPPUNIT_ASSERT(started.has_value());
    queue.Finish(started->handle, to);
  };
  run(milliseconds(0), milliseconds(1000));
  for (int i = 0; i < 5; ++i)
    queue.Offer(Call(Rank::kBulk, "hospital", 10), milliseconds(1000));
  CPPUNIT_ASSERT(queue.StartNext(milliseconds(1000)).has_value());
  WaitingCall late = Call(Rank::kBulk, "hospital", 10);
  late.deadline = milliseconds(3000);
  const AdmissionResult result = queue.Offer(late, milliseconds(1000));
  CPPUNIT_ASSERT(result.status == AdmissionStatus::kDeadlineUnmet);
  CPPUNIT_ASSERT(result.retry_after >= milliseconds(2000));
  late.deadline = milliseconds(9000);
  CPPUNIT_ASSERT(queue.Offer(late, milliseconds(1000)).status ==
                 AdmissionStatus::kQueued);
}

void FullQueueStillTakesParish() {
  AdmissionQueue queue = QueueOf(1, 10);
  for (int i = 0; i < 12; ++i) {
    queue.Offer(Call(Rank::kBulk, "hospital", 10), milliseconds(0));
    if (i == 0)
      queue.StartNext(milliseconds(0));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{10}, queue.Queued());
  const auto again =
      queue.Offer(Call(Rank::kBulk, "hospital", 10), milliseconds(0));
  CPPUNIT_ASSERT(again.status == AdmissionStatus::kQueueFull);
  const auto parish =
      queue.Offer(Call(Rank::kBulk, "parish", 10), milliseconds(0));
  CPPUNIT_ASSERT(parish.status == AdmissionStatus::kQueued);
  CPPUNIT_ASSERT(parish.evicted.has_value());
}

const Story kStory("admission_queue", [] {
  return Section(
      "given an endpoint's queue",
      {Section("when every rank floods it",
               {Always("each rank starts at least its minimum share of work",
                       EveryBacklogKeepsItsShare),
                Always("urgent work starts within two starts in a bulk flood",
                       UrgentWaitsForNoBulkBeyondItsShare),
                Then("bulk leaves urgent work its reserved slots",
                     ReservedSlotAwaitsUrgent)}),
       Section("when organisations compete within a rank",
               {Always("their work differs by at most two calls per weight",
                       BacklogsShareByWeight),
                Then("a hospital at 50 times the rate delays a parish by at "
                     "most one service time",
                     HospitalDoesNotLengthenParishWait),
                Then("a full queue still takes a parish's call",
                     FullQueueStillTakesParish)}),
       Section("when work comes, ends, expires and is cancelled at random",
               {Always("each call starts at most once and none is lost",
                       NoCallIsLostOrStartedTwice),
                Then("work that cannot meet its deadline is refused at once",
                     LateWorkIsRefusedAtOnce)}),
       Section("when calls are tried again",
               {Always("retries stay within their share of first attempts",
                       RetriesStayWithinTheirShare)})});
});

}  // namespace

}  // namespace buckthornpath
