/** @file forward_session.cc Forwards one request to an endpoint. */

#include "gateway/forward_session.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/load_metrics.h"
#include "gateway/response_head.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

/** Failed connection attempts after which a request is refused. */
constexpr int kMaxConnectFailures = 3;

/** Time after the deadline at which a request is aborted. The endpoint itself
 * stops at the deadline and reports it, which needs time to arrive. */
constexpr milliseconds kDeadlineMargin{100};

/** Part of the request's time limit that is reserved for sending the response
 * to the caller. */
constexpr milliseconds kResponseMargin{5};

/** Limit of one response that is buffered until it is complete. */
constexpr std::size_t kMaxResponseBytes = std::size_t{4} * 1024 * 1024;

/** Steps of urgency per priority; the platform has ten urgencies, 0 to 9. */
constexpr int kUrgencyStep = 3;
constexpr int kLowestUrgency = 9;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

bool IsSuccess(unsigned status) {
  return status / 100 == 2;
}

bool IsServerFailure(unsigned status) {
  return status / 100 == 5;
}

std::string FormatSeconds(milliseconds time) {
  std::array<char, 32> text{};
  const double seconds = std::chrono::duration<double>(time).count();
  const int size = std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return std::string(text.data(), static_cast<std::size_t>(size));
}

}  // namespace

ForwardSession::ForwardSession(GatewayState& state, CallerExchange& exchange)
    : state(state),
      exchange(exchange),
      position(state.sessions.insert(state.sessions.end(), this)),
      table(state.table),
      record(exchange.ReceivedAt()),
      deadline_timer(state.executor),
      stall_timer(state.executor),
      capacity_signal(state.executor),
      standby_signal(state.executor),
      response_bytes(state.buffered_bytes, kMaxResponseBytes) {}

ForwardSession::~ForwardSession() {
  this->state.sessions.erase(this->position);
  this->CancelStandby();
  this->exchange.SetDisconnectHandler(nullptr);
  this->exchange.SetCutOffHandler(nullptr);
}

nlohmann::json ForwardSession::Describe(Clock::time_point now) const {
  constexpr std::array<const char*, 5> kPhaseNames = {
      "queued", "connecting", "sent", "streaming", "answering"};
  nlohmann::json text = {
      {"request", this->request.metadata.request_id},
      {"phase", kPhaseNames.at(static_cast<std::size_t>(this->phase))},
      {"age_ms", Elapsed(this->exchange.ReceivedAt(), now).count()}};
  if (this->reservation) {
    text["endpoint"] = this->reservation.Endpoint()->Entry().id;
    text["events"] = this->AttemptEvents();
    text["silent_ms"] = Elapsed(this->progress_at, now).count();
  }
  return text;
}

asio::awaitable<void> ForwardSession::Run() {
  const std::optional<Refusal> refusal =
      ClassifyRequest(this->state.adapter, this->table.get(),
                      this->exchange.Request(), this->request);
  if (refusal) {
    co_await this->Refuse(*refusal);
  } else {
    this->StartDeadline();
    if (!this->IsAdmitted()) {
      const Refusal overloaded{kUnavailable, "overloaded"};
      co_await this->Refuse(overloaded);
    } else {
      const std::optional<Refusal> unproven =
          co_await this->FindStreamVersion();
      if (!unproven)
        co_await this->RunAttempts();
      else if (this->exchange.IsDisconnected())
        co_await this->FinishExchange(AttemptResult::kNoCapacity);
      else
        co_await this->Refuse(*unproven);
    }
    this->deadline_timer.Cancel();
  }
  this->record.Write(this->request, this->state,
                     this->table ? this->table->Version() : 0,
                     this->exchange.IsDisconnected());
}

void ForwardSession::StartDeadline() {
  milliseconds limit = this->request.route->timeout;
  if (this->request.metadata.deadline)
    limit = std::min(limit, *this->request.metadata.deadline);
  this->deadline = this->exchange.ReceivedAt() + limit;
  this->deadline_timer.Set(this->deadline + kDeadlineMargin, [this] {
    this->is_timed_out = true;
    this->Abort();
  });
  this->exchange.SetDisconnectHandler([this] { this->Abort(); });
  this->exchange.SetCutOffHandler([this] {
    this->is_cut_off = true;
    this->Abort();
  });
  this->state.QueueOf(this->request.service).retry_budget.CountFirstAttempt();
}

