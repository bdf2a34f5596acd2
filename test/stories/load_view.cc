/** @file load_view.cc Exchange of load reports between endpoints. */

#include "buckthornpath/load_view.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <cstdio>
#include <random>

#include "harness/property.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxAge{3000};
constexpr milliseconds kInterval{700};
constexpr milliseconds kStep{50};
constexpr std::size_t kReportsPerDatagram = 11;

EndpointId MakeId(std::size_t index) {
  return EndpointId("endpoint-" + std::to_string(index));
}

void NewestReportWins() {
  LoadView view(kMaxAge);
  const auto first = milliseconds(*rc::gen::inRange(0, 2000));
  const auto second = milliseconds(*rc::gen::inRange(0, 2000));
  const milliseconds now{10000};
  view.Update({MakeId(1), 1, first}, now);
  view.Update({MakeId(1), 2, second}, now);
  const auto held = view.Find(MakeId(1), now);
  RC_ASSERT(held.has_value());
  RC_ASSERT(held->age == std::min(first, second));
  RC_ASSERT(held->load == (second <= first ? 2 : 1));
}

void StaleReportsDoNotCount() {
  LoadView view(kMaxAge);
  const auto age = milliseconds(*rc::gen::inRange(0, 6000));
  const auto elapsed = milliseconds(*rc::gen::inRange(0, 6000));
  view.Update({MakeId(1), 9, age}, milliseconds(10000));
  const LoadMean mean =
      view.MeanLoad(MakeId(0), 1, milliseconds(10000) + elapsed);
  const bool is_fresh = age + elapsed <= kMaxAge;
  RC_ASSERT(mean.endpoint_count == (is_fresh ? 2U : 1U));
  RC_ASSERT(mean.mean == (is_fresh ? 5.0 : 1.0));
  RC_ASSERT(mean.oldest <= kMaxAge);
}

/** With exact loads, at least one endpoint admits another request. */
void SomeEndpointAlwaysAdmits() {
  const auto loads = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
  const auto multiple = *rc::gen::inRange<std::int64_t>(100, 300);
  const milliseconds now{0};
  bool admits = false;
  for (std::size_t own = 0; own < loads.size(); ++own) {
    LoadView view(kMaxAge);
    for (std::size_t i = 0; i < loads.size(); ++i)
      view.Update({MakeId(i), loads[i], milliseconds(0)}, now);
    const std::int64_t count = loads[own] + 1;
    const LoadMean mean = view.MeanLoad(MakeId(own), count, now);
    admits = admits || count <= MaxLoad(mean.mean, multiple);
  }
  RC_ASSERT(admits);
}

/** Coverage and age of load reports after many rounds of datagrams. */
struct ExchangeStatistics {
  std::size_t min_known = 0;
  double mean_known = 0;
  double mean_age_ms = 0;
};

/** Sends one datagram of reports from one view to another. */
void Send(const std::vector<LoadView>& views,
          std::size_t from,
          LoadView& to,
          milliseconds now) {
  for (const LoadReport& report :
       views[from].Newest(kReportsPerDatagram, now)) {
    to.Update(report, now);
  }
  to.Update({MakeId(from), 1, milliseconds(0)}, now);
}

/**
 * Simulates 60 intervals; in each, every endpoint sends to one random peer.
 * @param replies Whether the peer replies with its own reports.
 */
ExchangeStatistics RunExchange(std::size_t endpoints, bool replies) {
  std::mt19937_64 random(20261204);
  std::vector<LoadView> views(endpoints, LoadView(kMaxAge));
  std::uniform_int_distribution<std::size_t> choose(0, endpoints - 2);
  milliseconds now{0};
  while (now < 60 * kInterval) {
    now += kStep;
    for (std::size_t own = 0; own < endpoints; ++own) {
      if ((now + own * kStep) % kInterval != milliseconds(0))
        continue;
      const std::size_t other = choose(random);
      const std::size_t peer = other < own ? other : other + 1;
      Send(views, own, views[peer], now);
      if (replies)
        Send(views, peer, views[own], now);
    }
  }
  ExchangeStatistics statistics;
  statistics.min_known = endpoints;
  double report_count = 0;
  for (const LoadView& view : views) {
    const auto known = view.LeastLoaded(endpoints, now);
    statistics.min_known = std::min(statistics.min_known, known.size());
    statistics.mean_known += static_cast<double>(known.size());
    for (const LoadReport& report : known)
      statistics.mean_age_ms += static_cast<double>(report.age.count());
    report_count += static_cast<double>(known.size());
  }
  statistics.mean_age_ms /= report_count;
  statistics.mean_known /= static_cast<double>(endpoints);
  return statistics;
}

void PrintStatistics(std::size_t endpoints,
                     const ExchangeStatistics& statistics) {
  std::printf(
      "      %zu endpoints: known at least %zu, mean %.1f, age %.0f ms\n",
      endpoints, statistics.min_known, statistics.mean_known,
      statistics.mean_age_ms);
}

void SmallServiceIsCovered() {
  const ExchangeStatistics statistics = RunExchange(20, true);
  PrintStatistics(20, statistics);
  CPPUNIT_ASSERT(statistics.mean_known >= 0.9 * 20);
  CPPUNIT_ASSERT(statistics.mean_age_ms <= 2000);
}

void LargeServiceIsSampled() {
  const ExchangeStatistics statistics = RunExchange(200, true);
  PrintStatistics(200, statistics);
  CPPUNIT_ASSERT(statistics.min_known >= 20);
}

const Story kStory("load_view", [] {
  return Section(
      "given loads that other endpoints reported",
      {Section("when reports come late and out of order",
               {Always("the newest report of an endpoint is kept",
                       NewestReportWins),
                Always("no report beyond the maximum age counts in the mean",
                       StaleReportsDoNotCount)}),
       Section("when an endpoint compares its count with the bound",
               {Always("some endpoint admits if all loads are exact",
                       SomeEndpointAlwaysAdmits)}),
       Section(
           "when each exchanges datagrams with a random peer at each interval",
           {Then("in a service of 20, endpoints know nearly all others",
                 SmallServiceIsCovered),
            Then("in a service of 200, each knows a sample",
                 LargeServiceIsSampled)})});
});

}  // namespace

}  // namespace buckthornpath
