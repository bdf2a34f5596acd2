/** @file retry_after.cc Time after which a refused caller should return. */

#include "buckthornpath/retry_after.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** A caller that returned earlier would find the same load. */
constexpr milliseconds kMinRetryAfter{50};

/** Divisor of the time left that gives the maximum: the rest is for the
 * request itself. */
constexpr int kMaxDivisor = 3;

/** Callers that wait for the same endpoint return over this part of the time
 * until then, and over at least this time. */
constexpr int kReturnSpreadDivisor = 4;
constexpr milliseconds kMinReturnSpread{300};

milliseconds PartOf(milliseconds time, double part) {
  return std::chrono::duration_cast<milliseconds>(time * part);
}

}  // namespace

milliseconds RetryAfterFor(const RefusalOutlook& outlook) {
  // Earlier, the caller would be refused again.
  if (outlook.quarantine)
    return std::max(*outlook.quarantine, kMinRetryAfter);
  const milliseconds max_time =
      std::max(kMinRetryAfter, outlook.time_left / kMaxDivisor);
  // Two tries wait for at most 5/9 of the time left, and the rest is for the
  // stream.
  if (outlook.proof && *outlook.proof <= outlook.time_left / 2)
    return std::clamp(*outlook.proof, kMinRetryAfter, max_time);
  // A longer wait would change nothing here; the caller is to try another
  // gateway, or to give up, while it has time left.
  if (outlook.is_in_vain)
    return kMinRetryAfter;
  if (outlook.endpoint_return) {
    const milliseconds time = *outlook.endpoint_return;
    const milliseconds range =
        std::max(kMinReturnSpread, time / kReturnSpreadDivisor);
    return std::max(time + PartOf(range, outlook.spread), kMinRetryAfter);
  }
  if (outlook.is_evacuated)
    return max_time;
  const milliseconds capacity_in = std::clamp(
      std::max(PartOf(max_time, outlook.refused_share), outlook.queue_wait),
      kMinRetryAfter, max_time);
  // Those refused together would arrive together again: they return from half
  // of the time on, over as long as it takes.
  return std::clamp(capacity_in / 2 + PartOf(capacity_in, outlook.spread),
                    kMinRetryAfter, max_time);
}

}  // namespace buckthornpath
