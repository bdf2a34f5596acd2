/** @file first_byte_time.cc Time from the start of a call to its first byte. */

#include "buckthornpath/first_byte_time.h"

#include <cmath>

namespace buckthornpath {

namespace {

constexpr double kMeanGain = 1.0 / 8.0;
constexpr double kDeviationGain = 1.0 / 4.0;
constexpr double kDeviationMultiple = 4.0;

}  // namespace

void FirstByteTimeEstimator::RecordSample(std::chrono::duration<double> time) {
  if (!this->has_sample) {
    this->has_sample = true;
    this->mean = time;
    this->deviation = time / 2.0;
    return;
  }
  const std::chrono::duration<double> error = time - this->mean;
  this->mean += kMeanGain * error;
  this->deviation +=
      kDeviationGain * (std::chrono::duration<double>(std::abs(error.count())) -
                        this->deviation);
}

std::chrono::milliseconds FirstByteTimeEstimator::Estimate() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      this->mean + kDeviationMultiple * this->deviation);
}

}  // namespace buckthornpath
