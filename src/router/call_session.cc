/** @file call_session.cc Forwards one call from its caller to an endpoint. */

#include "router/call_session.h"

#include <algorithm>
#include <atomic>

#include "kernel/control_traffic.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "router/candidate_selector.h"
#include "wire/load_report_json.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kRecoveryInterval{50};

/** Issues a ticket for the endpoint incarnation at the end of a connection. */
std::string IssueTicket(const SessionContext& context,
                        const CallerRequest& request,
                        const EndpointChannel& channel,
                        const Member& member) {
  Ticket ticket;
  ticket.endpoint = EndpointId(channel.hello.endpoint);
  ticket.address = FormatSocketAddress(member.address);
  ticket.incarnation = Incarnation{channel.hello.incarnation};
  ticket.organisation = request.organisation;
  ticket.nonce = TicketCodec::NewNonce();
  ticket.issued = channel.IncarnationAge();
  ticket.expiry = ticket.issued + context.settings.ticket_lifetime;
  return context.ticket_codec.Encode(ticket);
}

/** @return An attempt number that is unique in this process. */
std::uint32_t NextAttemptNumber() {
  static std::atomic<std::uint32_t> last = 0;
  return ++last;
}

/** @return The attempt number of a message; 0 if it carries none. */
std::uint32_t AttemptNumberOf(const Message& message) {
  return std::visit(
      [](const auto& alternative) -> std::uint32_t {
        if constexpr (requires { alternative.attempt; })
          return alternative.attempt;
        else
          return 0;
      },
      message);
}

/** @return True if the answer is sent to the caller while it is generated. */
bool IsStreamed(const CallerRequest& request) {
  return request.action == CallerAction::kResume || request.service.IsModel();
}

}  // namespace

Outcome ParseOutcome(const std::string& name) {
  if (name == OutcomeName(Outcome::kNotRun))
    return Outcome::kNotRun;
  if (name == OutcomeName(Outcome::kRan))
    return Outcome::kRan;
  return Outcome::kUnknown;
}

asio::awaitable<EndpointChannel> TakeOrOpenChannel(
    const SessionContext& context,
    const Member& member) {
  if (auto idle = context.pool.Take(member.address))
    co_return std::move(*idle);
  co_return co_await OpenChannel(member.address,
                                 context.settings.connect_timeout);
}

CallSession::CallSession(const SessionContext& context,
                         CallerRequest request,
                         HttpExchange& exchange)
    : context(context),
      request(std::move(request)),
      writer(exchange, IsStreamed(this->request), this->request.after),
      machine({this->request.profile.repeatable,
               this->request.ticket.has_value()}) {
  this->writer.SetRequestId(this->request.ticket_text);
}

void CallSession::LogRoute(const PlacementDecision& decision,
                           const Member& choice) const {
  nlohmann::json candidates = nlohmann::json::array();
  for (const Member& member : decision.candidates) {
    candidates.push_back(member.id.str());
  }
  LogLine(LogLevel::kInfo, "route",
          {{"organisation", this->request.organisation.str()},
           {"profile", this->request.profile.name},
           {"rank", this->request.profile.rank},
           {"chat", this->request.chat.str()},
           {"attempt", this->attempt_count},
           {"candidates", candidates},
           {"believed_loads", decision.estimated_loads},
           {"choice", choice.id.str()},
           {"reason", decision.reason}});
}

asio::awaitable<void> CallSession::Run() {
  const PlacementDecision decision =
      this->context.placement.Place(this->request);
  this->problem = {"no_endpoint", "", Outcome::kNotRun, std::chrono::seconds(1),
                   ""};
  CandidateSelector selector(this->context.settings, decision.candidates,
                             this->context.retries);
  for (std::optional<Member> next = selector.Next(); next;
       next = selector.Next()) {
    const Member& member = *next;
    this->reports = selector.RecentReports();
    this->refusal.reset();
    ++this->attempt_count;
    this->LogRoute(decision, member);
    this->context.placement.Loads().RecordStart(member.id);
    const std::shared_ptr<void> record_end(nullptr, [&](void*) {
      this->context.placement.Loads().RecordEnd(member.id);
    });
    co_await this->TryEndpoint(member);
    if (this->machine.NeedsRecovery()) {
      const bool can_fail_over =
          this->attempt_count < decision.candidates.size();
      co_await this->Recover(member, can_fail_over);
    }
    if (this->machine.IsAnswered())
      co_return;
    if (this->refusal)
      selector.RecordRefusal(member.id, *this->refusal);
    if (!this->machine.CanFailOver())
      break;
    this->writer.Restart();
  }
  this->problem.outcome = this->machine.CurrentOutcome();
  co_await this->writer.Fail(this->problem);
}

