/** @file retry_limiter.h Retry budget shared by all of a router's calls. */

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

  /** Counts a first attempt, which adds to the budget. */
  void CountFirstAttempt();

  /** Takes one retry. @return False if the budget does not allow it. */
  bool TryTake();

 private:
  OrderedMutex mutex{LockRank::kRetryBudget};
  RetryBudget budget;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_RETRY_LIMITER_H_
