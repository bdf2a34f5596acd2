/** @file retry_limiter.h The retry budget that all calls of a router share. */

#ifndef SRC_ROUTER_RETRY_LIMITER_H_
#define SRC_ROUTER_RETRY_LIMITER_H_

#include "buckthornpath/retry_budget.h"
#include "kernel/lock_order.h"
#include "kernel/settings.h"

namespace buckthornpath {

/** Thread-safe retry budget. */
class RetryLimiter {
 public:
  explicit RetryLimiter(const Settings& settings);

  /** Counts a first attempt. */
  void CountFirstAttempt();

  /** @return False if the call must not be tried again. */
  bool TryTake();

 private:
  OrderedMutex mutex{LockRank::kRetryBudget};
  RetryBudget budget;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_RETRY_LIMITER_H_
