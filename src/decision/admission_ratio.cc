/** @file admission_ratio.cc Share of requests that an overloaded service gets.
 */

#include "buckthornpath/admission_ratio.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Growth of the ratio per second. */
constexpr double kGrowthPerSecond = 0.15;

/** Factor of a decrease, and the minimum time between two: the requests that
 * were admitted before must have ended to show its effect. */
constexpr double kDecrease = 0.7;
constexpr milliseconds kDecreaseInterval{100};

/** Minimum ratio, so that responses keep arriving. */
constexpr double kMinRatio = 0.1;

}  // namespace

bool AdmissionRatio::TryAdmit(TimePoint now) {
  this->Raise(now);
  this->credit = std::min(this->credit + this->ratio, 1.0 + this->ratio);
  if (this->credit < 1.0)
    return false;
  this->credit -= 1.0;
  return true;
}

void AdmissionRatio::RecordResponse(milliseconds took,
                                    milliseconds target,
                                    TimePoint now) {
  if (took > target)
    this->Lower(now);
}

void AdmissionRatio::RecordFull(TimePoint now) {
  this->Lower(now);
}

void AdmissionRatio::Raise(TimePoint now) {
  if (this->ratio < 1.0) {
    const double seconds =
        std::chrono::duration<double>(now - this->raised_at).count();
    this->ratio = std::min(1.0, this->ratio + kGrowthPerSecond * seconds);
  }
  this->raised_at = now;
}

void AdmissionRatio::Lower(TimePoint now) {
  this->Raise(now);
  if (now - this->lowered_at < kDecreaseInterval)
    return;
  this->lowered_at = now;
  this->ratio = std::max(kMinRatio, this->ratio * kDecrease);
}

}  // namespace buckthornpath
