/** @file retry_budget.h Limits retries to a fraction of first attempts. */

#ifndef BUCKTHORNPATH_RETRY_BUDGET_H_
#define BUCKTHORNPATH_RETRY_BUDGET_H_

namespace buckthornpath {

/** Token bucket filled by first attempts and drained by retries. Not
 * thread-safe. */
class RetryBudget {
 public:
  /**
   * @param share Retries allowed per first attempt, from 0 to 1.
   * @param most Capacity of the bucket, in retries; it starts full.
   */
  RetryBudget(double share, double most);

  void CountFirstAttempt();

  /**
   * Takes one retry from the budget.
   * @return False if the budget is exhausted; the caller must not retry.
   */
  bool TryTake();

 private:
  double share;
  double most;
  double saved;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_RETRY_BUDGET_H_
