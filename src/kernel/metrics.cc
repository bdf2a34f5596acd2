/** @file metrics.cc Metrics; histograms are based on Boost.Histogram. */

#include "kernel/metrics.h"

#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <map>
#include <sstream>
#include <utility>

#include "kernel/lock_order.h"

namespace buckthornpath {

namespace {

/** Bucket bounds in seconds, two or three per decade. They cover the range from
 * a plain response to the longest time limit of a stream. */
constexpr std::array<double, 15> kBucketBounds = {
    0,    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25, 0.5,   1.0,    2.5,   5.0,  10.0,  30.0};

namespace histogram = boost::histogram;
using BucketAxis =
    histogram::axis::variable<double,
                              histogram::use_default,
                              histogram::axis::option::overflow_t>;

/** Histogram of one series. */
struct DurationHistogram {
  decltype(histogram::make_histogram(std::declval<BucketAxis>())) buckets =
      histogram::make_histogram(
          BucketAxis(kBucketBounds.begin(), kBucketBounds.end()));
  double sum = 0;  ///< Seconds.
};

using SeriesKey = std::pair<std::string, std::string>;  ///< Name and labels.

std::string SeriesName(const SeriesKey& key,
                       const std::string& extra_label = "") {
  std::string labels = key.second;
  if (!extra_label.empty())
    labels += (labels.empty() ? "" : ",") + extra_label;
  return "buckthornpath_" + key.first +
         (labels.empty() ? "" : "{" + labels + "}");
}

/** Writes the cumulative buckets, the count and the sum of a series. */
void RenderHistogram(const SeriesKey& key,
                     const DurationHistogram& durations,
                     std::ostringstream& text) {
  const SeriesKey bucket_key{key.first + "_bucket", key.second};
  double count = 0;
  for (std::size_t i = 0; i < durations.buckets.size(); ++i) {
    count += durations.buckets.at(static_cast<int>(i));
    std::ostringstream label;
    label << "le=\"";
    if (i + 1 < kBucketBounds.size())
      label << kBucketBounds.at(i + 1);
    else
      label << "+Inf";
    label << "\"";
    text << SeriesName(bucket_key, label.str()) << " " << count << "\n";
  }
  text << SeriesName({key.first + "_count", key.second}) << " " << count
       << "\n";
  text << SeriesName({key.first + "_sum", key.second}) << " " << durations.sum
       << "\n";
}

}  // namespace

struct Metrics::State {
  mutable OrderedMutex mutex{LockRank::kMetrics};
  std::map<SeriesKey, std::uint64_t> counters;
  std::map<SeriesKey, double> gauges;
  std::map<SeriesKey, DurationHistogram> durations;
};

Metrics::Metrics() : state(std::make_unique<State>()) {}

Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name,
                  const std::string& labels,
                  std::uint64_t amount) {
  const OrderedLock lock(this->state->mutex);
  this->state->counters[{name, labels}] += amount;
}

void Metrics::Set(const std::string& name,
                  const std::string& labels,
                  double value) {
  const OrderedLock lock(this->state->mutex);
  this->state->gauges[{name, labels}] = value;
}

void Metrics::Observe(const std::string& name,
                      const std::string& labels,
                      std::chrono::nanoseconds duration) {
  const std::chrono::duration<double> seconds = duration;
  const OrderedLock lock(this->state->mutex);
  DurationHistogram& durations = this->state->durations[{name, labels}];
  durations.buckets(seconds.count());
  durations.sum += seconds.count();
}

std::uint64_t Metrics::CounterValue(const std::string& name,
                                    const std::string& labels) const {
  const OrderedLock lock(this->state->mutex);
  const auto found = this->state->counters.find({name, labels});
  return found == this->state->counters.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  const OrderedLock lock(this->state->mutex);
  std::ostringstream text;
  for (const auto& [key, value] : this->state->counters) {
    text << SeriesName(key) << " " << value << "\n";
  }
  for (const auto& [key, value] : this->state->gauges) {
    text << SeriesName(key) << " " << value << "\n";
  }
  for (const auto& [key, durations] : this->state->durations)
    RenderHistogram(key, durations, text);
  return text.str();
}

Metrics& ProcessMetrics() {
  static Metrics metrics;
  return metrics;
}

std::string MetricLabel(const std::string& name, const std::string& value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\\' || character == '"')
      escaped += '\\';
    escaped += character == '\n' ? "\\n" : std::string(1, character);
  }
  return name + "=\"" + escaped + "\"";
}

}  // namespace buckthornpath
