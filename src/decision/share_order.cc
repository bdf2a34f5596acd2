/** @file share_order.cc Priority scheduling with guaranteed minimum shares. */

#include <algorithm>
#include <cmath>
#include <numeric>

#include "buckthornpath/start_order.h"
#include "decision/organisation_queue.h"

namespace buckthornpath {

namespace {

/** Fraction of a priority class's minimum share of the slots that is reserved
 * against less urgent classes, so that the next calls of the class do not wait
 * for a slot. */
constexpr double kReservedPart = 0.25;

/**
 * Credit scheduler over priority classes. Starting a call of cost c adds
 * share * c to the credit of each class with waiting calls and subtracts c from
 * the credit of the class that started, down to zero. The most urgent class
 * whose credit covers its next call goes first; if there is none, the most
 * urgent class does. A class that stays backlogged therefore starts at least
 * its share of all work, less a constant number of the largest calls.
 */
class ShareOrder final : public StartOrder {
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
    this->ForgetIdleCredit(rank);
  }

  std::optional<WaitingCall> Take(const PerRank<bool>& allowed) override {
    const std::optional<std::size_t> rank = this->NextRank(allowed);
    if (!rank)
      return std::nullopt;
    const auto work = static_cast<double>(this->queues[*rank].Front().cost);
    this->Charge(*rank, work);
    WaitingCall taken = this->queues[*rank].Take();
    this->ForgetIdleCredit(*rank);
    return taken;
  }

  std::optional<CallHandle> Victim(const WaitingCall& arrival,
                                   std::size_t limit) const override {
    const std::size_t own = IndexOf(arrival.rank);
    for (std::size_t rank = kRankCount; rank-- > 0;) {
      const std::size_t places =
          this->queues[rank].Size() + (rank == own ? 1 : 0);
      if (places > this->ShareOf(rank, limit)) {
        return this->queues[rank].Victim(rank == own ? &arrival : nullptr);
      }
    }
    return std::nullopt;
  }

  double WorkAhead(const WaitingCall& arrival) const override {
    const std::size_t own = IndexOf(arrival.rank);
    const double in_rank = this->queues[own].WorkAhead(arrival);
    double urgent_first = in_rank;
    for (std::size_t rank = 0; rank < own; ++rank) {
      urgent_first += this->queues[rank].Cost();
    }
    if (this->shares[own] <= 0)
      return urgent_first;
    return std::min(urgent_first, in_rank / this->shares[own]);
  }

  PerRank<std::size_t> ReservedSlots(std::size_t limit) const override {
    PerRank<std::size_t> reserved{};
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      if (this->ShareOf(rank, limit) == 0)
        continue;
      reserved[rank] = static_cast<std::size_t>(std::ceil(
          kReservedPart * this->shares[rank] * static_cast<double>(limit)));
    }
    return reserved;
  }

 private:
  std::size_t ShareOf(std::size_t rank, std::size_t limit) const {
    return static_cast<std::size_t>(
        std::floor(this->shares[rank] * static_cast<double>(limit)));
  }

  std::optional<std::size_t> NextRank(const PerRank<bool>& allowed) const {
    std::optional<std::size_t> first;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      const OrganisationQueue& queue = this->queues[rank];
      if (!allowed[rank] || queue.IsEmpty())
        continue;
      if (this->credit[rank] >= static_cast<double>(queue.Front().cost))
        return rank;
      if (!first)
        first = rank;
    }
    return first;
  }

  void Charge(std::size_t started, double work) {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      if (!this->queues[rank].IsEmpty())
        this->credit[rank] += this->shares[rank] * work;
    }
    this->credit[started] = std::max(0.0, this->credit[started] - work);
  }

  void ForgetIdleCredit(std::size_t rank) {
    if (this->queues[rank].IsEmpty())
      this->credit[rank] = 0;
  }

  PerRank<OrganisationQueue> queues;
  PerRank<double> shares{};
  PerRank<double> credit{};
};

}  // namespace

std::unique_ptr<StartOrder> MakeShareOrder() {
  return std::make_unique<ShareOrder>();
}

}  // namespace buckthornpath
