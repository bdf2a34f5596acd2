/** @file retry_budget.h Limits retries to a share of first attempts. */

#ifndef BUCKTHORNPATH_RETRY_BUDGET_H_
#define BUCKTHORNPATH_RETRY_BUDGET_H_

namespace buckthornpath {

/** Tokens earned by first attempts and spent by retries; not thread-safe. */
class RetryBudget {
 public:
  /**
   * @param share Retries allowed for one first attempt, from 0 to 1.
   * @param most Most retries that may be saved up.
   */
  RetryBudget(double share, double most);

  /** Counts a first attempt. */
  void CountFirstAttempt();

  /**
   * Takes one retry from the budget.
   * @return False if the budget is spent; the caller must not retry.
   */
  bool TryTake();

 private:
  double share;
  double most;
  double saved;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_RETRY_BUDGET_H_
