/** @file admission_queue.cc Admission control of one endpoint. */

#include "buckthornpath/admission_queue.h"

#include <algorithm>

namespace buckthornpath {

namespace {

/** Decay of the throughput sums at each finished call. */
constexpr double kRateDecay = 0.95;

constexpr std::chrono::milliseconds kLeastRetryAfter{1000};

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionLimits limits,
                               std::unique_ptr<StartOrder> order)
    : limits(limits), order(std::move(order)) {}

void AdmissionQueue::SetShares(const PerRank<double>& shares) {
  this->order->SetShares(shares);
}

AdmissionResult AdmissionQueue::Offer(WaitingCall call,
                                      std::chrono::milliseconds now) {
  AdmissionResult result;
  call.handle = CallHandle{++this->last_handle};
  call.cost = std::max<std::int64_t>(1, call.cost);
  const bool starts_now = this->MayStart(IndexOf(call.rank));
  result.wait = this->PredictWait(call);
  if (now + result.wait > call.deadline) {
    result.verdict = AdmissionVerdict::kDeadlineUnmet;
    result.retry_after =
        std::max(kLeastRetryAfter, now + result.wait - call.deadline);
    return result;
  }
  if (!starts_now && this->waiting.size() >= this->limits.queued) {
    const auto victim = this->order->Victim(call, this->limits.queued);
    if (!victim) {
      result.verdict = AdmissionVerdict::kQueueFull;
      result.retry_after = std::max(kLeastRetryAfter, result.wait);
      return result;
    }
    this->Drop(*victim);
    result.evicted = victim;
  }
  this->waiting.emplace(call.handle, call);
  this->order->Add(call);
  ++this->load[IndexOf(call.rank)].queued;
  result.handle = call.handle;
  return result;
}

std::optional<WaitingCall> AdmissionQueue::StartNext(
    std::chrono::milliseconds now) {
  PerRank<bool> allowed{};
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    allowed[rank] = this->MayStart(rank);
  }
  std::optional<WaitingCall> call = this->order->Take(allowed);
  if (!call)
    return std::nullopt;
  RankLoad& rank_load = this->load[IndexOf(call->rank)];
  --rank_load.queued;
  ++rank_load.running;
  ++rank_load.started;
  this->waiting.erase(call->handle);
  this->running_calls.emplace(call->handle, RunningCall{*call, now});
  return call;
}

void AdmissionQueue::Finish(CallHandle handle, std::chrono::milliseconds now) {
  const auto found = this->running_calls.find(handle);
  if (found == this->running_calls.end())
    return;
  const RunningCall& ended = found->second;
  const auto held = static_cast<double>((now - ended.started).count());
  this->recent_work =
      this->recent_work * kRateDecay + static_cast<double>(ended.call.cost);
  this->recent_slot_ms = this->recent_slot_ms * kRateDecay + held;
  --this->load[IndexOf(ended.call.rank)].running;
  this->running_calls.erase(found);
}

bool AdmissionQueue::Cancel(CallHandle handle) {
  if (this->waiting.count(handle) == 0)
    return false;
  this->Drop(handle);
  return true;
}

std::vector<CallHandle> AdmissionQueue::TakeExpired(
    std::chrono::milliseconds now) {
  std::vector<CallHandle> expired;
  for (const auto& [handle, call] : this->waiting) {
    if (call.deadline < now)
      expired.push_back(handle);
  }
  for (const CallHandle handle : expired)
    this->Drop(handle);
  return expired;
}

bool AdmissionQueue::MayStart(std::size_t rank) const {
  const std::size_t running = this->running_calls.size();
  if (running >= this->limits.running)
    return false;
  const auto reserved = this->order->ReservedSlots(this->limits.running);
  std::size_t kept = 0;
  for (std::size_t urgent = 0; urgent < rank; ++urgent) {
    const std::size_t held = this->load[urgent].running;
    kept += reserved[urgent] > held ? reserved[urgent] - held : 0;
  }
  return running == 0 || this->limits.running - running > kept;
}

std::chrono::milliseconds AdmissionQueue::PredictWait(
    const WaitingCall& call) const {
  const double ahead = this->order->WorkAhead(call);
  if (this->recent_work <= 0 || this->MayStart(IndexOf(call.rank)))
    return std::chrono::milliseconds(0);
  const double slot_ms = ahead * this->recent_slot_ms / this->recent_work;
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      slot_ms / static_cast<double>(this->limits.running)));
}

void AdmissionQueue::Drop(CallHandle handle) {
  const auto found = this->waiting.find(handle);
  --this->load[IndexOf(found->second.rank)].queued;
  this->order->Remove(found->second);
  this->waiting.erase(found);
}

}  // namespace buckthornpath
