/** @file first_byte_time.h Time from the start of a call to its first byte. */

#ifndef BUCKTHORNPATH_FIRST_BYTE_TIME_H_
#define BUCKTHORNPATH_FIRST_BYTE_TIME_H_

#include <chrono>

namespace buckthornpath {

/**
 * Estimates the time to the first byte from recent calls as mean plus a
 * multiple of the mean deviation, both smoothed exponentially (the estimator of
 * Jacobson 1988 for round-trip times). Not thread-safe.
 */
class FirstByteTimeEstimator {
 public:
  /** Adds the time to first byte of one call. */
  void RecordSample(std::chrono::duration<double> time);

  /** @return Upper estimate of the time to first byte; zero before the first
   *     call. */
  std::chrono::milliseconds Estimate() const;

 private:
  bool has_sample = false;
  std::chrono::duration<double> mean{};
  std::chrono::duration<double> deviation{};
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_FIRST_BYTE_TIME_H_
