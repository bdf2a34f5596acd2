/** @file retry_budget.cc Limits retries to a fraction of first attempts. */

#include "buckthornpath/retry_budget.h"

#include <algorithm>

namespace buckthornpath {

RetryBudget::RetryBudget(double share, double most)
    : share(share), most(most), saved(most) {}

void RetryBudget::CountFirstAttempt() {
  this->saved = std::min(this->most, this->saved + this->share);
}

bool RetryBudget::TryTake() {
  if (this->saved < 1.0)
    return false;
  this->saved -= 1.0;
  return true;
}

}  // namespace buckthornpath
