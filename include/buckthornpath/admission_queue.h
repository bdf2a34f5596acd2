/** @file admission_queue.h Admission control of one endpoint. */

#ifndef BUCKTHORNPATH_ADMISSION_QUEUE_H_
#define BUCKTHORNPATH_ADMISSION_QUEUE_H_

#include <map>
#include <vector>

#include "buckthornpath/scheduling_policy.h"

namespace buckthornpath {

/** Capacity of an admission queue. */
struct AdmissionLimits {
  std::size_t running = 1;  ///< Maximum number of running calls.
  std::size_t queued = 0;   ///< Maximum number of queued calls.
};

enum class AdmissionStatus {
  kQueued,         ///< Accepted; StartNext() returns it later.
  kQueueFull,      ///< Refused: the queue is full.
  kDeadlineUnmet,  ///< Refused: predicted to start after its deadline.
};

/** Result of Offer(). */
struct AdmissionResult {
  AdmissionStatus status = AdmissionStatus::kQueued;
  CallHandle handle{};                ///< Set if the call was queued.
  std::optional<CallHandle> evicted;  ///< Queued call removed to make room.
  std::chrono::milliseconds wait{};   ///< Predicted time until the call starts.
  std::chrono::milliseconds retry_after{};  ///< Set if the call was refused.
};

/** Number of calls of one rank. */
struct RankLoad {
  std::size_t running = 0;
  std::size_t queued = 0;
  std::uint64_t started = 0;  ///< Total since the queue was created.
};

/**
 * Admits calls to a fixed number of slots through a bounded queue. Does not
 * read a clock: the caller passes monotonic time as `now`. Not thread-safe.
 */
class AdmissionQueue {
 public:
  AdmissionQueue(AdmissionLimits limits,
                 std::unique_ptr<SchedulingPolicy> policy);

  /** Sets each rank's minimum share of started work, 0 to 1. */
  void SetShares(const PerRank<double>& shares);

  /** Queues or refuses a call. @param call Its `handle` is overwritten. */
  AdmissionResult Offer(WaitingCall call, std::chrono::milliseconds now);

  /** Removes and returns the next call to run, if a slot is free for it. */
  std::optional<WaitingCall> StartNext(std::chrono::milliseconds now);

  /** Releases the slot of a call that StartNext() returned. */
  void Finish(CallHandle handle, std::chrono::milliseconds now);

  /** Removes a queued call. @return False if it is not queued. */
  bool Cancel(CallHandle handle);

  /** Removes and returns the queued calls whose deadline has passed. */
  std::vector<CallHandle> TakeExpired(std::chrono::milliseconds now);

  std::size_t Running() const { return this->running_calls.size(); }
  std::size_t Queued() const { return this->waiting.size(); }

  RankLoad LoadOf(Rank rank) const { return this->class_loads[IndexOf(rank)]; }

 private:
  struct RunningCall {
    WaitingCall call;
    std::chrono::milliseconds started{};
  };

  /** @return True if a slot is free that is not reserved for more urgent
   * ranks. */
  bool MayStart(std::size_t rank) const;

  std::chrono::milliseconds PredictWait(const WaitingCall& call) const;

  /** Removes a call from the queue. @pre It is queued. */
  void RemoveQueued(CallHandle handle);

  AdmissionLimits limits;
  std::unique_ptr<SchedulingPolicy> policy;
  std::map<CallHandle, WaitingCall> waiting;
  std::map<CallHandle, RunningCall> running_calls;
  PerRank<RankLoad> class_loads{};
  std::uint64_t last_handle = 0;
  double recent_work_tokens = 0;  ///< Tokens of finished calls, decaying.
  double recent_slot_ms = 0;      ///< Slot time of these calls, decaying.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ADMISSION_QUEUE_H_
