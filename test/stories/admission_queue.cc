/** @file admission_queue.cc Start order of queued calls at an endpoint. */

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
constexpr milliseconds kDistantDeadline{1000000000};

WaitingCall MakeCall(Rank rank, const char* organisation, std::int64_t cost) {
  WaitingCall call;
  call.rank = rank;
  call.organisation = OrganisationId(organisation);
  call.cost = cost;
  call.deadline = kDistantDeadline;
  return call;
}

/** Scheduling policy under test; a mutation run sets another one. */
std::unique_ptr<SchedulingPolicy> PolicyUnderTest() {
  const char* name = std::getenv("BUCKTHORNPATH_START_ORDER");
  return MakeSchedulingPolicy(name == nullptr ? "share" : name);
}

AdmissionQueue QueueOf(std::size_t running, std::size_t queued) {
  AdmissionQueue queue({running, queued}, PolicyUnderTest());
  queue.SetShares(kShares);
  return queue;
}

/**
 * Starts and finishes calls one at a time, at most this many.
 * @return The calls in the order of their start.
 */
std::vector<WaitingCall> RunUpTo(AdmissionQueue& queue, std::size_t max_calls) {
  std::vector<WaitingCall> started;
  while (started.size() < max_calls) {
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

/**
 * Adds calls of one priority class with generated costs.
 * @return The largest cost.
 */
std::int64_t AddFlood(AdmissionQueue& queue, Rank rank, std::size_t count) {
  std::int64_t largest = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto cost = *rc::gen::inRange<std::int64_t>(1, 200);
    largest = std::max(largest, cost);
    queue.Offer(MakeCall(rank, "hospital", cost), milliseconds(0));
  }
  return largest;
}

void EachClassGetsItsMinimumShare() {
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
    const auto next = RunUpTo(queue, 1);
    started.insert(started.end(), next.begin(), next.end());
  }
  double total = 0;
  for (const WaitingCall& call : started)
    total += static_cast<double>(call.cost);
  for (const Rank rank : {Rank::kUrgent, Rank::kStandard, Rank::kBulk}) {
    const double minimum = kShares[IndexOf(rank)] * total;
    RC_ASSERT(CostOf(started, rank) >=
              minimum - 2.0 * static_cast<double>(largest));
  }
}

void UrgentStartsWithinTwoStarts() {
  AdmissionQueue queue = QueueOf(1, 1000);
  AddFlood(queue, Rank::kBulk, 50);
  RunUpTo(queue, *rc::gen::inRange<std::size_t>(0, 40));
  queue.Offer(MakeCall(Rank::kUrgent, "parish", 1), milliseconds(0));
  const auto started = RunUpTo(queue, 2);
  const bool is_prompt = std::any_of(
      started.begin(), started.end(),
      [](const WaitingCall& call) { return call.rank == Rank::kUrgent; });
  RC_ASSERT(is_prompt);
}

void OrganisationsShareByWeight() {
  const auto weight = *rc::gen::inRange<std::int64_t>(1, 8);
  AdmissionQueue queue = QueueOf(1, 10000);
  std::int64_t largest = 0;
  for (std::size_t i = 0; i < 400; ++i) {
    WaitingCall call =
        MakeCall(Rank::kStandard, i % 2 == 0 ? "parish" : "hospital",
                 *rc::gen::inRange<std::int64_t>(1, 100));
    call.weight = i % 2 == 0 ? weight : 1;
    largest = std::max(largest, call.cost);
    queue.Offer(call, milliseconds(0));
  }
  double parish = 0;
  double hospital = 0;
  for (const WaitingCall& call : RunUpTo(queue, 200)) {
    (call.organisation.str() == "parish" ? parish : hospital) +=
        static_cast<double>(call.cost);
  }
  const double difference =
      std::abs(parish / static_cast<double>(weight) - hospital);
  RC_ASSERT(difference <= 2.0 * static_cast<double>(largest));
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
          MakeCall(static_cast<Rank>(*rc::gen::inRange(0, 3)),
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
  constexpr double kMaxSavedRetries = 10.0;
  RetryBudget budget(percent / 100.0, kMaxSavedRetries);
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
    RC_ASSERT(retries <= kMaxSavedRetries + first * percent / 100.0 + 1e-6);
  }
}

/** The share of a gateway changes as others come and go. */
void ChangesOfCapacityAddNoRetries() {
  const auto percent = *rc::gen::inRange(0, 100);
  constexpr double kMaxSavedRetries = 10.0;
  RetryBudget budget(percent / 100.0, kMaxSavedRetries);
  int first = 0;
  int retries = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 13));
  for (const int step : steps) {
    if (step == 0) {
      budget.CountFirstAttempt();
      ++first;
    } else if (step <= 10) {
      budget.SetCapacity(kMaxSavedRetries * step / 10.0);
    } else if (budget.TryTake()) {
      ++retries;
    }
  }
  // A retry saved at a tenth of the capacity is worth ten at the whole.
  RC_ASSERT(retries <= kMaxSavedRetries * (1 + first * percent / 100.0) + 1e-6);
}

/**
 * Simulates 2000 ms in which the parish offers a call every 10 ms.
 * @param hospital_calls Calls that the hospital offers each ms.
 * @return Mean time in ms that calls of the parish wait.
 */