milliseconds ForwardSession::TimeLeft() const {
  return Elapsed(Clock::now(), this->deadline) - kResponseMargin;
}

void ForwardSession::Abort() {
  this->is_aborted = true;
  this->CancelStandby();
  if (this->connection)
    this->connection->Close();
  this->capacity_signal.Set();
}

asio::awaitable<void> ForwardSession::RunAttempts() {
  AttemptResult result = AttemptResult::kNoCapacity;
  do {
    // Of a gateway that is behind, many have left before they are read.
    if (this->exchange.HasCallerLeft())
      break;
    result = co_await this->Attempt();
  } while (result != AttemptResult::kAnswered && this->MayRetry(result));
  co_await this->FinishExchange(result);
}

bool ForwardSession::MayRetry(AttemptResult result) {
  if (this->is_aborted || this->exchange.IsDisconnected() ||
      this->TimeLeft() < kMinTimeLeft) {
    return false;
  }
  // A standby attempt has taken its retry already.
  if (this->HasStandbyBegun())
    return true;
  this->CancelStandby();
  RetryBudget& budget = this->state.QueueOf(this->request.service).retry_budget;
  switch (result) {
    case AttemptResult::kUnreachable:
    case AttemptResult::kWithheld:
      return ++this->connect_failures < kMaxConnectFailures;
    case AttemptResult::kNotExecuted:
      return this->attempts < this->request.route->max_attempts &&
             budget.TryTake();
    case AttemptResult::kFailed:
    case AttemptResult::kBroken:
      return this->request.route->IsRetryable() &&
             this->attempts < this->request.route->max_attempts &&
             !this->state.quarantine.IsSuspect(this->request.signature,
                                               Clock::now()) &&
             budget.TryTake();
    case AttemptResult::kStalled:
    case AttemptResult::kAnswered:
    case AttemptResult::kNoCapacity:
    case AttemptResult::kQuarantined:
    case AttemptResult::kDraining:
      return false;
  }
  return false;
}

EndpointReservation ForwardSession::TryReserve(
    const std::vector<EndpointId>& excluded) {
  const EndpointQuery query = this->MakeQuery(excluded);
  const auto now = Clock::now();
  EndpointHandle chosen = this->state.selector.Choose(
      query, now, [this, now](const EndpointState& endpoint) {
        return this->state.HasRoom(endpoint, now);
      });
  if (!chosen)
    return {};
  this->state.cold_starts.RecordSend(*chosen, now);
  EndpointReservation reserved(this->state.selector, std::move(chosen),
                               this->request.metadata.segments,
                               this->request.metadata.output_tokens, now);
  CountPlacement(reserved, this->request.metadata.segments);
  return reserved;
}

EndpointQuery ForwardSession::MakeQuery(
    const std::vector<EndpointId>& excluded) const {
  return {.service = this->request.service,
          .segments = this->request.metadata.segments,
          .priority = this->request.priority,
          .excluded = excluded,
          .is_plain = this->request.IsPlain(),
          .target_latency = this->request.route->target_latency,
          .version = this->stream_version ? &*this->stream_version : nullptr};
}

bool ForwardSession::IsQuarantined() const {
  return this->state.quarantine.Find(this->request.signature, Clock::now())
      .has_value();
}

std::optional<AttemptResult> ForwardSession::RuledOut() const {
  if (this->IsQuarantined())
    return AttemptResult::kQuarantined;
  // One that an endpoint may have begun can't be refused as not run; it is
  // better repeated now than broken off.
  if (!this->may_have_run && this->state.MayOutlastDrain(this->deadline))
    return AttemptResult::kDraining;
  return std::nullopt;
}

asio::awaitable<bool> ForwardSession::OpenConnection(
    const EndpointState& endpoint) {
  const EndpointId& id = endpoint.Entry().id;
  const SocketAddress address = ParseSocketAddress(endpoint.Entry().address);
  const milliseconds max_idle_time =
      this->request.route->IsRetryable()
          ? EndpointConnectionPool::kUnlimitedIdleTime
          : this->state.connection_pool.SafeIdleTime();
  this->connection = this->state.connection_pool.TakeIdle(
      id, address, max_idle_time, Clock::now());
  if (this->connection) {
    this->previous_idle_time =
        Elapsed(this->connection->idle_since, Clock::now());
    co_return true;
  }
  this->previous_idle_time.reset();
  this->connection = this->state.connection_pool.CreateConnection(id);
  ProcessMetrics().Add("endpoint_connections_total");
  const auto error = co_await this->connection->Connect(
      address,
      std::min(kConnectTimeout, std::max(this->TimeLeft(), kMinTimeLeft)));
  if (error == asio::error::connection_refused)
    this->state.RecordRefusedConnection(endpoint);
  co_return !error;
}

