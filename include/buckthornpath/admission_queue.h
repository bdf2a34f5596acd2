/** @file admission_queue.h Bounded slots and a bounded queue for one endpoint.
 */

#ifndef BUCKTHORNPATH_ADMISSION_QUEUE_H_
#define BUCKTHORNPATH_ADMISSION_QUEUE_H_

#include <map>
#include <vector>

#include "buckthornpath/start_order.h"

namespace buckthornpath {

/** Bounds of an admission queue. */
struct AdmissionLimits {
  std::size_t running = 1;  ///< Most calls running at once.
  std::size_t queued = 0;   ///< Most calls waiting at once.
};

enum class AdmissionVerdict {
  kQueued,         ///< It waits, or starts at the next StartNext().
  kQueueFull,      ///< Refused: no place to wait.
  kDeadlineUnmet,  ///< Refused: it could not start before its deadline.
};

/** What became of an offered call. */
struct AdmissionResult {
  AdmissionVerdict verdict = AdmissionVerdict::kQueued;
  CallHandle handle{};                      ///< Of a queued call.
  std::optional<CallHandle> evicted;        ///< Call that lost its place.
  std::chrono::milliseconds wait{};         ///< Predicted time to the start.
  std::chrono::milliseconds retry_after{};  ///< Of a refused call.
};

/** What a queue holds of one rank. */
struct RankLoad {
  std::size_t running = 0;
  std::size_t queued = 0;
  std::uint64_t started = 0;  ///< Since the beginning.
};

/**
 * Admits calls to a fixed number of slots through a bounded queue. Holds no
 * clock: every `now` is the owner's monotonic time. Not thread-safe.
 */
class AdmissionQueue {
 public:
  AdmissionQueue(AdmissionLimits limits, std::unique_ptr<StartOrder> order);

  /** Sets each rank's minimum share of the work started, from 0 to 1. */
  void SetShares(const PerRank<double>& shares);

  /** Queues a call or refuses it. @param call Its handle is ignored. */
  AdmissionResult Offer(WaitingCall call, std::chrono::milliseconds now);

  /** @return The next call to run now, if a slot is free for it. */
  std::optional<WaitingCall> StartNext(std::chrono::milliseconds now);

  /** Frees the slot of a call that StartNext() returned. */
  void Finish(CallHandle handle, std::chrono::milliseconds now);

  /** Removes a waiting call. @return False if it is not waiting. */
  bool Cancel(CallHandle handle);

  /** Removes and returns the waiting calls whose deadline has passed. */
  std::vector<CallHandle> TakeExpired(std::chrono::milliseconds now);

  std::size_t Running() const { return this->running_calls.size(); }
  std::size_t Queued() const { return this->waiting.size(); }

  /** @return What is held of a rank. */
  RankLoad LoadOf(Rank rank) const { return this->load[IndexOf(rank)]; }

 private:
  struct RunningCall {
    WaitingCall call;
    std::chrono::milliseconds started{};
  };

  /** @return True if a rank may take a slot now. */
  bool MayStart(std::size_t rank) const;

  std::chrono::milliseconds PredictWait(const WaitingCall& call) const;

  /** Takes a call from the queue. @pre It waits. */
  void Drop(CallHandle handle);

  AdmissionLimits limits;
  std::unique_ptr<StartOrder> order;
  std::map<CallHandle, WaitingCall> waiting;
  std::map<CallHandle, RunningCall> running_calls;
  PerRank<RankLoad> load{};
  std::uint64_t last_handle = 0;
  double recent_work = 0;     ///< Tokens of finished calls, decayed.
  double recent_slot_ms = 0;  ///< Time that they held a slot, decayed.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ADMISSION_QUEUE_H_