double MeanParishWaitMs(std::size_t hospital_calls) {
  AdmissionQueue queue = QueueOf(4, 100000);
  std::vector<std::pair<CallHandle, int>> running;
  std::map<CallHandle, int> arrived;
  double waited = 0;
  int parish_starts = 0;
  for (int now = 0; now < 2000; ++now) {
    const auto at = milliseconds(now);
    for (std::size_t i = 0; i < hospital_calls; ++i)
      queue.Offer(MakeCall(Rank::kStandard, "hospital", 10), at);
    if (now % 10 == 0) {
      const auto result =
          queue.Offer(MakeCall(Rank::kStandard, "parish", 10), at);
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

void HospitalFloodDoesNotDelayParish() {
  // Five calls each ms are 50 times the parish's rate and more than the four
  // slots finish in 4 ms.
  constexpr double kMaxAddedWaitMs = 4.0;
  CPPUNIT_ASSERT(MeanParishWaitMs(5) <= MeanParishWaitMs(0) + kMaxAddedWaitMs);
}

void BulkLeavesReservedSlotForUrgent() {
  AdmissionQueue queue = QueueOf(10, 100);
  for (int i = 0; i < 50; ++i)
    queue.Offer(MakeCall(Rank::kBulk, "hospital", 10), milliseconds(0));
  while (queue.StartNext(milliseconds(0))) {
  }
  CPPUNIT_ASSERT(queue.Queued() > 0);
  queue.Offer(MakeCall(Rank::kUrgent, "parish", 1), milliseconds(0));
  const auto next = queue.StartNext(milliseconds(0));
  CPPUNIT_ASSERT(next && next->rank == Rank::kUrgent);
}

void UnmeetableDeadlineIsRefusedAtOnce() {
  AdmissionQueue queue = QueueOf(1, 100);
  const auto run = [&](milliseconds from, milliseconds to) {
    queue.Offer(MakeCall(Rank::kBulk, "hospital", 10), from);
    const auto started = queue.StartNext(from);
    CPPUNIT_ASSERT(started.has_value());
    queue.Finish(started->handle, to);
  };
  run(milliseconds(0), milliseconds(1000));
  for (int i = 0; i < 5; ++i)
    queue.Offer(MakeCall(Rank::kBulk, "hospital", 10), milliseconds(1000));
  CPPUNIT_ASSERT(queue.StartNext(milliseconds(1000)).has_value());
  WaitingCall late = MakeCall(Rank::kBulk, "hospital", 10);
  late.deadline = milliseconds(3000);
  const AdmissionResult result = queue.Offer(late, milliseconds(1000));
  CPPUNIT_ASSERT(result.status == AdmissionStatus::kDeadlineUnmet);
  CPPUNIT_ASSERT(result.retry_after >= milliseconds(2000));
  late.deadline = milliseconds(9000);
  CPPUNIT_ASSERT(queue.Offer(late, milliseconds(1000)).status ==
                 AdmissionStatus::kQueued);
}

void FullQueueTakesAnotherOrganisation() {
  AdmissionQueue queue = QueueOf(1, 10);
  for (int i = 0; i < 12; ++i) {
    queue.Offer(MakeCall(Rank::kBulk, "hospital", 10), milliseconds(0));
    if (i == 0)
      queue.StartNext(milliseconds(0));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{10}, queue.Queued());
  const auto again =
      queue.Offer(MakeCall(Rank::kBulk, "hospital", 10), milliseconds(0));
  CPPUNIT_ASSERT(again.status == AdmissionStatus::kQueueFull);
  const auto parish =
      queue.Offer(MakeCall(Rank::kBulk, "parish", 10), milliseconds(0));
  CPPUNIT_ASSERT(parish.status == AdmissionStatus::kQueued);
  CPPUNIT_ASSERT(parish.evicted.has_value());
}

const Story kStory("admission_queue", [] {
  return Section(
      "given an endpoint's queue",
      {Section("when every priority class floods it",
               {Always("each class starts at least its minimum share of work",
                       EachClassGetsItsMinimumShare),
                Always("in a bulk flood, urgent work starts within two starts",
                       UrgentStartsWithinTwoStarts),
                Then("bulk leaves urgent work its reserved slots",
                     BulkLeavesReservedSlotForUrgent)}),
       Section(
           "when organisations compete within a priority class",
           {Always("their work differs by at most two calls per weight",
                   OrganisationsShareByWeight),
            Then("an organisation at 50 times the rate delays another by at "
                 "most one service time",
                 HospitalFloodDoesNotDelayParish),
            Then("a full queue still takes another organisation's call",
                 FullQueueTakesAnotherOrganisation)}),
       Section("when calls arrive, end, expire or are cancelled at random",
               {Always("each call starts at most once and none is lost",
                       NoCallIsLostOrStartedTwice),
                Then("a call that cannot meet its deadline is refused at once",
                     UnmeetableDeadlineIsRefusedAtOnce)}),
       Section("when calls are retried",
               {Always("retries stay within their share of first attempts",
                       RetriesStayWithinTheirShare),
                Always("changes of the capacity add no retries",
                       ChangesOfCapacityAddNoRetries)})});
});

}  // namespace

}  // namespace buckthornpath
