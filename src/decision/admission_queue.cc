/** @file admission_queue.cc Admission control of one endpoint. */

#include "buckthornpath/admission_queue.h"

#include <algorithm>

namespace buckthornpath {

namespace {

/** Decay of the throughput sums at each finished call. */
constexpr double kThroughputDecay = 0.95;

constexpr std::chrono::milliseconds kMinRetryAfter{1000};

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionLimits limits,
                               std::unique_ptr<SchedulingPolicy> policy)
    : limits(limits), policy(std::move(policy)) {}

void AdmissionQueue::SetShares(const PerRank<double>& shares) {
  this->policy->SetShares(shares);
}

AdmissionResult AdmissionQueue::Offer(WaitingCall call,
                                      std::chrono::milliseconds now) {
  AdmissionResult result;
  call.handle = CallHandle{++this->last_handle};
  call.cost = std::max<std::int64_t>(1, call.cost);
  const bool starts_now = this->MayStart(IndexOf(call.rank));
  result.wait = this->PredictWait(call);
  if (now + result.wait > call.deadline) {
    result.status = AdmissionStatus::kDeadlineUnmet;
    result.retry_after =
        std::max(kMinRetryAfter, now + result.wait - call.deadline);
    return result;
  }
  if (!starts_now && this->waiting.size() >= this->limits.queued) {
    const auto candidate =
        this->policy->EvictionCandidate(call, this->limits.queued);
    if (!candidate) {
      result.status = AdmissionStatus::kQueueFull;
      result.retry_after = std::max(kMinRetryAfter, result.wait);
      return result;
    }
    this->RemoveQueued(*candidate);
    result.evicted = candidate;
  }
  this->waiting.emplace(call.handle, call);
  this->policy->Add(call);
  ++this->class_loads[IndexOf(call.rank)].queued;
  result.handle = call.handle;
  return result;
}

std::optional<WaitingCall> AdmissionQueue::StartNext(
    std::chrono::milliseconds now) {
  PerRank<bool> allowed{};
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    allowed[rank] = this->MayStart(rank);
  }
  std::optional<WaitingCall> call = this->policy->Take(allowed);
  if (!call)
    return std::nullopt;
  RankLoad& rank_load = this->class_loads[IndexOf(call->rank)];
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
  const auto slot_ms = static_cast<double>((now - ended.started).count());
  this->recent_work_tokens = this->recent_work_tokens * kThroughputDecay +
                             static_cast<double>(ended.call.cost);
  this->recent_slot_ms = this->recent_slot_ms * kThroughputDecay + slot_ms;
  --this->class_loads[IndexOf(ended.call.rank)].running;
  this->running_calls.erase(found);
}

bool AdmissionQueue::Cancel(CallHandle handle) {
  if (this->waiting.count(handle) == 0)
    return false;
  this->RemoveQueued(handle);
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
    this->RemoveQueued(handle);
  return expired;
}

bool AdmissionQueue::MayStart(std::size_t rank) const {
  const std::size_t running = this->running_calls.size();
  if (running >= this->limits.running)
    return false;
  const auto reserved = this->policy->ReservedSlots(this->limits.running);
  std::size_t still_reserved = 0;
  for (std::size_t urgent = 0; urgent < rank; ++urgent) {
    const std::size_t used = this->class_loads[urgent].running;
    still_reserved += reserved[urgent] > used ? reserved[urgent] - used : 0;
  }
  return running == 0 || this->limits.running - running > still_reserved;
}

std::chrono::milliseconds AdmissionQueue::PredictWait(
    const WaitingCall& call) const {
  const double ahead = this->policy->WorkAhead(call);
  if (this->recent_work_tokens <= 0 || this->MayStart(IndexOf(call.rank)))
    return std::chrono::milliseconds(0);
  const double slot_ms =
      ahead * this->recent_slot_ms / this->recent_work_tokens;
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      slot_ms / static_cast<double>(this->limits.running)));
}

void AdmissionQueue::RemoveQueued(CallHandle handle) {
  const auto found = this->waiting.find(handle);
  --this->class_loads[IndexOf(found->second.rank)].queued;
  this->policy->Remove(found->second);
  this->waiting.erase(found);
}

}  // namespace buckthornpath
