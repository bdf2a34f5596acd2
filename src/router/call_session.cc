/** @file call_session.cc Carries one call from its caller to an endpoint. */

#include "router/call_session.h"

#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kRecoveryPause{50};

/** Mints a ticket for the incarnation that a dialogue reached. */
std::string MintTicket(const SessionContext& context,
                       const CallerRequest& request,
                       const EndpointDialogue& dialogue,
                       const Member& member) {
  Ticket ticket;
  ticket.endpoint = EndpointId(dialogue.hello.endpoint);
  ticket.address = FormatSocketAddress(member.address);
  ticket.incarnation = Incarnation{dialogue.hello.incarnation};
  ticket.organisation = request.organisation;
  ticket.nonce = TicketMint::NewNonce();
  ticket.issued = dialogue.IncarnationAge();
  ticket.expiry = ticket.issued + context.settings.ticket_lifetime;
  return context.mint.Encode(ticket);
}

Outcome ParseOutcome(const std::string& name) {
  if (name == OutcomeName(Outcome::kNotRun))
    return Outcome::kNotRun;
  if (name == OutcomeName(Outcome::kRan))
    return Outcome::kRan;
  return Outcome::kUnknown;
}

/** @return True if the answer goes to the caller as it is generated. */
bool IsStreamed(const CallerRequest& request) {
  return request.action == CallerAction::kResume || request.service.IsModel();
}

}  // namespace

CallSession::CallSession(const SessionContext& context,
                         CallerRequest request,
                         HttpExchange& exchange)
    : context(context),
      request(std::move(request)),
      writer(exchange, IsStreamed(this->request), this->request.after) {
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
           {"attempt", this->attempt},
           {"candidates", candidates},
           {"believed_loads", decision.believed_loads},
           {"choice", choice.id.str()},
           {"reason", decision.reason}});
}

asio::awaitable<void> CallSession::Run() {
  const PlacementDecision decision =
      this->context.placement.Place(this->request);
  this->problem = {"no_endpoint", "", Outcome::kNotRun, std::chrono::seconds(1),
                   ""};
  const auto max_attempts =
      static_cast<std::uint32_t>(this->context.settings.max_attempts);
  for (const Member& member : decision.candidates) {
    if (this->attempt >= max_attempts)
      break;
    ++this->attempt;
    this->LogRoute(decision, member);
    this->context.placement.Loads().NoteStart(member.id);
    const std::shared_ptr<void> leave(nullptr, [&](void*) {
      this->context.placement.Loads().NoteEnd(member.id);
    });
    AttemptEnd end = co_await this->Attempt(member);
    if (end == AttemptEnd::kLost)
      end = co_await this->Recover(member);
    if (end == AttemptEnd::kAnswered)
      co_return;
    const bool may_move =
        end != AttemptEnd::kLost ||
        (this->request.profile.repeatable && !this->writer.HasBegun());
    if (!may_move || this->request.ticket)
      break;
  }
  co_await this->writer.Fail(this->problem);
}

asio::awaitable<CallSession::AttemptEnd> CallSession::Attempt(
    const Member& member) {
  bool sent = false;
  try {
    EndpointDialogue dialogue = co_await OpenDialogue(
        member.address, this->context.settings.connect_timeout);
    this->ticket =
        this->request.ticket
            ? this->request.ticket_text
            : MintTicket(this->context, this->request, dialogue, member);
    this->writer.SetRequestId(this->ticket);
    this->context.in_flight.SetName(this->ticket);
    sent = true;
    co_await this->SendCall(dialogue);
    co_return co_await this->Relay(dialogue);
  } catch (const DialogueLost& lost) {
    this->problem = {
        "endpoint_unreachable", lost.what(),
        sent || this->request.ticket ? Outcome::kUnknown : Outcome::kNotRun,
        std::chrono::seconds(1), ""};
  }
  co_return sent ? AttemptEnd::kLost : AttemptEnd::kUnreached;
}

ResumeRequest CallSession::ResumeMessage() const {
  return {this->ticket, this->attempt, this->request.organisation.str(),
          this->writer.LastSent()};
}

asio::awaitable<void> CallSession::SendCall(EndpointDialogue& dialogue) {
  if (this->request.action == CallerAction::kResume) {
    co_await dialogue.connection->Send(this->ResumeMessage());
    co_return;
  }
  CallRequest call;
  call.ticket = this->ticket;
  call.attempt = this->attempt;
  call.organisation = this->request.organisation.str();
  call.profile = this->request.profile.name;
  call.chat = this->request.chat.str();
  call.method = this->request.method;
  call.path = this->request.path;
  call.body = this->request.body;
  call.after = this->writer.LastSent();
  co_await dialogue.connection->Send(std::move(call));
}

asio::awaitable<CallSession::AttemptEnd> CallSession::Recover(
    const Member& member) {
  const auto deadline = std::chrono::steady_clock::now() +
                        this->context.settings.recovery_timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    try {
      EndpointDialogue dialogue = co_await OpenDialogue(
          member.address, this->context.settings.connect_timeout);
      co_await dialogue.connection->Send(this->ResumeMessage());
      ProcessMetrics().Add("dialogues_resumed_total");
      co_return co_await this->Relay(dialogue);
    } catch (const DialogueLost& lost) {
      this->problem.detail = lost.what();
    }
    co_await SleepFor(kRecoveryPause);
  }
  co_return AttemptEnd::kLost;
}

asio::awaitable<CallSession::AttemptEnd> CallSession::Relay(
    EndpointDialogue& dialogue) {
  const EndpointId endpoint(dialogue.hello.endpoint);
  while (true) {
    const Message message = co_await dialogue.connection->Receive(
        this->context.settings.silence_timeout);
    if (const auto* chunk = std::get_if<CallChunk>(&message)) {
      if (chunk->attempt == this->attempt) {
        co_await this->writer.WriteChunk(*chunk);
      }
    } else if (const auto* end = std::get_if<CallFinished>(&message)) {
      co_await this->writer.Finish(*end);
      co_return AttemptEnd::kAnswered;
    } else if (const auto* accepted = std::get_if<CallAccepted>(&message)) {
      this->writer.SetLocation(this->context.placement.NoteAdmitted(
          this->request, endpoint, accepted->running + accepted->queued));
    } else if (const auto* refused = std::get_if<CallRefused>(&message)) {
      this->context.placement.Loads().NoteReport(
          endpoint, refused->running + refused->queued,
          std::chrono::steady_clock::now());
      const Outcome outcome = ParseOutcome(refused->outcome);
      this->problem = {refused->reason, refused->detail, outcome,
                       refused->retry_after, ""};
      co_return outcome == Outcome::kNotRun ? AttemptEnd::kRefused
                                            : AttemptEnd::kLost;
    }
  }
}

asio::awaitable<std::string> MintTicketFor(const SessionContext& context,
                                           const CallerRequest& request) {
  const PlacementDecision decision = context.placement.Place(request);
  for (const Member& member : decision.candidates) {
    try {
      const EndpointDialogue dialogue = co_await OpenDialogue(
          member.address, context.settings.connect_timeout);
      co_return MintTicket(context, request, dialogue, member);
    } catch (const DialogueLost& lost) {
      LogLine(LogLevel::kInfo, "endpoint_unreached",
              {{"endpoint", member.id.str()}, {"reason", lost.what()}});
    }
  }
  throw RequestRefused(
      {"no_endpoint", "", Outcome::kNotRun, std::chrono::seconds(1), ""});
}

}  // namespace buckthornpath