asio::awaitable<AttemptResult> ForwardSession::Attempt() {
  this->phase = Phase::kQueued;
  const bool has_head = this->HasStandbyBegun();
  if (has_head)
    this->AdoptStandby();
  else
    co_await this->WaitForEndpoint();
  // The endpoint must outlive its reservation.
  const EndpointHandle endpoint = this->reservation.Endpoint();
  if (!endpoint)
    co_return this->RuledOut().value_or(AttemptResult::kNoCapacity);
  this->events_before_attempt = this->relay.EventCount();
  this->RecordProgress(has_head ? Phase::kStreaming : Phase::kConnecting);
  const AttemptResult result = co_await this->TryEndpoint(*endpoint, has_head);
  this->RecordSuspicion(endpoint, result);
  // The process that answers next may be of another version.
  if (result == AttemptResult::kBroken && !this->is_aborted &&
      this->request.route->resumable)
    this->state.crash_probe.Check(endpoint);
  this->FinishAttempt(*endpoint, result);
  co_return result;
}

bool ForwardSession::MaySendTo(const EndpointReservation& reserved,
                               const EndpointConnection& open) {
  const EndpointState& endpoint = *reserved.Endpoint();
  const std::string& version = endpoint.Entry().version;
  const auto now = Clock::now();
  return endpoint.Availability().StateAt(now).use != EndpointUse::kNever &&
         version == reserved.Version() &&
         version == this->stream_version.value_or(version) &&
         !(this->stream_version && this->state.incarnations.MayBeAnother(
                                       endpoint.Entry().id, open.opened_at)) &&
         this->state.cold_starts.IsGranted(endpoint, reserved.Time(), now) &&
         !this->exchange.HasCallerLeft();
}

asio::awaitable<AttemptResult> ForwardSession::TryEndpoint(
    EndpointState& endpoint,
    bool has_head) {
  AttemptResult result = AttemptResult::kUnreachable;
  bool is_open = has_head;
  std::string fault;
  try {
    if (!has_head && !this->is_aborted)
      is_open = co_await this->OpenConnection(endpoint);
    if (is_open && !has_head)
      co_await this->ConfirmConnection();
    // The endpoint or the prompt may have been ruled out meanwhile.
    const std::optional<AttemptResult> ruled_out = this->RuledOut();
    if (has_head)
      result = co_await this->ReadResponse(endpoint);
    else if (is_open && ruled_out)
      result = *ruled_out;
    else if (is_open && !this->MaySendTo(this->reservation, *this->connection))
      result = AttemptResult::kWithheld;
    else if (is_open && !this->is_aborted)
      result = co_await this->SendTo(endpoint);
  } catch (const std::exception& error) {
    fault = error.what();
  }
  if (!fault.empty()) {
    LogLine(LogLevel::kError, "attempt_failed",
            {{"endpoint", endpoint.Entry().id}, {"reason", fault}});
    result = is_open ? AttemptResult::kBroken : AttemptResult::kUnreachable;
  }
  co_return result;
}

void ForwardSession::RecordSuspicion(const EndpointHandle& endpoint,
                                     AttemptResult result) {
  const RequestSignature& signature = this->request.signature;
  const auto now = Clock::now();
  if (result == AttemptResult::kAnswered &&
      IsSuccess(this->connection->Head().result_int())) {
    this->state.quarantine.RecordAnswer(signature, now);
  } else if ((result == AttemptResult::kBroken ||
              result == AttemptResult::kStalled) &&
             !this->is_aborted && !this->IsProven() &&
             this->state.quarantine.HasUnproven(signature, now)) {
    this->state.crash_probe.Check(endpoint, signature);
  }
}

