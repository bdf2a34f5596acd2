/** @file lock_order.h Mutexes with a fixed locking order. */

#ifndef SRC_KERNEL_LOCK_ORDER_H_
#define SRC_KERNEL_LOCK_ORDER_H_

#include <mutex>

namespace buckthornpath {

/**
 * Rank of each mutex. To prevent deadlocks, a thread that holds a lock may
 * acquire only locks of a higher rank. Debug builds abort with a message if it
 * acquires another one.
 */
enum class LockRank {
  kInFlightCalls,   ///< Names of the calls in flight.
  kConfiguration,   ///< Active configuration documents.
  kMembers,         ///< VM list and estimated state of each endpoint.
  kConnectionPool,  ///< Idle connections to endpoint processes.
  kRetryBudget,     ///< Retries available to the calls of a router.
  kAdmission,       ///< Running and queued calls of an endpoint process.
  kLoadView,        ///< Loads reported by other endpoint processes.
  kOutcomeTable,    ///< Calls known to an endpoint process.
  kCallRecord,      ///< State and response of one call.
  kModelOrders,     ///< Reported state of an engine's model.
  kMetrics,         ///< Counters and histograms.
};

/** Mutex that checks the locking order in debug builds. */
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
