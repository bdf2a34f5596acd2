/** @file load_view.cc Latest load reports of endpoints and their mean. */

#include "buckthornpath/load_view.h"

#include <algorithm>
#include <cmath>

namespace buckthornpath {

namespace {

constexpr double kPercent = 100.0;

/** Tolerance for rounding of the mean, so that 1.5 x 2 gives 3, not 4. */
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

void LoadView::Update(const LoadReport& report, std::chrono::milliseconds now) {
  if (report.age < std::chrono::milliseconds(0) || report.age > this->max_age)
    return;
  const Entry next{report.load, now - report.age};
  const auto [found, added] = this->entries.try_emplace(report.endpoint, next);
  if (!added && found->second.sampled_at <= next.sampled_at)
    found->second = next;
}

void LoadView::Forget(const EndpointId& endpoint) {
  this->entries.erase(endpoint);
}

std::optional<LoadReport> LoadView::Find(const EndpointId& endpoint,
                                         std::chrono::milliseconds now) const {
  const auto found = this->entries.find(endpoint);
  if (found == this->entries.end())
    return std::nullopt;
  const auto age = now - found->second.sampled_at;
  if (age > this->max_age)
    return std::nullopt;
  return LoadReport{endpoint, found->second.load, age};
}

LoadMean LoadView::MeanLoad(const EndpointId& own,
                            std::int64_t own_load,
                            std::chrono::milliseconds now) const {
  LoadMean result;
  result.endpoint_count = 1;
  std::int64_t total = own_load;
  for (const LoadReport& report : this->Reports(now)) {
    if (report.endpoint == own)
      continue;
    total += report.load;
    ++result.endpoint_count;
    result.oldest = std::max(result.oldest, report.age);
  }
  result.mean =
      static_cast<double>(total) / static_cast<double>(result.endpoint_count);
  return result;
}

template <class Less>
std::vector<LoadReport> LoadView::FirstSortedBy(std::size_t count,
                                                std::chrono::milliseconds now,
                                                Less less) const {
  std::vector<LoadReport> reports = this->Reports(now);
  std::stable_sort(reports.begin(), reports.end(), less);
  if (reports.size() > count)
    reports.resize(count);
  return reports;
}

std::vector<LoadReport> LoadView::Newest(std::size_t count,
                                         std::chrono::milliseconds now) const {
  return this->FirstSortedBy(
      count, now,
      [](const auto& left, const auto& right) { return left.age < right.age; });
}

std::vector<LoadReport> LoadView::LeastLoaded(
    std::size_t count,
    std::chrono::milliseconds now) const {
  return this->FirstSortedBy(count, now,
                             [](const auto& left, const auto& right) {
                               return left.load < right.load;
                             });
}

void LoadView::RemoveExpired(std::chrono::milliseconds now) {
  std::erase_if(this->entries, [&](const auto& entry) {
    return now - entry.second.sampled_at > this->max_age;
  });
}

std::vector<LoadReport> LoadView::Reports(std::chrono::milliseconds now) const {
  std::vector<LoadReport> reports;
  for (const auto& [endpoint, entry] : this->entries) {
    const auto age = now - entry.sampled_at;
    if (age <= this->max_age)
      reports.push_back({endpoint, entry.load, age});
  }
  return reports;
}

std::int64_t MaxLoad(double mean, std::int64_t multiple_percent) {
  const double bound = mean * static_cast<double>(multiple_percent) / kPercent;
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(std::ceil(bound - kRoundingTolerance)));
}

}  // namespace buckthornpath
