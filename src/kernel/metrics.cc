/** @file metrics.cc Counters and latency quantiles by Boost.Accumulators. */

#include "kernel/metrics.h"

#include <array>
#include <map>
#include <sstream>
#include <utility>

// g++ 12 warns of members that the quantile's constructor does set.
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "kernel/lock_order.h"

namespace buckthornpath {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Summary =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;
using Key = std::pair<std::string, std::string>;  ///< Name and labels.

std::string Series(const Key& key, const std::string& more = "") {
  std::string labels = key.second;
  if (!more.empty())
    labels += (labels.empty() ? "" : ",") + more;
  return "buckthornpath_" + key.first +
         (labels.empty() ? "" : "{" + labels + "}");
}

}  // namespace

struct Metrics::State {
  mutable OrderedMutex mutex{LockRank::kMetrics};
  std::map<Key, std::uint64_t> counters;
  std::map<Key, double> gauges;
  std::map<Key, Summary> summaries;
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
  auto [found, added] = this->state->summaries.try_emplace(
      {name, labels}, acc::extended_p_square_probabilities = kQuantiles);
  found->second(seconds.count());
}

std::uint64_t Metrics::Count(const std::string& name,
                             const std::string& labels) const {
  const OrderedLock lock(this->state->mutex);
  const auto found = this->state->counters.find({name, labels});
  return found == this->state->counters.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  const OrderedLock lock(this->state->mutex);
  std::ostringstream text;
  for (const auto& [key, value] : this->state->counters) {
    text << Series(key) << " " << value << "\n";
  }
  for (const auto& [key, value] : this->state->gauges) {
    text << Series(key) << " " << value << "\n";
  }
  for (const auto& [key, summary] : this->state->summaries) {
    for (const double quantile : kQuantiles) {
      std::ostringstream label;
      label << "quantile=\"" << quantile << "\"";
      text << Series(key, label.str()) << " "
           << acc::quantile(summary, acc::quantile_probability = quantile)
           << "\n";
    }
    text << Series({key.first + "_count", key.second}) << " "
         << acc::count(summary) << "\n";
    text << Series({key.first + "_sum", key.second}) << " " << acc::sum(summary)
         << "\n";
  }
  return text.str();
}

Metrics& ProcessMetrics() {
  static Metrics metrics;
  return metrics;
}

}  // namespace buckthornpath
