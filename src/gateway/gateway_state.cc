/** @file gateway_state.cc State shared by all requests of a gateway. */

#include "gateway/gateway_state.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <vector>

#include "gateway/request_record.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

/** Connection limit of an endpoint if the configuration states none. */
constexpr std::size_t kDefaultConnections = 64;

/** Part of an endpoint's connection limit that the known gateways may use
 * together; the rest is a reserve for gateways that are not yet known. */
constexpr double kConnectionShare = 0.85;

/** Part of the platform's retry ratio that is used. The rest allows for
 * requests that a process counts as first attempts but never sends. */
constexpr double kRetryShareUsed = 0.7;

constexpr double kPercent = 100.0;

/** Part of the VM's memory that buffered requests and responses may use. The
 * rest is for the process itself, copies made while a buffer grows, buffers of
 * sockets, and the allocator. */
constexpr std::size_t kBufferedDivisor = 5;
constexpr std::size_t kBufferedParts = 2;

/** Part of the buffered bytes that is reserved for small requests. */
constexpr std::size_t kReservedDivisor = 8;

constexpr std::size_t kBytesPerMegabyte = 1000000;

std::size_t BufferedLimit(const Settings& settings) {
  return static_cast<std::size_t>(settings.memory_limit) * kBytesPerMegabyte /
         kBufferedDivisor * kBufferedParts;
}

/** Part of the retry burst allowance that all gateways together may spend. */
constexpr double kRetrySlackUsed = 0.5;

/** An endpoint that leaves gets its last request this long before the limit:
 * a request may wait for a connection, and takes some time to arrive. */
constexpr std::chrono::milliseconds kLeaveMargin{500};

EndpointSelectorLimits SelectorLimits(const Settings& settings) {
  EndpointSelectorLimits limits;
  limits.leaving_time = std::max(settings.endpoint_leave_time - kLeaveMargin,
                                 std::chrono::milliseconds(0));
  limits.max_mean_multiple =
      static_cast<double>(settings.load_multiple) / kPercent;
  limits.short_mean_multiple =
      static_cast<double>(settings.short_prompt_load_multiple) / kPercent;
  return limits;
}

/** @return A number that differs from that of the process before. */
std::uint64_t NewRunId() {
  std::random_device source;
  std::uniform_int_distribution<std::uint64_t> any_but_zero(1);
  return any_but_zero(source);
}

/** @return The log event of a change. */
LogEventName EventOf(QuarantineChange::Kind kind) {
  switch (kind) {
    case QuarantineChange::Kind::kQuarantined:
      return "segment_quarantined";
    case QuarantineChange::Kind::kCleared:
      return "segment_cleared";
    case QuarantineChange::Kind::kExpired:
      return "segment_expired";
  }
  return "segment_expired";
}

}  // namespace

double SpreadOf(const std::string& address) {
  constexpr std::uint64_t kSteps = 997;
  return static_cast<double>(XXH3_64bits(address.data(), address.size()) %
                             kSteps) /
         static_cast<double>(kSteps);
}

GatewayState::GatewayState(const Settings& settings,
                           asio::any_io_executor executor)
    : settings(settings),
      executor(executor),
      adapter(PlatformAdapter::Linked()),
      selector(FailureDomainId(settings.failure_domain),
               SelectorLimits(settings)),
      cold_starts(settings, this->table),
      connection_pool(std::move(executor)),
      quarantine(SpreadOf(settings.gossip_address)),
      crash_probe(*this),
      roster({settings.gossip_address, FailureDomainId(settings.failure_domain),
              settings.link_capacity, false, NewRunId()}),
      buffered_bytes(BufferedLimit(settings),
                     BufferedLimit(settings) / kReservedDivisor) {}

ServiceQueue& GatewayState::QueueOf(const ServiceName& service) {
  const double share =
      kRetryShareUsed *
      static_cast<double>(this->settings.retry_budget_percent) / kPercent;
  const auto [queue, is_new] =
      this->queues.try_emplace(service, RetryBudget(share, this->RetryBurst()));
  return queue->second;
}

