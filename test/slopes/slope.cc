/** @file slope.cc Measurements at several sizes and a line fitted to them. */

#include "slopes/slope.h"

#include <malloc.h>

#include <ctime>

namespace buckthornpath {

namespace {

double MeanOf(const std::vector<SlopePoint>& points,
              double SlopePoint::*member) {
  double sum = 0;
  for (const SlopePoint& point : points)
    sum += point.*member;
  return sum / static_cast<double>(points.size());
}

}  // namespace

double Slope::PerUnit() const {
  const double mean_size = MeanOf(this->points, &SlopePoint::size);
  const double mean_value = MeanOf(this->points, &SlopePoint::value);
  double products = 0;
  double squares = 0;
  for (const SlopePoint& point : this->points) {
    products += (point.size - mean_size) * (point.value - mean_value);
    squares += (point.size - mean_size) * (point.size - mean_size);
  }
  return products / squares;
}

double Slope::AtZero() const {
  return MeanOf(this->points, &SlopePoint::value) -
         this->PerUnit() * MeanOf(this->points, &SlopePoint::size);
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

double ThreadMicroseconds() {
  timespec spec{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spec);
  return static_cast<double>(spec.tv_sec) * 1e6 +
         static_cast<double>(spec.tv_nsec) / 1e3;
}

}  // namespace buckthornpath
