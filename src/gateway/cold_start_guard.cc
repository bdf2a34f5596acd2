/** @file cold_start_guard.cc Endpoints that have just started, in a gateway. */

#include "gateway/cold_start_guard.h"

#include <algorithm>
#include <set>
#include <string>

#include "gateway/request_record.h"
#include "kernel/http_client.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr double kPercent = 100.0;

ColdEndpointShare ShareOf(const Settings& settings) {
  const std::vector<std::string> listed = SplitAddresses(settings.cold_senders);
  const std::set<std::string> senders(listed.begin(), listed.end());
  ColdEndpointShare share;
  share.overage = static_cast<double>(settings.cold_overage) / kPercent;
  share.slack = static_cast<double>(settings.cold_slack);
  share.senders = senders.size();
  share.is_sender = senders.contains(settings.gossip_address);
  return share;
}

}  // namespace

ColdStartGuard::ColdStartGuard(const Settings& settings,
                               const std::shared_ptr<const RoutingTable>& table)
    : table(table),
      senders(settings.cold_senders),
      limit(ShareOf(settings), Clock::now()) {}

ColdStartPolicy ColdStartGuard::PolicyOf(const ServiceName& service) const {
  const ServiceConfig* config =
      this->table ? this->table->FindService(service) : nullptr;
  return config == nullptr ? ColdStartPolicy{} : config->cold_start;
}

template <class Change>
void ColdStartGuard::Apply(const EndpointEntry& entry,
                           const char* reason,
                           Clock::time_point now,
                           Change change) {
  const ColdStartPolicy policy = this->PolicyOf(entry.service);
  const bool was_cold = this->limit.IsCold(entry.id, policy, now);
  change();
  if (was_cold || !this->limit.IsCold(entry.id, policy, now))
    return;
  const auto time = this->limit.ColdUntil(entry.id, policy) - now;
  LogLine(
      LogLevel::kNotice, "endpoint_cold",
      {{"endpoint", entry.id},
       {"service", entry.service},
       {"reason", reason},
       {"for_ms", std::chrono::ceil<std::chrono::milliseconds>(time).count()},
       {"may_send", this->limit.Interval(policy).has_value()}});
  ProcessMetrics().Add("cold_starts_total",
                       MetricLabel("service", entry.service.str()));
}

void ColdStartGuard::RecordPublished(const EndpointEntry& entry,
                                     bool is_first_read,
                                     Clock::time_point now) {
  this->Apply(entry, "published", now, [&] {
    this->limit.RecordPublished(
        entry.id, {entry.born_ms, entry.warm_up_remaining, is_first_read}, now,
        std::chrono::system_clock::now());
  });
}

void ColdStartGuard::RecordStatement(const EndpointState& endpoint,
                                     std::chrono::milliseconds remaining,
                                     Clock::time_point now) {
  const EndpointEntry& entry = endpoint.Entry();
  this->Apply(entry, "response", now,
              [&] { this->limit.RecordStatement(entry.id, remaining, now); });
}

void ColdStartGuard::RecordPossibleRestart(const EndpointState& endpoint,
                                           Clock::time_point now) {
  const EndpointEntry& entry = endpoint.Entry();
  this->Apply(entry, "possible_restart", now,
              [&] { this->limit.RecordPossibleRestart(entry.id, now); });
}

void ColdStartGuard::RecordRefusedConnection(const EndpointState& endpoint,
                                             Clock::time_point now) {
  const EndpointEntry& entry = endpoint.Entry();
  this->Apply(entry, "refused_connection", now,
              [&] { this->limit.RecordRefusedConnection(entry.id, now); });
}

void ColdStartGuard::RecordResult(const EndpointState& endpoint,
                                  AttemptResult result,
                                  Clock::time_point now) {
  const auto row = RowOf(result).endpoint_result;
  if (!row || *row == EndpointResult::kFull)
    return;
  const EndpointEntry& entry = endpoint.Entry();
  this->limit.RecordResult(entry.id, this->PolicyOf(entry.service),
                           *row == EndpointResult::kServed, now);
}

bool ColdStartGuard::MaySend(const EndpointState& endpoint,
                             Clock::time_point now) const {
  const EndpointEntry& entry = endpoint.Entry();
  return this->limit.MaySend(entry.id, this->PolicyOf(entry.service),
                             endpoint.OwnRequests(), now);
}

void ColdStartGuard::RecordSend(const EndpointState& endpoint,
                                Clock::time_point now) {
  const EndpointEntry& entry = endpoint.Entry();
  const ColdStartPolicy policy = this->PolicyOf(entry.service);
  if (this->limit.IsCold(entry.id, policy, now)) {
    ProcessMetrics().Add("cold_endpoint_requests_total",
                         MetricLabel("service", entry.service.str()));
  }
  this->limit.RecordSend(entry.id, policy, now);
}

bool ColdStartGuard::IsGranted(const EndpointState& endpoint,
                               Clock::time_point reserved_at,
                               Clock::time_point now) const {
  const EndpointEntry& entry = endpoint.Entry();
  return this->limit.IsGranted(entry.id, this->PolicyOf(entry.service),
                               reserved_at, now);
}

nlohmann::json ColdStartGuard::Status(
    const std::map<EndpointId, EndpointHandle>& endpoints,
    Clock::time_point now) const {
  nlohmann::json cold = nlohmann::json::object();
  for (const auto& [id, endpoint] : endpoints) {
    const EndpointEntry& entry = endpoint->Entry();
    const ColdStartPolicy policy = this->PolicyOf(entry.service);
    if (!this->limit.IsCold(id, policy, now))
      continue;
    const auto left = this->limit.ColdUntil(id, policy) - now;
    cold[id.str()] = {
        {"remaining_ms",
         std::chrono::ceil<std::chrono::milliseconds>(left).count()},
        {"may_send", this->limit.Interval(policy).has_value()}};
  }
  return {{"endpoints", std::move(cold)}, {"senders", this->senders}};
}

}  // namespace buckthornpath
