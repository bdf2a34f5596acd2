/** @file forward_session.cc Forwards one request to an endpoint. */

#include "gateway/forward_session.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

/** Connect timeout: several round trips within a region. */
constexpr milliseconds kConnectTimeout{300};

/** Idle time limit for idempotent requests: any open connection is reused, as
 * the request can be repeated if the connection fails. */
constexpr milliseconds kAnyIdleTime{std::chrono::hours(1)};

/** Failed connection attempts after which a request is refused. */
constexpr int kMostUnreachable = 3;

/** Late responses to earlier requests that are skipped on a reused connection.
 */
constexpr int kMostForeignAnswers = 2;

/** Divisor of the time left that a request may spend waiting for capacity. */
constexpr int kWaitingPart = 2;

/** Time that must be left for another attempt. */
constexpr milliseconds kLeastTimeLeft{20};

/** Time after the deadline at which a request is aborted. The endpoint itself
 * stops at the deadline and reports it, which needs time to arrive. */
constexpr milliseconds kLimitMargin{100};

/** Part of the request's time limit that is reserved for sending the response
 * to the caller. */
constexpr milliseconds kReturnMargin{5};

/** A stream without data for this multiple of the route's gap target, and for
 * at least kLeastStall, is resumed at another endpoint. */
constexpr int kStalledPauses = 4;
constexpr milliseconds kLeastStall{700};

/** Limits of the Retry-After value: the minimum, and the divisor of the time
 * left that gives the maximum. */
constexpr milliseconds kLeastRetryAfter{50};
constexpr int kRetryAfterPart = 3;

/** Steps of urgency per priority; the platform has ten urgencies, 0 to 9. */
constexpr int kUrgencyStep = 3;
constexpr int kLeastUrgent = 9;

constexpr unsigned kMisdirected = 421;
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

/** Log name of an attempt's result, and the verdict on the endpoint. */
struct AttemptEndRow {
  const char* name;
  EndpointVerdict verdict;
};

constexpr std::array<AttemptEndRow, 6> kAttemptEnds = {{
    {"answered", EndpointVerdict::kServed},
    {"no_room", EndpointVerdict::kFull},
    {"unreachable", EndpointVerdict::kUnreachable},
    {"not_executed", EndpointVerdict::kFull},
    {"failed", EndpointVerdict::kFailed},
    {"broken", EndpointVerdict::kBroken},
}};

const AttemptEndRow& RowOf(AttemptEnd end) {
  return kAttemptEnds.at(static_cast<std::size_t>(end));
}

}  // namespace

ForwardSession::ForwardSession(GatewayState& state, CallerExchange& exchange)
    : state(state),
      exchange(exchange),
      table(state.table),
      record(exchange.ReceivedAt()),
      limit_alarm(state.executor),
      room(state.executor) {}

ForwardSession::~ForwardSession() {
  this->exchange.OnGone(nullptr);
}

asio::awaitable<void> ForwardSession::Run() {
  const std::optional<Refusal> refusal =
      ClassifyRequest(this->state.adapter, this->table.get(),
                      this->exchange.Message(), this->request);
  if (refusal) {
    co_await this->Refuse(*refusal);
  } else {
    this->StartClock();
    if (this->state.refuse_beyond &&
        this->give_up_at > *this->state.refuse_beyond) {
      const Refusal leaving{kUnavailable, "draining"};
      co_await this->Refuse(leaving);
    } else {
      co_await this->Attempts();
    }
    this->limit_alarm.Cancel();
  }
  this->record.Write(this->request, this->state,
                     this->table ? this->table->Version() : 0,
                     this->exchange.IsGone());
}

void ForwardSession::StartClock() {
  milliseconds limit = this->request.route->timeout;
  if (this->request.facts.deadline)
    limit = std::min(limit, *this->request.facts.deadline);
  this->give_up_at = this->exchange.ReceivedAt() + limit;
  this->limit_alarm.Set(this->give_up_at + kLimitMargin, [this] {
    this->is_time_up = true;
    this->Abort();
  });
  this->exchange.OnGone([this] { this->Abort(); });
  this->state.LineOf(this->request.service).retries->CountFirstAttempt();
}

milliseconds ForwardSession::TimeLeft() const {
  return Elapsed(Clock::now(), this->give_up_at) - kReturnMargin;
}

void ForwardSession::Abort() {
  this->is_aborted = true;
  if (this->connection)
    this->connection->Close();
  this->room.Set();
}

asio::awaitable<void> ForwardSession::Attempts() {
  AttemptEnd end = AttemptEnd::kNoRoom;
  do {
    end = co_await this->Attempt();
  } while (end != AttemptEnd::kAnswered && this->MayTryAgain(end));
  co_await this->Conclude(end);
}