double GatewayState::RetryBurst() const {
  return std::max(
      1.0,
      kRetrySlackUsed * static_cast<double>(this->settings.retry_slack) /
          static_cast<double>(std::max<std::size_t>(this->gateway_count, 1)));
}

bool GatewayState::HasConnectionCapacity(const EndpointState& endpoint) const {
  const EndpointId& id = endpoint.Entry().id;
  if (this->connection_pool.HasIdle(id))
    return true;
  const ServiceConfig* rule =
      this->table ? this->table->FindService(endpoint.Entry().service)
                  : nullptr;
  const std::size_t limit = rule != nullptr && rule->max_connections > 0
                                ? rule->max_connections
                                : kDefaultConnections;
  const auto share =
      static_cast<std::size_t>(kConnectionShare * static_cast<double>(limit) /
                               static_cast<double>(this->gateway_count));
  return this->connection_pool.OpenCount(id) < std::max<std::size_t>(share, 1);
}

void GatewayState::SetGatewayCount(std::size_t count) {
  if (count == this->gateway_count)
    return;
  this->gateway_count = count;
  this->selector.SetGatewayCount(count);
  for (auto& [service, queue] : this->queues)
    queue.retry_budget.SetCapacity(this->RetryBurst());
}

void GatewayState::RecordStatements(EndpointState& endpoint,
                                    const ResponseMetadata& response,
                                    unsigned status) {
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kUnavailable = 503;
  // Another process at the endpoint's address speaks of itself.
  if (status == kMisdirected)
    return;
  const EndpointEntry& entry = endpoint.Entry();
  const auto now = Clock::now();
  this->cold_starts.RecordStatement(endpoint, response.cold_remaining, now);
  const EndpointStatement before = endpoint.Availability().Statement();
  if (response.leaving && before.leaving_since == Clock::time_point{}) {
    LogLine(LogLevel::kNotice, "endpoint_says_leaving",
            {{"endpoint", entry.id}, {"service", entry.service}});
    this->selector.RecordLeaving(endpoint, now);
    this->connection_pool.CloseIdle(entry.id);
  }
  if (status != kUnavailable || !response.retry_after)
    return;
  const auto until = now + *response.retry_after;
  if (until <= before.closed_until)
    return;
  // A second refusal of the same moment is no news.
  if (before.closed_until <= now) {
    LogLine(LogLevel::kNotice, "endpoint_closed",
            {{"endpoint", entry.id},
             {"service", entry.service},
             {"for_ms", response.retry_after->count()}});
  }
  this->selector.RecordClosed(endpoint, until);
}

void GatewayState::RecordRefusedConnection(const EndpointState& endpoint) {
  const auto now = Clock::now();
  this->cold_starts.RecordRefusedConnection(endpoint, now);
  this->incarnations.RecordEnd(endpoint.Entry().id, now);
}

void GatewayState::ConfirmEntries(std::optional<BootClock::time_point> as_of,
                                  bool is_in_force) {
  const auto now = Clock::now();
  const auto boot_now = BootClock::now();
  // The other clock stands still while the VM is suspended.
  if (boot_now - this->entries_confirmed_at > VersionHistory::kMaxUnconfirmed)
    this->version_history.RecordGap(now);
  this->entries_confirmed_at = boot_now;
  const BootClock::duration age =
      boot_now - as_of.value_or(BootClock::time_point{});
  this->version_history.RecordConfirmation(now, now - age);
  if (is_in_force)
    this->incarnations.RecordCurrent(now - age);
}

void GatewayState::ApplyQuarantineChanges() {
  const std::vector<QuarantineChange> changes = this->quarantine.TakeChanges();
  for (const QuarantineChange& change : changes) {
    LogLine(LogLevel::kWarning, EventOf(change.kind),
            {{"segments", FormatSegmentIds(change.segments)},
             {"endpoints", change.endpoints}});
  }
  if (changes.empty())
    return;
  ProcessMetrics().Set(
      "quarantined_segments", "",
      static_cast<double>(this->quarantine.All(Clock::now()).size()));
  this->RecheckAllWaiting();
}

}  // namespace buckthornpath
