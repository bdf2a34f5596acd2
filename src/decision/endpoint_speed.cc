/** @file endpoint_speed.cc How long work takes at an endpoint at present. */

#include "buckthornpath/endpoint_speed.h"

#include <algorithm>
#include <cmath>

namespace buckthornpath {

namespace {

using Seconds = std::chrono::duration<double>;

/** Time in which what a figure says falls to about a third. */
constexpr Seconds kFadeTime{0.35};

/** Limits of a figure that is taken seriously. */
constexpr double kMinFactor = 0.2;
constexpr double kMaxFactor = 10.0;

}  // namespace

void EndpointSpeed::Record(double factor, TimePoint now) {
  if (!(factor > 0))
    return;
  this->figure = std::clamp(factor, kMinFactor, kMaxFactor);
  this->recorded_at = now;
}

double EndpointSpeed::SpeedFactor(TimePoint now) const {
  if (this->recorded_at == TimePoint{})
    return 1;
  const Seconds age = std::max(Seconds(now - this->recorded_at), Seconds(0));
  return 1 + (this->figure - 1) * std::exp(-age / kFadeTime);
}

}  // namespace buckthornpath