bool ForwardSession::MayTryAgain(AttemptEnd end) {
  if (this->is_aborted || this->exchange.IsGone() ||
      this->TimeLeft() < kLeastTimeLeft) {
    return false;
  }
  RetryBudget& budget = *this->state.LineOf(this->request.service).retries;
  switch (end) {
    case AttemptEnd::kUnreachable:
      return ++this->unreachable < kMostUnreachable;
    case AttemptEnd::kNotExecuted:
      return this->attempts < this->request.route->max_attempts &&
             budget.TryTake();
    case AttemptEnd::kFailed:
    case AttemptEnd::kBroken:
      return this->request.route->MayRepeat() &&
             this->attempts < this->request.route->max_attempts &&
             budget.TryTake();
    case AttemptEnd::kAnswered:
    case AttemptEnd::kNoRoom:
      return false;
  }
  return false;
}

EndpointHandle ForwardSession::TakePlace() {
  const EndpointQuery query{this->request.service, this->request.facts.parts,
                            this->request.priority, this->excluded};
  EndpointHandle chosen = this->state.board.Choose(
      query, Clock::now(), [this](const EndpointBelief& endpoint) {
        return this->state.HasConnectionFor(endpoint);
      });
  if (chosen) {
    this->unread_tokens = this->state.board.NoteStart(
        *chosen, this->request.facts.parts, Clock::now());
  }
  return chosen;
}

asio::awaitable<EndpointHandle> ForwardSession::FindRoom() {
  EndpointHandle chosen = this->TakePlace();
  if (chosen)
    co_return chosen;
  ServiceLine& line = this->state.LineOf(this->request.service);
  const milliseconds patience = this->TimeLeft() / kWaitingPart;
  if (!this->state.board.HasUsable(this->request.service) ||
      line.line.Forecast(this->request.priority, Clock::now()) > patience) {
    co_return nullptr;
  }
  const WaitTicket ticket = line.line.Add(this->request.priority);
  line.wake[ticket] = [this, &line, ticket] {
    this->offered = this->TakePlace();
    if (!this->offered)
      return false;
    line.line.Remove(ticket);
    // The caller of this handler holds a copy, so that it can be erased here.
    line.wake.erase(ticket);
    this->room.Set();
    return true;
  };
  co_await this->room.WaitUntil(Clock::now() + patience);
  line.line.Remove(ticket);
  line.wake.erase(ticket);
  co_return std::exchange(this->offered, nullptr);
}

asio::awaitable<bool> ForwardSession::OpenConnection(
    const EndpointBelief& endpoint) {
  const EndpointId& id = endpoint.Entry().id;
  const milliseconds most_idle =
      this->request.route->MayRepeat()
          ? kAnyIdleTime
          : this->state.connections.TrustedIdleTime();
  this->connection =
      this->state.connections.TakeIdle(id, most_idle, Clock::now());
  if (this->connection) {
    this->idle_before = Elapsed(this->connection->idle_since, Clock::now());
    co_return true;
  }
  this->idle_before.reset();
  this->connection = this->state.connections.MakeNew(id);
  ProcessMetrics().Add("endpoint_connections_total");
  const auto error = co_await this->connection->Connect(
      ParseSocketAddress(endpoint.Entry().address),
      std::min(kConnectTimeout, std::max(this->TimeLeft(), kLeastTimeLeft)));
  co_return !error;
}

asio::awaitable<AttemptEnd> ForwardSession::Attempt() {
  const EndpointHandle endpoint = co_await this->FindRoom();
  if (!endpoint)
    co_return AttemptEnd::kNoRoom;
  AttemptEnd end = AttemptEnd::kUnreachable;
  bool is_open = false;
  if (!this->is_aborted)
    is_open = co_await this->OpenConnection(*endpoint);
  if (is_open && !this->is_aborted)
    end = co_await this->SendTo(*endpoint);
  this->NoteEnd(*endpoint, end);
  co_return end;
}

void ForwardSession::NoteEnd(EndpointBelief& endpoint, AttemptEnd end) {
  const auto now = Clock::now();
  const EndpointId id = endpoint.Entry().id;
  this->record.NoteAttempt(endpoint, RowOf(end).name, now);
  this->ReleaseUnread(endpoint);
  this->state.board.NoteEnd(endpoint);
  // An attempt ended by the caller or the deadline says nothing about the
  // endpoint.
  if (!this->is_aborted)
    this->state.board.NoteVerdict(endpoint, RowOf(end).verdict, now);
  if (end != AttemptEnd::kAnswered)
    this->excluded.push_back(id);
  if (this->connection) {
    const bool is_whole = end != AttemptEnd::kBroken &&
                          end != AttemptEnd::kUnreachable && !this->is_aborted;
    this->state.connections.Return(id, std::move(this->connection), is_whole,
                                   now);
  }
  this->state.LineOf(this->request.service).line.NoteDeparture(now);
  this->state.OfferRoom(this->request.service);
}

