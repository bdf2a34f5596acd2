/** @file admission_ratio.cc Share of requests that an overloaded service gets.
 */

#include "buckthornpath/admission_ratio.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Growth of the ratio per second. */
constexpr double kGrowthPerSecond = 0.15;

/** Parts by which the ratio is lowered: after a slow response at most, and
 * after a refusal, as the endpoint's queue is then full. */
constexpr double kMaxSlowDecrease = 0.5;
constexpr double kFullDecrease = 0.6;

/** Minimum time between two decreases: the requests that were admitted before
 * must have ended to show the effect of the first. */
constexpr milliseconds kDecreaseInterval{100};

/** Share of slow responses that causes the largest decrease; a single one
 * causes hardly any. */
constexpr double kOverloadShare = 0.5;

/** Responses that the moving mean of this share spans. */
constexpr double kResponsesInMean = 10.0;

/** Requests per slot up to which an endpoint has capacity: those beyond its
 * slots wait for half the time of one request, on average. */
constexpr double kQueueingPerSlot = 1.5;

/** Minimum ratio, so that responses keep arriving. */
constexpr double kMinRatio = 0.1;

}  // namespace

bool AdmissionRatio::TryAdmit(std::optional<double> requests_per_slot,
                              TimePoint now) {
  this->Raise(now);
  this->credit = std::min(this->credit + this->ratio, 1.0 + this->ratio);
  if (this->credit < 1.0)
    return requests_per_slot && *requests_per_slot < kQueueingPerSlot;
  this->credit -= 1.0;
  return true;
}

void AdmissionRatio::RecordResponse(milliseconds took,
                                    milliseconds target,
                                    TimePoint now) {
  const bool is_slow = took > target;
  this->AddToMean(is_slow);
  if (is_slow) {
    this->Lower(
        kMaxSlowDecrease * std::min(1.0, this->overload_share / kOverloadShare),
        now);
  }
}

void AdmissionRatio::RecordFull(TimePoint now) {
  this->AddToMean(true);
  this->Lower(kFullDecrease, now);
}

void AdmissionRatio::AddToMean(bool is_overloaded) {
  this->overload_share +=
      ((is_overloaded ? 1.0 : 0.0) - this->overload_share) / kResponsesInMean;
}

void AdmissionRatio::Raise(TimePoint now) {
  if (this->ratio < 1.0) {
    const double seconds =
        std::chrono::duration<double>(now - this->raised_at).count();
    this->ratio = std::min(1.0, this->ratio + kGrowthPerSecond * seconds);
  }
  this->raised_at = now;
}

void AdmissionRatio::Lower(double part, TimePoint now) {
  this->Raise(now);
  if (now - this->lowered_at < kDecreaseInterval)
    return;
  this->lowered_at = now;
  this->ratio = std::max(kMinRatio, this->ratio * (1.0 - part));
}

}  // namespace buckthornpath
