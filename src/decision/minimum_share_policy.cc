/** @file minimum_share_policy.cc Priority with guaranteed minimum shares. */

#include <algorithm>
#include <cmath>
#include <numeric>

#include "buckthornpath/scheduling_policy.h"
#include "decision/organisation_queue.h"

namespace buckthornpath {

namespace {

/** Fraction of a rank's minimum share of the slots that is reserved
 * against less urgent ranks, so that the next calls of the rank do not wait
 * for a slot. */
constexpr double kReservedFraction = 0.25;

/**
 * Credit scheduler over ranks. Starting a call of cost c adds
 * share * c to the credit of each rank with waiting calls and subtracts c from
 * the credit of the rank that started, down to zero. The most urgent rank
 * whose credit covers its next call goes first; if there is none, the most
 * urgent rank does. A rank that stays backlogged therefore starts at least
 * its share of all work, less a constant number of the largest calls.
 */
class MinimumSharePolicy final : public SchedulingPolicy {
 public:
  void SetShares(const PerRank<double>& wanted) override {
    const double total = std::accumulate(wanted.begin(), wanted.end(), 0.0);
    const double scale = std::max(1.0, total);
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      this->shares[rank] = wanted[rank] / scale;
    }
  }

  void Add(const WaitingCall& call) override {
    this->queues[IndexOf(call.rank)].Add(call);
  }

  void Remove(const WaitingCall& call) override {
    const std::size_t rank = IndexOf(call.rank);
    this->queues[rank].Remove(call);
    this->ResetIdleCredit(rank);
  }

  std::optional<WaitingCall> Take(const PerRank<bool>& allowed) override {
    const std::optional<std::size_t> rank = this->NextRank(allowed);
    if (!rank)
      return std::nullopt;
    const auto work = static_cast<double>(this->queues[*rank].Front().cost);
    this->UpdateCredits(*rank, work);
    WaitingCall taken = this->queues[*rank].Take();
    this->ResetIdleCredit(*rank);
    return taken;
  }

  std::optional<CallHandle> EvictionCandidate(
      const WaitingCall& arrival,
      std::size_t limit) const override {
    const std::size_t own = IndexOf(arrival.rank);
    for (std::size_t rank = kRankCount; rank-- > 0;) {
      const std::size_t queued =
          this->queues[rank].Size() + (rank == own ? 1 : 0);
      if (queued > this->SlotShare(rank, limit)) {
        return this->queues[rank].EvictionCandidate(rank == own ? &arrival
                                                                : nullptr);
      }
    }
    return std::nullopt;
  }

  double WorkAhead(const WaitingCall& arrival) const override {
    const std::size_t own = IndexOf(arrival.rank);
    const double own_class_work = this->queues[own].WorkAhead(arrival);
    double priority_work = own_class_work;
    for (std::size_t rank = 0; rank < own; ++rank) {
      priority_work += this->queues[rank].Cost();
    }
    if (this->shares[own] <= 0)
      return priority_work;
    return std::min(priority_work, own_class_work / this->shares[own]);
  }

  PerRank<std::size_t> ReservedSlots(std::size_t limit) const override {
    PerRank<std::size_t> reserved{};
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      if (this->SlotShare(rank, limit) == 0)
        continue;
      reserved[rank] = static_cast<std::size_t>(std::ceil(
          kReservedFraction * this->shares[rank] * static_cast<double>(limit)));
    }
    return reserved;
  }

 private:
  std::size_t SlotShare(std::size_t rank, std::size_t limit) const {
    return static_cast<std::size_t>(
        std::floor(this->shares[rank] * static_cast<double>(limit)));
  }

  std::optional<std::size_t> NextRank(const PerRank<bool>& allowed) const {
    std::optional<std::size_t> most_urgent;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      const OrganisationQueue& queue = this->queues[rank];
      if (!allowed[rank] || queue.IsEmpty())
        continue;
      if (this->credit[rank] >= static_cast<double>(queue.Front().cost))
        return rank;
      if (!most_urgent)
        most_urgent = rank;
    }
    return most_urgent;
  }

  void UpdateCredits(std::size_t started_rank, double work) {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      if (!this->queues[rank].IsEmpty())
        this->credit[rank] += this->shares[rank] * work;
    }
    this->credit[started_rank] =
        std::max(0.0, this->credit[started_rank] - work);
  }

  void ResetIdleCredit(std::size_t rank) {
    if (this->queues[rank].IsEmpty())
      this->credit[rank] = 0;
  }

  PerRank<OrganisationQueue> queues;
  PerRank<double> shares{};
  PerRank<double> credit{};
};

}  // namespace

std::unique_ptr<SchedulingPolicy> MakeMinimumSharePolicy() {
  return std::make_unique<MinimumSharePolicy>();
}

}  // namespace buckthornpath
