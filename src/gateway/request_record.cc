/** @file request_record.cc Access log entry and metrics of a request. */

#include "gateway/request_record.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr unsigned kUnavailable = 503;

/** Limit of the prompt segments in a log entry. */
constexpr std::size_t kMaxLoggedSegments = 8;

}  // namespace

std::vector<std::string> FormatSegmentIds(
    std::span<const std::uint64_t> segments) {
  std::vector<std::string> texts;
  for (const std::uint64_t id :
       segments.first(std::min(segments.size(), kMaxLoggedSegments))) {
    std::array<char, 2 * sizeof(id)> text{};
    constexpr int kHexadecimal = 16;
    const auto [end, error] =
        std::to_chars(text.data(), text.data() + text.size(), id, kHexadecimal);
    texts.emplace_back(text.data(), end);
  }
  return texts;
}

void RequestRecord::RecordFirstByte(Clock::time_point now) {
  if (this->first_byte_at == Clock::time_point{})
    this->first_byte_at = now;
}

void RequestRecord::RecordAttempt(const EndpointState& endpoint,
                                  const char* end,
                                  std::size_t events,
                                  Clock::time_point silent_since,
                                  Clock::time_point now) {
  this->has_broken_attempt |= std::string_view(end) == kBrokenAttempt ||
                              std::string_view(end) == kStalledAttempt;
  this->attempts.push_back(
      {{"endpoint", endpoint.Entry().id},
       {"version", endpoint.Entry().version},
       {"end", end},
       {"running", endpoint.EstimatedRequests()},
       {"events", events},
       {"silent_ms", Elapsed(silent_since, now).count()},
       {"after_ms", Elapsed(this->received_at, now).count()}});
}

void RequestRecord::Count(const RequestClass& request,
                          bool is_disconnected,
                          Clock::time_point now) const {
  const std::string kind =
      MetricLabel("service", request.service.str()) + "," +
      MetricLabel("priority", std::to_string(request.priority));
  const char* outcome = this->final_status / 100 == 2 ? "served" : "failed";
  if (this->final_status == kUnavailable)
    outcome = "refused";
  else if (is_disconnected)
    outcome = "caller_left";
  Metrics& metrics = ProcessMetrics();
  metrics.Add("requests_total", kind + ",reason=\"" + this->reason + "\"");
  metrics.Observe("request_seconds", kind + ",outcome=\"" + outcome + "\"",
                  now - this->received_at);
  if (this->first_byte_at != Clock::time_point{}) {
    metrics.Observe("first_byte_seconds", kind,
                    this->first_byte_at - this->received_at);
  }
}

void RequestRecord::Write(const RequestClass& request,
                          const GatewayState& state,
                          std::uint64_t version,
                          bool is_disconnected) const {
  const auto now = Clock::now();
  this->Count(request, is_disconnected, now);
  std::vector<LogField> line = {
      {"request", request.metadata.request_id},
      {"route", request.route ? request.route->name : ""},
      {"organisation", request.organisation},
      {"service", request.service},
      {"configuration", version},
      {"priority", request.priority},
      {"reason", this->reason},
      {"status", this->final_status},
      {"total_ms", Elapsed(this->received_at, now).count()},
      {"attempts", this->attempts}};
  if (state.confirmed_at != Clock::time_point{}) {
    line.push_back(
        {"published_age_ms", Elapsed(state.confirmed_at, now).count()});
  }
  if (this->attempts.empty()) {
    line.push_back(
        {"taken_share", state.selector.Utilisation(request.service)});
    line.push_back(
        {"unusable", state.selector.CountUnusable(request.service, now)});
  }
  if (!this->stream_version.empty())
    line.push_back({"stream_version", this->stream_version});
  if (this->estimated_wait)
    line.push_back({"wait_ms", this->estimated_wait->count()});
  if (this->sent_at != Clock::time_point{}) {
    line.push_back(
        {"sent_ms", Elapsed(this->received_at, this->sent_at).count()});
  }
  if (this->first_byte_at != Clock::time_point{}) {
    line.push_back({"first_byte_ms",
                    Elapsed(this->received_at, this->first_byte_at).count()});
  }
  if (this->has_broken_attempt) {
    const RequestSignature& signature = request.signature;
    if (!signature.segments.empty())
      line.push_back({"segments", FormatSegmentIds(signature.segments)});
    line.push_back(
        {"fingerprint", FormatSegmentIds({&signature.fingerprint, 1})});
  }
  if (!this->quarantined_segments.empty()) {
    line.push_back(
        {"quarantined", FormatSegmentIds(this->quarantined_segments)});
  }
  LogLine(LogLevel::kInfo, "request", line);
}

}  // namespace buckthornpath
