/** @file retry_budget.h Limits retries to a fraction of first attempts. */

#ifndef BUCKTHORNPATH_RETRY_BUDGET_H_
#define BUCKTHORNPATH_RETRY_BUDGET_H_

namespace buckthornpath {

/** Token bucket filled by first attempts and drained by retries. Not
 * thread-safe. */
class RetryBudget {
 public:
  /**
   * @param retries_per_attempt Retries allowed per first attempt, from 0 to 1.
   * @param capacity Capacity of the bucket, in retries; it starts full.
   */
  RetryBudget(double retries_per_attempt, double capacity);

  void CountFirstAttempt();

  /**
   * Takes one retry from the budget.
   * @return False if the budget is exhausted; the caller must not retry.
   */
  bool TryTake();

  /** Changes the capacity. What is left stays the same part of it, so that
   * repeated changes add no retries to a bucket that has been drained. */
  void SetCapacity(double capacity);

 private:
  double retries_per_attempt;
  double capacity;
  double tokens;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_RETRY_BUDGET_H_