void ForwardSession::ReleaseUnread(EndpointBelief& endpoint) {
  this->state.board.NoteUnreadEnd(endpoint,
                                  std::exchange(this->unread_tokens, 0));
}

ForwardRequest ForwardSession::MakeRequest(
    const EndpointBelief& endpoint) const {
  const CallerMessage& message = this->exchange.Message();
  ForwardFacts forward;
  forward.organisation = this->request.organisation;
  forward.time_left = std::max(this->TimeLeft(), milliseconds(1));
  forward.endpoint = endpoint.Entry().id;
  forward.urgency =
      std::min(this->request.priority * kUrgencyStep, kLeastUrgent);
  forward.is_model_request = !this->request.facts.parts.empty();
  forward.resume_after = this->relay.LastId();
  ForwardRequest forwarded;
  forwarded.method_string(message.method_string());
  forwarded.target(message.target());
  forwarded.version(11);
  this->state.adapter.WriteForward(message.base(), forward, forwarded.base());
  if (message.has_content_length() || message.chunked()) {
    forwarded.body() = message.body();
    forwarded.content_length(message.body().size());
  }
  return forwarded;
}

asio::awaitable<AttemptEnd> ForwardSession::SendTo(EndpointBelief& endpoint) {
  ++this->attempts;
  const bool ran_before = this->may_have_run;
  this->may_have_run = true;
  this->record.NoteSent(Clock::now());
  this->relay.BeginRun();
  const ForwardRequest forwarded = this->MakeRequest(endpoint);
  bool has_head = false;
  const auto send_error = co_await this->connection->Send(forwarded);
  if (!send_error)
    has_head = co_await this->ReadOwnHead();
  if (this->idle_before && !this->is_aborted)
    this->state.connections.NoteReuse(*this->idle_before, !has_head);
  if (!has_head)
    co_return AttemptEnd::kBroken;
  this->NoteAnswerHead(endpoint);
  const AttemptEnd end = co_await this->TakeAnswer(endpoint);
  if (end == AttemptEnd::kNotExecuted)
    this->may_have_run = ran_before;
  co_return end;
}

asio::awaitable<bool> ForwardSession::ReadOwnHead() {
  const bool is_head = this->exchange.Message().method() == http::verb::head;
  for (int foreign = 0; foreign <= kMostForeignAnswers; ++foreign) {
    if (co_await this->connection->ReadHead(is_head))
      co_return false;
    this->answer = this->state.adapter.ReadAnswer(this->connection->Head());
    if (this->answer.request_id == this->request.facts.request_id)
      co_return true;
    // A late response to an earlier request on this connection.
    ProcessMetrics().Add("foreign_answers_total");
    std::string ignored;
    while (!this->connection->IsAnswerComplete()) {
      if (co_await this->connection->ReadBody(ignored))
        co_return false;
    }
  }
  co_return false;
}

void ForwardSession::NoteAnswerHead(EndpointBelief& endpoint) {
  const auto now = Clock::now();
  this->ReleaseUnread(endpoint);
  this->state.board.NoteHeard(endpoint, now);
  if (this->answer.load)
    this->state.board.NoteStated(endpoint, *this->answer.load, now);
  this->connection->idle_time = this->answer.idle_time;
  this->record.NoteFirstByte(now);
}

asio::awaitable<AttemptEnd> ForwardSession::TakeAnswer(
    EndpointBelief& endpoint) {
  const unsigned status = this->connection->Head().result_int();
  if (this->answer.not_executed || status == kMisdirected) {
    // The head states that the request did not run; a truncated body does not
    // change that.
    co_await this->TakeWhole(status);
    if (status == kMisdirected)
      this->state.board.NoteMisdirected(endpoint, Clock::now());
    co_return AttemptEnd::kNotExecuted;
  }
  const std::string_view type =
      this->connection->Head()[http::field::content_type];
  if (IsSuccess(status) && !this->answer.is_genuine)
    co_return AttemptEnd::kBroken;
  if (IsSuccess(status) && type.starts_with("text/event-stream"))
    co_return co_await this->RelayStream(status);
  const bool is_whole = co_await this->TakeWhole(status);
  if (!is_whole)
    co_return AttemptEnd::kBroken;
  if (IsServerFailure(status))
    co_return AttemptEnd::kFailed;
  co_await this->SendHeld();
  co_return AttemptEnd::kAnswered;
}

