/** @file load_view.cc What endpoints know of each other's load. */

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
constexpr milliseconds kTick{50};
constexpr std::size_t kReportsPerDatagram = 11;

EndpointId Name(std::size_t index) {
  return EndpointId("endpoint-" + std::to_string(index));
}

void YoungestReportWins() {
  LoadView view(kMaxAge);
  const auto first = milliseconds(*rc::gen::inRange(0, 2000));
  const auto second = milliseconds(*rc::gen::inRange(0, 2000));
  const milliseconds now{10000};
  view.Update({Name(1), 1, first}, now);
  view.Update({Name(1), 2, second}, now);
  const auto held = view.Find(Name(1), now);
  RC_ASSERT(held.has_value());
  RC_ASSERT(held->age == std::min(first, second));
  RC_ASSERT(held->load == (second <= first ? 2 : 1));
}

void StaleReportsDoNotCount() {
  LoadView view(kMaxAge);
  const auto age = milliseconds(*rc::gen::inRange(0, 6000));
  const auto later = milliseconds(*rc::gen::inRange(0, 6000));
  view.Update({Name(1), 9, age}, milliseconds(10000));
  const LoadMean mean = view.MeanLoad(Name(0), 1, milliseconds(10000) + later);
  const bool is_young = age + later <= kMaxAge;
  RC_ASSERT(mean.endpoint_count == (is_young ? 2U : 1U));
  RC_ASSERT(mean.mean == (is_young ? 5.0 : 1.0));
  RC_ASSERT(mean.oldest <= kMaxAge);
}

/** If all loads are exact, a walk over all endpoints finds one that admits. */
void SomeEndpointAlwaysAdmits() {
  const auto loads = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
  const auto multiple = *rc::gen::inRange<std::int64_t>(100, 300);
  const milliseconds now{0};
  bool admits = false;
  for (std::size_t own = 0; own < loads.size(); ++own) {
    LoadView view(kMaxAge);
    for (std::size_t i = 0; i < loads.size(); ++i)
      view.Update({Name(i), loads[i], milliseconds(0)}, now);
    const std::int64_t count = loads[own] + 1;
    const LoadMean mean = view.MeanLoad(Name(own), count, now);
    admits = admits || count <= MaxLoad(mean.mean, multiple);
  }
  RC_ASSERT(admits);
}

/** What endpoints know after many rounds of datagrams. */
struct ExchangeFigures {
  std::size_t least_known = 0;
  double mean_known = 0;
  double mean_age_ms = 0;
};

/** Sends a datagram from one view to another. */
void Send(const std::vector<LoadView>& views,
          std::size_t from,
          LoadView& to,
          milliseconds now) {
  for (const LoadReport& report :
       views[from].Newest(kReportsPerDatagram, now)) {
    to.Update(report, now);
  }
  to.Update({Name(from), 1, milliseconds(0)}, now);
}

/**
 * Each endpoint sends to one random peer at each interval.
 * @param answers Whether the peer answers.
 */
ExchangeFigures RunExchange(std::size_t endpoints, bool answers) {
  std::mt19937_64 random(20261204);
  std::vector<LoadView> views(endpoints, LoadView(kMaxAge));
  std::uniform_int_distribution<std::size_t> choose(0, endpoints - 2);
  milliseconds now{0};
  while (now < 60 * kInterval) {
    now += kTick;
    for (std::size_t own = 0; own < endpoints; ++own) {
      if ((now + own * kTick) % kInterval != milliseconds(0))
        continue;
      const std::size_t other = choose(random);
      const std::size_t peer = other < own ? other : other + 1;
      Send(views, own, views[peer], now);
      if (answers)
        Send(views, peer, views[own], now);
    }
  }
  ExchangeFigures figures;
  figures.least_known = endpoints;
  double reports = 0;
  for (const LoadView& view : views) {
    const auto known = view.LeastLoaded(endpoints, now);
    figures.least_known = std::min(figures.least_known, known.size());
    figures.mean_known += static_cast<double>(known.size());
    for (const LoadReport& report : known)
      figures.mean_age_ms += static_cast<double>(report.age.count());
    reports += static_cast<double>(known.size());
  }
  figures.mean_age_ms /= reports;
  figures.mean_known /= static_cast<double>(endpoints);
  return figures;
}

void PrintFigures(std::size_t endpoints, const ExchangeFigures& figures) {
  std::printf(
      "      %zu endpoints: known at least %zu, mean %.1f, age %.0f ms\n",
      endpoints, figures.least_known, figures.mean_known, figures.mean_age_ms);
}

void SmallServiceIsKnown() {
  const ExchangeFigures figures = RunExchange(20, true);
  PrintFigures(20, figures);
  CPPUNIT_ASSERT(figures.mean_known >= 0.9 * 20);
  CPPUNIT_ASSERT(figures.mean_age_ms <= 2000);
}

void LargeServiceIsSampled() {
  const ExchangeFigures figures = RunExchange(200, true);
  PrintFigures(200, figures);
  CPPUNIT_ASSERT(figures.least_known >= 20);
}

const Story kStory("load_view", [] {
  return Section(
      "given loads that other endpoints reported",
      {Section("when reports come late and out of order",
               {Always("the youngest report of an endpoint is held",
                       YoungestReportWins),
                Always("no report past the maximum age counts in the mean",
                       StaleReportsDoNotCount)}),
       Section("when an endpoint compares its count with the bound",
               {Always("some endpoint admits if all loads are exact",
                       SomeEndpointAlwaysAdmits)}),
       Section(
           "when each exchanges datagrams with a random peer at each interval",
           {Then("in a service of 20 nearly all know nearly all",
                 SmallServiceIsKnown),
            Then("in a service of 200 each knows a sample",
                 LargeServiceIsSampled)})});
});

}  // namespace

}  // namespace buckthornpath
