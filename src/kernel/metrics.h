/** @file metrics.h Counters and latency quantiles. */

#ifndef SRC_KERNEL_METRICS_H_
#define SRC_KERNEL_METRICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace buckthornpath {

/** Counters, gauges and latency summaries of one process. */
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /**
   * Adds to a counter.
   * @param name Name in the text format, such as `requests_total`.
   * @param labels Labels as `rank="urgent"`, or empty.
   */
  void Add(const std::string& name,
           const std::string& labels = "",
           std::uint64_t amount = 1);

  /** Sets a gauge. */
  void Set(const std::string& name, const std::string& labels, double value);

  /** Records one duration in a histogram. */
  void Observe(const std::string& name,
               const std::string& labels,
               std::chrono::nanoseconds duration);

  /** @return The value of a counter. */
  std::uint64_t Count(const std::string& name,
                      const std::string& labels = "") const;

  /** @return All values in the text format that metric collectors read. */
  std::string Render() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/** @return The metrics of this process. */
Metrics& ProcessMetrics();

}  // namespace buckthornpath

#endif  // SRC_KERNEL_METRICS_H_