void ForwardSession::FinishAttempt(EndpointState& endpoint,
                                   AttemptResult result) {
  const auto now = Clock::now();
  const EndpointId id = endpoint.Entry().id;
  this->record.RecordAttempt(endpoint, RowOf(result).name,
                             this->AttemptEvents(), this->progress_at, now);
  if (!this->request.metadata.segments.empty())
    this->record.RecordUncachedTokens(this->reservation.UncachedTokens());
  this->state.selector.RecordHoldingTime(
      this->request.service, Elapsed(this->reservation.Time(), now));
  // An attempt ended by the caller or the deadline says nothing about the
  // endpoint.
  const auto endpoint_result = RowOf(result).endpoint_result;
  if (endpoint_result && !this->is_aborted)
    this->state.selector.RecordResult(endpoint, *endpoint_result, now);
  if (!this->is_aborted)
    this->state.cold_starts.RecordResult(endpoint, result, now);
  this->RecordLoadOfService(result, now);
  this->stall_timer.Cancel();
  this->reservation.Release();
  if (result != AttemptResult::kAnswered)
    this->excluded_endpoints.push_back(id);
  if (result == AttemptResult::kStalled)
    this->paused_endpoints.push_back(id);
  if (this->connection) {
    const bool is_complete =
        result != AttemptResult::kBroken && result != AttemptResult::kStalled &&
        result != AttemptResult::kUnreachable && !this->is_aborted;
    this->state.connection_pool.Release(id, std::move(this->connection),
                                        is_complete, now);
  }
  this->state.QueueOf(this->request.service).waiting.RecordDeparture(now);
  this->state.WakeWaiting(this->request.service);
}

ForwardRequest ForwardSession::MakeRequest(
    const EndpointState& endpoint) const {
  const CallerRequest& caller_request = this->exchange.Request();
  ForwardMetadata forward;
  forward.organisation = this->request.organisation;
  forward.time_left = std::max(this->TimeLeft(), milliseconds(1));
  forward.endpoint = endpoint.Entry().id;
  forward.urgency =
      std::min(this->request.priority * kUrgencyStep, kLowestUrgency);
  forward.is_model_request = !this->request.metadata.segments.empty();
  forward.resume_after = this->relay.LastEventId();
  ForwardRequest forwarded;
  forwarded.method_string(caller_request.method_string());
  forwarded.target(caller_request.target());
  forwarded.version(11);
  this->state.adapter.WriteForwardHeader(caller_request.base(), forward,
                                         forwarded.base());
  if (caller_request.has_content_length() || caller_request.chunked()) {
    forwarded.body() = caller_request.body();
    forwarded.content_length(caller_request.body().Size());
  }
  return forwarded;
}

asio::awaitable<AttemptResult> ForwardSession::SendTo(EndpointState& endpoint) {
  ++this->attempts;
  const bool previously_may_have_run = this->may_have_run;
  this->may_have_run = true;
  this->record.RecordSent(Clock::now());
  this->RecordProgress(Phase::kSent);
  this->relay.DiscardPartial();
  const ForwardRequest forwarded = this->MakeRequest(endpoint);
  const ExpectedResponse expected{
      this->request.metadata.request_id,
      this->exchange.Request().method() == http::verb::head, forwarded};
  bool has_head = false;
  const auto send_error = co_await this->connection->Send(forwarded);
  if (!send_error)
    has_head = co_await ReadMatchingHead(*this->connection, this->state.adapter,
                                         expected, this->response);
  if (this->previous_idle_time && !this->is_aborted)
    this->state.connection_pool.RecordReuse(*this->previous_idle_time,
                                            !has_head);
  if (!has_head)
    co_return AttemptResult::kBroken;
  const AttemptResult result = co_await this->ReadResponse(endpoint);
  if (result == AttemptResult::kNotExecuted)
    this->may_have_run = previously_may_have_run;
  co_return result;
}

void ForwardSession::RecordResponseHead(EndpointState& endpoint) {
  const auto now = Clock::now();
  this->state.selector.RecordPrefillTime(this->request.service,
                                         Elapsed(this->reservation.Time(), now),
                                         this->reservation.PrefillBacklog());
  this->reservation.ReleasePrefill();
  this->state.selector.RecordResponseData(endpoint, now);
  if (this->response.load)
    this->state.selector.RecordReportedLoad(endpoint, *this->response.load,
                                            now);
  this->state.RecordStatements(endpoint, this->response,
                               this->connection->Head().result_int());
  this->connection->idle_timeout = this->response.idle_timeout;
  this->record.RecordFirstByte(now);
}

