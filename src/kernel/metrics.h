/** @file metrics.h Counters, gauges and latency histograms. */

#ifndef SRC_KERNEL_METRICS_H_
#define SRC_KERNEL_METRICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace buckthornpath {

/** Counters, gauges and latency histograms of one process. */
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /**
   * Adds to a counter.
   * @param name Metric name without prefix, such as `requests_total`.
   * @param labels Labels in text format, as `rank="urgent"`, or empty.
   */
  void Add(const std::string& name,
           const std::string& labels = "",
           std::uint64_t amount = 1);

  /** Sets a gauge. */
  void Set(const std::string& name, const std::string& labels, double value);

  /** Records a duration in a histogram, in seconds. */
  void Observe(const std::string& name,
               const std::string& labels,
               std::chrono::nanoseconds duration);

  /** @return The value of a counter. */
  std::uint64_t CounterValue(const std::string& name,
                             const std::string& labels = "") const;

  /** @return All metrics in the Prometheus text format. */
  std::string Render() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

Metrics& ProcessMetrics();

/** @return A label in text format; the value may be any text. */
std::string MetricLabel(const std::string& name, const std::string& value);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_METRICS_H_
