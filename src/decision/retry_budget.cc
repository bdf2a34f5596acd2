/** @file retry_budget.cc Limits retries to a fraction of first attempts. */

#include "buckthornpath/retry_budget.h"

#include <algorithm>

namespace buckthornpath {

RetryBudget::RetryBudget(double retries_per_attempt, double capacity)
    : retries_per_attempt(retries_per_attempt),
      capacity(capacity),
      tokens(capacity) {}

void RetryBudget::CountFirstAttempt() {
  this->tokens =
      std::min(this->capacity, this->tokens + this->retries_per_attempt);
}

void RetryBudget::SetCapacity(double capacity) {
  this->tokens *= capacity / this->capacity;
  this->capacity = capacity;
}

bool RetryBudget::TryTake() {
  if (this->tokens < 1.0)
    return false;
  this->tokens -= 1.0;
  return true;
}

}  // namespace buckthornpath
