/** @file scheduling_policy.cc Scheduling by arrival and by strict priority. */

#include "buckthornpath/scheduling_policy.h"

#include <algorithm>
#include <deque>
#include <iterator>

namespace buckthornpath {

namespace {

using CallQueue = std::deque<WaitingCall>;

void EraseCall(CallQueue& queue, CallHandle handle) {
  std::erase_if(queue, [handle](const WaitingCall& call) {
    return call.handle == handle;
  });
}

double TotalCost(const CallQueue& queue) {
  double total = 0;
  for (const WaitingCall& call : queue)
    total += static_cast<double>(call.cost);
  return total;
}

/** First come, first served; a full queue refuses the arrival. */
class FifoPolicy final : public SchedulingPolicy {
 public:
  void SetShares(const PerRank<double>& /*shares*/) override {}
  void Add(const WaitingCall& call) override { this->queue.push_back(call); }
  void Remove(const WaitingCall& call) override {
    EraseCall(this->queue, call.handle);
  }

  std::optional<WaitingCall> Take(const PerRank<bool>& allowed) override {
    const auto first = std::find_if(
        this->queue.begin(), this->queue.end(),
        [&](const WaitingCall& call) { return allowed[IndexOf(call.rank)]; });
    if (first == this->queue.end())
      return std::nullopt;
    WaitingCall taken = *first;
    this->queue.erase(first);
    return taken;
  }

  std::optional<CallHandle> EvictionCandidate(
      const WaitingCall& /*arrival*/,
      std::size_t /*limit*/) const override {
    return std::nullopt;
  }

  double WorkAhead(const WaitingCall& /*arrival*/) const override {
    return TotalCost(this->queue);
  }

  PerRank<std::size_t> ReservedSlots(std::size_t /*limit*/) const override {
    return {};
  }

 private:
  CallQueue queue;
};

/** Strict priority; a full queue evicts the newest call of the least urgent
 * rank below the arrival. */
class PriorityPolicy final : public SchedulingPolicy {
 public:
  void SetShares(const PerRank<double>& /*shares*/) override {}
  void Add(const WaitingCall& call) override {
    this->queues[IndexOf(call.rank)].push_back(call);
  }
  void Remove(const WaitingCall& call) override {
    EraseCall(this->queues[IndexOf(call.rank)], call.handle);
  }

  std::optional<WaitingCall> Take(const PerRank<bool>& allowed) override {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      CallQueue& queue = this->queues[rank];
      if (!allowed[rank] || queue.empty())
        continue;
      WaitingCall taken = queue.front();
      queue.pop_front();
      return taken;
    }
    return std::nullopt;
  }

  std::optional<CallHandle> EvictionCandidate(
      const WaitingCall& arrival,
      std::size_t /*limit*/) const override {
    for (std::size_t rank = kRankCount - 1; rank > IndexOf(arrival.rank);
         --rank) {
      if (!this->queues[rank].empty())
        return this->queues[rank].back().handle;
    }
    return std::nullopt;
  }

  double WorkAhead(const WaitingCall& arrival) const override {
    double total = 0;
    for (std::size_t rank = 0; rank <= IndexOf(arrival.rank); ++rank) {
      total += TotalCost(this->queues[rank]);
    }
    return total;
  }

  PerRank<std::size_t> ReservedSlots(std::size_t /*limit*/) const override {
    return {};
  }

 private:
  PerRank<CallQueue> queues;
};

}  // namespace

std::unique_ptr<SchedulingPolicy> MakeFifoPolicy() {
  return std::make_unique<FifoPolicy>();
}

std::unique_ptr<SchedulingPolicy> MakePriorityPolicy() {
  return std::make_unique<PriorityPolicy>();
}

std::unique_ptr<SchedulingPolicy> MakeSchedulingPolicy(std::string_view name) {
  const auto* entry = std::find_if(
      std::begin(kSchedulingPolicies), std::end(kSchedulingPolicies),
      [&](const SchedulingPolicyEntry& policy) { return policy.name == name; });
  return entry == std::end(kSchedulingPolicies) ? nullptr : entry->make();
}

}  // namespace buckthornpath
