/** @file endpoint_crash_probe.cc Tells a crashed endpoint from a lost
 * connection. */

#include "gateway/endpoint_crash_probe.h"

#include <chrono>
#include <utility>

#include "gateway/gateway_state.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

/** Timeout of the connection attempt: several round trips within a region. */
constexpr std::chrono::milliseconds kProbeTimeout{300};

}  // namespace

void EndpointCrashProbe::Check(const EndpointHandle& endpoint,
                               const RequestSignature& request) {
  const auto [check, is_new] = this->running.try_emplace(endpoint->Entry().id);
  check->second.push_back(request);
  if (is_new)
    WorkerPool::SpawnOn(this->state.executor, this->Run(endpoint));
}

void EndpointCrashProbe::Check(const EndpointHandle& endpoint) {
  if (this->running.try_emplace(endpoint->Entry().id).second)
    WorkerPool::SpawnOn(this->state.executor, this->Run(endpoint));
}

asio::awaitable<void> EndpointCrashProbe::Run(EndpointHandle endpoint) {
  const EndpointId id = endpoint->Entry().id;
  bool is_refused = false;
  std::string fault;
  try {
    is_refused = co_await this->IsRefused(*endpoint);
  } catch (const std::exception& error) {
    fault = error.what();
  }
  if (!fault.empty()) {
    LogLine(LogLevel::kError, "attempt_failed",
            {{"endpoint", id}, {"reason", fault}});
  }
  const auto check = this->running.extract(id);
  if (is_refused)
    this->RecordCrash(*endpoint, check.mapped());
}

asio::awaitable<bool> EndpointCrashProbe::IsRefused(
    const EndpointState& endpoint) {
  const EndpointId id = endpoint.Entry().id;
  auto connection = this->state.connection_pool.CreateConnection(id);
  const auto error = co_await connection->Connect(
      ParseSocketAddress(endpoint.Entry().address), kProbeTimeout);
  this->state.connection_pool.Release(id, std::move(connection), !error,
                                      std::chrono::steady_clock::now());
  co_return error == asio::error::connection_refused ||
      error == asio::error::connection_reset;
}

void EndpointCrashProbe::RecordCrash(EndpointState& endpoint,
                                     const Requests& requests) {
  const auto now = std::chrono::steady_clock::now();
  const EndpointEntry& entry = endpoint.Entry();
  LogLine(LogLevel::kWarning, "endpoint_crashed",
          {{"endpoint", entry.id},
           {"service", entry.service},
           {"unanswered", requests.size()}});
  ProcessMetrics().Add("endpoint_crashes_total",
                       MetricLabel("service", entry.service.str()));
  this->state.selector.RecordResult(endpoint, EndpointResult::kUnreachable,
                                    now);
  this->state.RecordRefusedConnection(endpoint);
  this->state.connection_pool.CloseIdle(entry.id);
  for (const RequestSignature& request : requests)
    this->state.quarantine.RecordCrash(request, entry.id, now);
  this->state.ApplyQuarantineChanges();
  if (this->state.quarantine.TakeNews() && this->state.announce_crashes)
    this->state.announce_crashes();
}

}  // namespace buckthornpath
