/** @file slope.h Measurements at several sizes and a line fitted to them. */

#ifndef TEST_SLOPES_SLOPE_H_
#define TEST_SLOPES_SLOPE_H_

#include <string>
#include <vector>

namespace buckthornpath {

/** Value measured at one size. */
struct SlopePoint {
  double size = 0;
  double value = 0;
};

/** Measurements of one quantity that grows linearly with a size. */
struct Slope {
  std::string name;
  std::string size_unit;
  std::string value_unit;
  std::vector<SlopePoint> points;

  /** @return Slope of the least-squares line, in value units per size unit. */
  double PerUnit() const;

  /** @return Value of the least-squares line at size 0. */
  double AtZero() const;
};

/** @return Heap bytes allocated by this process. */
double HeapBytes();

/** @return CPU time of this thread, in microseconds. */
double ThreadMicroseconds();

}  // namespace buckthornpath

#endif  // TEST_SLOPES_SLOPE_H_
