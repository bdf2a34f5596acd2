/** @file retry_limiter.cc Retry budget shared by all of a router's calls. */

#include "router/retry_limiter.h"

#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr double kPercent = 100.0;

/** Maximum number of unused retries that accumulate. */
constexpr double kMaxSavedRetries = 50.0;

}  // namespace

RetryLimiter::RetryLimiter(const Settings& settings)
    : budget(static_cast<double>(settings.retry_budget_percent) / kPercent,
             kMaxSavedRetries) {}

void RetryLimiter::CountFirstAttempt() {
  const OrderedLock lock(this->mutex);
  this->budget.CountFirstAttempt();
}

bool RetryLimiter::TryTake() {
  const OrderedLock lock(this->mutex);
  const bool taken = this->budget.TryTake();
  ProcessMetrics().Add(taken ? "retries_total" : "retries_withheld_total");
  return taken;
}

}  // namespace buckthornpath