asio::awaitable<AttemptResult> ForwardSession::ReadResponse(
    EndpointState& endpoint) {
  this->RecordResponseHead(endpoint);
  const unsigned status = this->connection->Head().result_int();
  if (this->response.not_executed || status == kMisdirected) {
    // The head states that the request did not run; a truncated body does not
    // change that.
    co_await this->BufferResponse(status);
    if (status == kMisdirected)
      this->state.selector.RecordMisdirected(endpoint, Clock::now());
    co_return AttemptResult::kNotExecuted;
  }
  const std::string_view type =
      this->connection->Head()[http::field::content_type];
  if (IsSuccess(status) && !this->response.is_from_endpoint)
    co_return AttemptResult::kBroken;
  if (IsSuccess(status) && type.starts_with("text/event-stream"))
    co_return co_await this->RelayStream(status);
  // Nothing but events can continue a stream that has begun.
  if (this->is_head_sent)
    co_return AttemptResult::kBroken;
  const bool is_complete = co_await this->BufferResponse(status);
  if (!is_complete)
    co_return AttemptResult::kBroken;
  if (IsServerFailure(status))
    co_return AttemptResult::kFailed;
  co_await this->SendBufferedResponse();
  co_return AttemptResult::kAnswered;
}

asio::awaitable<bool> ForwardSession::BufferResponse(unsigned status) {
  this->response_bytes.ReleaseAll();
  BufferedResponse response;
  response.status = status;
  response.fields = this->ResponseFields();
  std::string chunk;
  do {
    if (co_await this->connection->ReadBody(chunk))
      co_return false;
    if (!this->response_bytes.TryTake(chunk.size())) {
      ProcessMetrics().Add("oversized_responses_total");
      co_return false;
    }
    response.body += chunk;
  } while (!this->connection->IsResponseComplete());
  this->buffered_response = std::move(response);
  co_return true;
}

asio::awaitable<void> ForwardSession::SendBufferedResponse() {
  this->phase = Phase::kAnswering;
  this->record.RecordStatus(this->buffered_response->status);
  co_await this->exchange.Send(this->buffered_response->status,
                               this->buffered_response->fields,
                               std::move(this->buffered_response->body));
  this->buffered_response.reset();
  this->response_bytes.ReleaseAll();
}

HeaderFieldList ForwardSession::ResponseFields() const {
  HeaderFieldList fields;
  const HeaderFields& header = this->connection->Head();
  for (const auto& field : header) {
    const std::string name(field.name_string());
    if (!IsHopByHopField(header, field) &&
        !this->state.adapter.IsInternalField(name)) {
      fields.emplace_back(name, std::string(field.value()));
    }
  }
  return fields;
}

asio::awaitable<void> ForwardSession::FinishExchange(AttemptResult result) {
  if (result == AttemptResult::kAnswered)
    co_return;
  // The caller may take it up, long after it has begun.
  if (this->is_head_sent && this->stream_version)
    this->RecordStreamOrigin();
  if (this->exchange.IsDisconnected()) {
    this->record.RecordReason("caller_left");
    this->exchange.Abort();
    co_return;
  }
  if (this->is_head_sent) {
    if (this->is_timed_out)
      this->record.RecordReason("timeout");
    else
      this->record.RecordReason(this->is_cut_off ? "drain_timeout"
                                                 : "stream_broken");
    this->exchange.Abort();
    co_return;
  }
  if (this->buffered_response && result == AttemptResult::kFailed) {
    this->record.RecordReason("endpoint_failed");
    co_await this->SendBufferedResponse();
    co_return;
  }
  if (this->may_have_run) {
    Refusal unknown{kBadGateway, "broken"};
    if (this->is_timed_out)
      unknown = {kGatewayTimeout, "timeout"};
    else if (this->is_cut_off)
      unknown = {kGatewayTimeout, "drain_timeout"};
    co_await this->Refuse(unknown);
    co_return;
  }
  if (this->is_cut_off)
    result = AttemptResult::kDraining;
  const Refusal not_run{kUnavailable, RowOf(result).name};
  co_await this->Refuse(not_run);
}

asio::awaitable<void> ForwardSession::Refuse(Refusal refusal) {
  this->record.RecordReason(refusal.reason);
  this->record.RecordStatus(refusal.status);
  const auto quarantined =
      this->state.quarantine.Find(this->request.signature, Clock::now());
  if (quarantined)
    this->record.RecordQuarantine(*quarantined);
  HeaderFieldList fields = {{"Content-Type", "application/json"}};
  if (refusal.status == kUnavailable)
    fields.emplace_back("Retry-After", FormatSeconds(this->RetryAfter()));
  const nlohmann::json body = {{"reason", refusal.reason}};
  co_await this->exchange.Send(refusal.status, fields, body.dump());
}

}  // namespace buckthornpath
