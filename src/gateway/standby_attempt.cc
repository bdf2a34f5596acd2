/** @file standby_attempt.cc Next attempt of a stream whose endpoint pauses. */

#include "gateway/standby_attempt.h"

#include <utility>

#include "gateway/entry_confirmation.h"
#include "gateway/response_head.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

namespace {

namespace http = boost::beast::http;

}  // namespace

StandbyAttempt::StandbyAttempt(GatewayState& state,
                               EndpointReservation reservation,
                               ForwardRequest request,
                               std::string request_id,
                               bool must_confirm)
    : state(state),
      reservation(std::move(reservation)),
      endpoint_id(this->reservation.Endpoint()->Entry().id),
      request(std::move(request)),
      request_id(std::move(request_id)),
      must_confirm(must_confirm) {}

void StandbyAttempt::Start(std::chrono::milliseconds connect_timeout,
                           std::function<bool()> check,
                           std::function<void()> handler) {
  this->may_send = std::move(check);
  this->on_end = std::move(handler);
  this->is_running = true;
  WorkerPool::SpawnOn(this->state.executor,
                      Run(this->shared_from_this(), connect_timeout));
}

void StandbyAttempt::Cancel() {
  this->is_cancelled = true;
  this->may_send = nullptr;
  this->on_end = nullptr;
  // An operation in progress uses the connection until it has returned.
  if (this->is_running && this->connection)
    this->connection->Close();
  else
    this->ReleaseConnection();
  this->reservation.Release();
}

unsigned StandbyAttempt::ResponseStatus() const {
  return this->connection ? this->connection->Head().result_int() : 0;
}

void StandbyAttempt::ReleaseConnection() {
  if (!this->connection)
    return;
  this->state.connection_pool.Release(
      this->endpoint_id, std::move(this->connection), false, Clock::now());
}

asio::awaitable<void> StandbyAttempt::Run(
    std::shared_ptr<StandbyAttempt> attempt,
    std::chrono::milliseconds connect_timeout) {
  std::optional<AttemptResult> failure = AttemptResult::kBroken;
  std::string fault;
  try {
    failure = co_await attempt->Open(connect_timeout);
  } catch (const std::exception& error) {
    fault = error.what();
  }
  attempt->is_running = false;
  if (!fault.empty()) {
    LogLine(LogLevel::kError, "attempt_failed",
            {{"endpoint", attempt->endpoint_id}, {"reason", fault}});
  }
  attempt->failure = failure.value_or(attempt->failure);
  attempt->status = failure ? Status::kEnded : Status::kReady;
  if (attempt->is_cancelled) {
    attempt->ReleaseConnection();
    co_return;
  }
  if (const auto handler = std::exchange(attempt->on_end, nullptr))
    handler();
}

asio::awaitable<std::optional<AttemptResult>> StandbyAttempt::Open(
    std::chrono::milliseconds connect_timeout) {
  if (this->is_cancelled)
    co_return AttemptResult::kWithheld;
  const EndpointHandle endpoint = this->reservation.Endpoint();
  const SocketAddress address = ParseSocketAddress(endpoint->Entry().address);
  EndpointConnectionPool& pool = this->state.connection_pool;
  this->connection =
      pool.TakeIdle(this->endpoint_id, address,
                    EndpointConnectionPool::kUnlimitedIdleTime, Clock::now());
  if (!this->connection) {
    this->connection = pool.CreateConnection(this->endpoint_id);
    ProcessMetrics().Add("endpoint_connections_total");
    const auto connect_error =
        co_await this->connection->Connect(address, connect_timeout);
    if (connect_error == asio::error::connection_refused)
      this->state.RecordRefusedConnection(*endpoint);
    if (connect_error)
      co_return AttemptResult::kUnreachable;
  }
  if (this->must_confirm) {
    const std::function<bool()> is_ended = [this] {
      return this->is_cancelled;
    };
    co_await AwaitConfirmedEntry(this->state, this->connection->opened_at,
                                 is_ended);
  }
  if (this->is_cancelled || !this->may_send())
    co_return AttemptResult::kWithheld;
  this->status = Status::kSent;
  const auto send_error = co_await this->connection->Send(this->request);
  if (send_error)
    co_return AttemptResult::kBroken;
  const ExpectedResponse expected{this->request_id, false, this->request};
  const bool has_head = co_await ReadMatchingHead(
      *this->connection, this->state.adapter, expected, this->response);
  if (!has_head)
    co_return AttemptResult::kBroken;
  co_return this->JudgeHead();
}

std::optional<AttemptResult> StandbyAttempt::JudgeHead() const {
  const auto& head = this->connection->Head();
  if (this->response.not_executed || head.result_int() == kMisdirected)
    return AttemptResult::kNotExecuted;
  const std::string_view type = head[http::field::content_type];
  const bool is_stream = head.result_int() / 100 == 2 &&
                         this->response.is_from_endpoint &&
                         type.starts_with("text/event-stream");
  if (!is_stream)
    return AttemptResult::kFailed;
  return std::nullopt;
}

}  // namespace buckthornpath
