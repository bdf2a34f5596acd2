/** @file slope.h Points measured at several sizes and the line through them. */

#ifndef TEST_SLOPES_SLOPE_H_
#define TEST_SLOPES_SLOPE_H_

#include <string>
#include <vector>

namespace buckthornpath {

/** One measurement. */
struct SlopePoint {
  double size = 0;
  double value = 0;
};

/** Points of one quantity; the value grows with the size. */
struct Slope {
  std::string name;
  std::string size_unit;
  std::string value_unit;
  std::vector<SlopePoint> points;

  /** @return Growth of the value for each unit of size, by least squares. */
  double PerUnit() const;

  /** @return Value of the fitted line at size 0. */
  double AtZero() const;
};

/** @return Bytes of the heap in use by this process. */
double HeapBytes();

/** @return Processor time of this thread, in microseconds. */
double ThreadMicroseconds();

}  // namespace buckthornpath

#endif  // TEST_SLOPES_SLOPE_H_