asio::awaitable<void> CallSession::TryEndpoint(const Member& member) {
  bool dispatched = false;
  std::string failure;
  try {
    EndpointChannel channel = co_await TakeOrOpenChannel(this->context, member);
    this->ticket =
        this->request.ticket
            ? this->request.ticket_text
            : IssueTicket(this->context, this->request, channel, member);
    this->writer.SetRequestId(this->ticket);
    this->context.in_flight.SetName(this->ticket);
    this->machine.OnDispatch();
    dispatched = true;
    this->attempt_number = NextAttemptNumber();
    co_await this->SendCall(channel);
    co_await this->RelayAndPool(member, std::move(channel));
    co_return;
  } catch (const ConnectionLost& error) {
    failure = error.what();
  }
  this->RecordConnectionLoss(member, failure);
  if (!dispatched)
    this->machine.OnConnectFailed();
}

void CallSession::RecordConnectionLoss(const Member& member,
                                       const std::string& reason) {
  this->context.pool.Drop(member.address);
  this->machine.OnDisconnected();
  this->problem.type = "endpoint_unreachable";
  this->problem.detail = reason;
  this->problem.retry_after = std::chrono::seconds(1);
}

ResumeRequest CallSession::MakeResumeRequest() const {
  return {this->ticket, this->attempt_number, this->request.organisation.str(),
          this->writer.LastReceived()};
}

asio::awaitable<void> CallSession::SendCall(EndpointChannel& channel) {
  if (this->request.action == CallerAction::kResume) {
    co_await channel.connection->Send(this->MakeResumeRequest());
    co_return;
  }
  CallRequest call;
  call.ticket = this->ticket;
  call.attempt = this->attempt_number;
  call.organisation = this->request.organisation.str();
  call.profile = this->request.profile.name;
  call.chat = this->request.chat.str();
  call.method = this->request.method;
  call.path = this->request.path;
  call.body = this->request.body;
  call.after = this->writer.LastReceived();
  call.loads = this->reports;
  CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kSent,
                      EncodedSize(call.loads));
  co_await channel.connection->Send(std::move(call));
}

asio::awaitable<void> CallSession::Recover(const Member& member,
                                           bool can_fail_over) {
  const bool tries_once = can_fail_over && this->request.profile.repeatable &&
                          !this->request.ticket;
  const auto limit = this->context.settings.recovery_timeout;
  const auto disconnected_at = std::chrono::steady_clock::now();
  this->last_message_at = disconnected_at;
  while (std::chrono::steady_clock::now() < this->last_message_at + limit) {
    std::string failure;
    try {
      EndpointChannel channel = co_await OpenChannel(
          member.address, this->context.settings.connect_timeout);
      this->attempt_number = NextAttemptNumber();
      // Sending again is safe: an endpoint process that knows the ticket
      // attaches to the call and does not run it a second time.
      co_await this->SendCall(channel);
      ProcessMetrics().Add("dialogues_resumed_total");
      co_await this->RelayAndPool(member, std::move(channel));
      ProcessMetrics().Observe(
          "recovery_seconds", "",
          std::chrono::steady_clock::now() - disconnected_at);
      co_return;
    } catch (const ConnectionLost& error) {
      failure = error.what();
    }
    this->RecordConnectionLoss(member, failure);
    if (tries_once)
      break;
    co_await SleepFor(kRecoveryInterval);
  }
  this->machine.OnUnknown();
}

asio::awaitable<void> CallSession::RelayAndPool(const Member& member,
                                                EndpointChannel channel) {
  co_await this->Relay(channel);
  this->context.pool.Put(member.address, std::move(channel));
}

