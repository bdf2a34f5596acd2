/** @file load_metrics.cc Metrics of placing and waiting. */

#include "gateway/load_metrics.h"

#include <algorithm>
#include <map>
#include <string>

#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

std::string LabelOf(const ServiceName& service) {
  return MetricLabel("service", service.str());
}

/** Prefill backlog of a service's endpoints, in tokens. */
struct Backlog {
  std::int64_t total = 0;
  std::int64_t largest = 0;
};

}  // namespace

void CountPlacement(const EndpointReservation& reservation,
                    std::span<const PromptSegment> prompt) {
  if (prompt.empty())
    return;
  std::int64_t all_tokens = 0;
  for (const PromptSegment& segment : prompt)
    all_tokens += segment.tokens;
  const std::int64_t uncached = reservation.UncachedTokens();
  const std::string label = LabelOf(reservation.Endpoint()->Entry().service);
  Metrics& metrics = ProcessMetrics();
  metrics.Add("prompt_tokens_total", label + ",cached=\"no\"",
              static_cast<std::uint64_t>(uncached));
  metrics.Add("prompt_tokens_total", label + ",cached=\"yes\"",
              static_cast<std::uint64_t>(
                  std::max<std::int64_t>(all_tokens - uncached, 0)));
  if (reservation.IsAwayFromCache())
    metrics.Add("requests_placed_away_total", label);
}

void CountGivenUp(const ServiceName& service) {
  ProcessMetrics().Add("waits_given_up_total", LabelOf(service));
}

void ReportLoad(const GatewayState& state) {
  Metrics& metrics = ProcessMetrics();
  std::map<ServiceName, Backlog> backlogs;
  for (const auto& [service, queue] : state.queues) {
    metrics.Set("waiting_requests", LabelOf(service),
                static_cast<double>(queue.waiting.Size()));
    backlogs[service];  // A service that has lost its endpoints has none.
  }
  for (const auto& [id, endpoint] : state.selector.All()) {
    Backlog& backlog = backlogs[endpoint->Entry().service];
    backlog.total += endpoint->PrefillBacklog();
    backlog.largest = std::max(backlog.largest, endpoint->PrefillBacklog());
  }
  for (const auto& [service, backlog] : backlogs) {
    metrics.Set("prefill_backlog_tokens", LabelOf(service),
                static_cast<double>(backlog.total));
    metrics.Set("prefill_backlog_largest_share", LabelOf(service),
                backlog.total > 0 ? static_cast<double>(backlog.largest) /
                                        static_cast<double>(backlog.total)
                                  : 0.0);
  }
}

}  // namespace buckthornpath