asio::awaitable<bool> ForwardSession::TakeWhole(unsigned status) {
  HeldAnswer whole;
  whole.status = status;
  whole.fields = this->CallerFields();
  std::string piece;
  do {
    if (co_await this->connection->ReadBody(piece))
      co_return false;
    whole.body += piece;
  } while (!this->connection->IsAnswerComplete());
  this->held = std::move(whole);
  co_return true;
}

asio::awaitable<void> ForwardSession::SendHeld() {
  this->record.NoteStatus(this->held->status);
  co_await this->exchange.Send(this->held->status, this->held->fields,
                               std::move(this->held->body));
  this->held.reset();
}

HeaderFieldList ForwardSession::CallerFields() const {
  HeaderFieldList fields;
  const HeaderFields& header = this->connection->Head();
  for (const auto& field : header) {
    const std::string name(field.name_string());
    if (!IsConnectionField(header, field) &&
        !this->state.adapter.IsInternal(name)) {
      fields.emplace_back(name, std::string(field.value()));
    }
  }
  return fields;
}

asio::awaitable<bool> ForwardSession::PassOn(unsigned status,
                                             std::string_view piece) {
  if (this->is_head_sent) {
    co_await this->exchange.SendPiece(piece);
  } else if (!piece.empty()) {
    this->is_head_sent = true;
    this->record.NoteStatus(status);
    const HeaderFieldList fields = this->CallerFields();
    co_await this->exchange.BeginStream(status, fields, piece);
  }
  co_return !this->exchange.IsGone();
}

asio::awaitable<AttemptEnd> ForwardSession::RelayStream(unsigned status) {
  const bool may_resume = this->request.route->MayRepeat();
  Alarm stall(this->state.executor);
  const milliseconds patience =
      std::max(kLeastStall, this->request.route->gap_target * kStalledPauses);
  std::string piece;
  do {
    if (may_resume)
      stall.Set(Clock::now() + patience, [this] { this->connection->Close(); });
    if (co_await this->connection->ReadBody(piece))
      co_return AttemptEnd::kBroken;
    if (may_resume)
      piece = this->relay.Feed(piece);
    if (!co_await this->PassOn(status, piece))
      co_return AttemptEnd::kBroken;
  } while (!this->connection->IsAnswerComplete());
  stall.Cancel();
  if (!co_await this->PassOn(status, this->relay.Finish()))
    co_return AttemptEnd::kBroken;
  if (!this->is_head_sent) {
    const HeaderFieldList fields = this->CallerFields();
    co_await this->exchange.Send(status, fields, std::string());
    this->record.NoteStatus(status);
    co_return AttemptEnd::kAnswered;
  }
  co_await this->exchange.EndStream();
  co_return AttemptEnd::kAnswered;
}

asio::awaitable<void> ForwardSession::Conclude(AttemptEnd end) {
  if (end == AttemptEnd::kAnswered)
    co_return;
  if (this->exchange.IsGone()) {
    this->record.NoteReason("caller_left");
    this->exchange.BreakOff();
    co_return;
  }
  if (this->is_head_sent) {
    this->record.NoteReason(this->is_time_up ? "timeout" : "stream_broken");
    this->exchange.BreakOff();
    co_return;
  }
  if (this->held && end == AttemptEnd::kFailed) {
    this->record.NoteReason("endpoint_failed");
    co_await this->SendHeld();
    co_return;
  }
  if (this->may_have_run) {
    Refusal unknown{kBadGateway, "broken"};
    if (this->is_time_up)
      unknown = {kGatewayTimeout, "timeout"};
    co_await this->Refuse(unknown);
    co_return;
  }
  const Refusal not_run{kUnavailable, RowOf(end).name};
  co_await this->Refuse(not_run);
}

milliseconds ForwardSession::RetryAfter() const {
  const auto line = this->state.lines.find(this->request.service);
  if (line == this->state.lines.end())
    return kLeastRetryAfter;
  const milliseconds forecast =
      line->second.line.Forecast(this->request.priority, Clock::now());
  return std::clamp(
      forecast, kLeastRetryAfter,
      std::max(kLeastRetryAfter, this->TimeLeft() / kRetryAfterPart));
}

asio::awaitable<void> ForwardSession::Refuse(Refusal refusal) {
  this->record.NoteReason(refusal.reason);
  this->record.NoteStatus(refusal.status);
  HeaderFieldList fields = {{"Content-Type", "application/json"}};
  if (refusal.status == kUnavailable)
    fields.emplace_back("Retry-After", FormatSeconds(this->RetryAfter()));
  const nlohmann::json body = {{"reason", refusal.reason}};
  co_await this->exchange.Send(refusal.status, fields, body.dump());
}

}  // namespace buckthornpath