asio::awaitable<void> CallSession::Relay(EndpointChannel& channel) {
  const EndpointId endpoint(channel.hello.endpoint);
  bool ended = false;
  while (!ended) {
    const Message message = co_await channel.connection->Receive(
        this->context.settings.silence_timeout);
    this->last_message_at = std::chrono::steady_clock::now();
    if (AttemptNumberOf(message) == this->attempt_number) {
      ended = co_await this->HandleMessage(message, endpoint);
    } else {
      ProcessMetrics().Add("superseded_messages_total");
    }
  }
}

asio::awaitable<bool> CallSession::HandleMessage(const Message& message,
                                                 const EndpointId& endpoint) {
  bool is_mismatch = false;
  std::string invalid_status;
  try {
    if (const auto* chunk = std::get_if<CallChunk>(&message)) {
      co_await this->writer.WriteChunk(*chunk);
      co_return false;
    }
    if (const auto* end = std::get_if<CallFinished>(&message)) {
      co_await this->writer.Finish(*end);
      this->machine.OnCompleted();
      co_return true;
    }
  } catch (const ResponseMismatch&) {
    is_mismatch = true;
  } catch (const InvalidAnswerStatus& error) {
    invalid_status = error.what();
  }
  if (!invalid_status.empty()) {
    this->problem = {
        "service_failed", invalid_status, Outcome::kUnknown, {}, ""};
    this->machine.OnUnknown();
    co_return true;
  }
  if (is_mismatch) {
    this->problem = {"answer_differs", "", Outcome::kRan, {}, ""};
    this->machine.OnRan();
    co_return true;
  }
  if (const auto* accepted = std::get_if<CallAccepted>(&message)) {
    CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kReceived,
                        EncodedSize(*accepted));
    this->writer.SetLocation(this->context.placement.RecordAdmission(
        this->request, endpoint, accepted->running + accepted->queued));
  } else if (const auto* refused = std::get_if<CallRefused>(&message)) {
    this->RecordRefusal(*refused, endpoint);
    co_return true;
  }
  co_return false;
}

std::string CallSession::RefusalReason(const CallRefused& refused,
                                       const EndpointId& endpoint) const {
  if (refused.reason != "no_configuration")
    return refused.reason;
  // An endpoint process that resumes from suspension has no configuration yet
  // and does not know that it is leaving. The caller gets the reason that
  // still applies once the process has its configuration.
  const std::vector<Member> members = this->context.members.AllMembers();
  const bool is_leaving =
      std::any_of(members.begin(), members.end(), [&](const Member& member) {
        return member.id == endpoint && member.state == MemberState::kLeaving;
      });
  return is_leaving ? "endpoint_leaving" : refused.reason;
}

void CallSession::RecordRefusal(const CallRefused& refused,
                                const EndpointId& endpoint) {
  this->context.placement.Loads().RecordReport(
      endpoint, refused.running + refused.queued,
      std::chrono::steady_clock::now());
  if (refused.reason == "endpoint_leaving")
    this->context.members.RecordRefusal(endpoint);
  this->refusal = refused;
  CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kReceived,
                      EncodedSize(refused.loads));
  const Outcome outcome = ParseOutcome(refused.outcome);
  this->problem = {this->RefusalReason(refused, endpoint), refused.detail,
                   outcome, refused.retry_after, ""};
  if (outcome == Outcome::kNotRun)
    this->machine.OnNotRun();
  else if (outcome == Outcome::kRan)
    this->machine.OnRan();
  else
    this->machine.OnUnknown();
}

asio::awaitable<std::string> IssueTicketForRequest(
    const SessionContext& context,
    const CallerRequest& request) {
  const PlacementDecision decision = context.placement.Place(request);
  for (const Member& member : decision.candidates) {
    try {
      EndpointChannel channel = co_await TakeOrOpenChannel(context, member);
      std::string ticket = IssueTicket(context, request, channel, member);
      context.pool.Put(member.address, std::move(channel));
      co_return ticket;
    } catch (const ConnectionLost& error) {
      LogLine(LogLevel::kInfo, "endpoint_unreached",
              {{"endpoint", member.id.str()}, {"reason", error.what()}});
    }
  }
  throw RequestRefused(
      {"no_endpoint", "", Outcome::kNotRun, std::chrono::seconds(1), ""});
}

}  // namespace buckthornpath
