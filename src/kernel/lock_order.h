/** @file lock_order.h The order in which shared tables are locked. */

#ifndef SRC_KERNEL_LOCK_ORDER_H_
#define SRC_KERNEL_LOCK_ORDER_H_

#include <mutex>

namespace buckthornpath {

/**
 * Rank of each shared table. A thread that holds a lock may take only locks of
 * a higher rank. Debug builds end the process with a message otherwise.
 */
enum class LockRank {
  kInFlightCalls,   ///< Names of the calls in flight.
  kConfiguration,   ///< Documents in force.
  kMembers,         ///< VM list and what is believed of each endpoint.
  kConnectionPool,  ///< Idle connections to endpoint processes.
  kRetryBudget,     ///< Retries that the calls of a router may make.
  kAdmission,       ///< Running and queued calls of an endpoint process.
  kLoadView,        ///< Load that other endpoint processes reported.
  kOutcomeTable,    ///< Calls known to an endpoint process.
  kOutcomeRecord,   ///< One call's answer.
  kModelOrders,     ///< What is shown of an engine's model.
  kMetrics,         ///< Counters and histograms.
};

/** Mutex that checks its rank against those the thread holds. */
class OrderedMutex {
 public:
  explicit OrderedMutex(LockRank rank) : rank(rank) {}

  void lock();
  void unlock();

 private:
  LockRank rank;
  std::mutex mutex;
};

using OrderedLock = std::lock_guard<OrderedMutex>;

}  // namespace buckthornpath

#endif  // SRC_KERNEL_LOCK_ORDER_H_
