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

constexpr std::chrono::milliseconds kRecoveryPause{50};

/** Issues a ticket for the endpoint incarnation at the end of a connection. */
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

/** @return An attempt number that is unique in this process. */
std::uint32_t NextDialogueNumber() {
  static std::atomic<std::uint32_t> last = 0;
  return ++last;
}

/** @return The attempt number of a message; 0 if it carries none. */
std::uint32_t AttemptOf(const Message& message) {
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

asio::awaitable<EndpointDialogue> OpenOrReuse(const SessionContext& context,
                                              const Member& member) {
  if (auto idle = context.pool.Take(member.address))
    co_return std::move(*idle);
  co_return co_await OpenDialogue(member.address,
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
  CandidateWalk walk(this->context.settings, decision.candidates,
                     this->context.retries);
  for (std::optional<Member> next = walk.Next(); next; next = walk.Next()) {
    const Member& member = *next;
    this->reports = walk.Reports();
    this->refusal.reset();
    ++this->attempt;
    this->LogRoute(decision, member);
    this->context.placement.Loads().NoteStart(member.id);
    const std::shared_ptr<void> leave(nullptr, [&](void*) {
      this->context.placement.Loads().NoteEnd(member.id);
    });
    co_await this->Attempt(member);
    if (this->machine.MustRecover()) {
      const bool can_move = this->attempt < decision.candidates.size();
      co_await this->Recover(member, can_move);
    }
    if (this->machine.IsAnswered())
      co_return;
    if (this->refusal)
      walk.NoteRefusal(member.id, *this->refusal);
    if (!this->machine.MayMove())
      break;
    this->writer.Restart();
  }
  this->problem.outcome = this->machine.CurrentOutcome();
  co_await this->writer.Fail(this->problem);
}

asio::awaitable<void> CallSession::Attempt(const Member& member) {
  bool dispatched = false;
  std::string fault;
  try {
    EndpointDialogue dialogue = co_await OpenOrReuse(this->context, member);
    this->ticket =
        this->request.ticket
            ? this->request.ticket_text
            : MintTicket(this->context, this->request, dialogue, member);
    this->writer.SetRequestId(this->ticket);
    this->context.in_flight.SetName(this->ticket);
    this->machine.OnDispatch();
    dispatched = true;
    this->dialogue = NextDialogueNumber();
    co_await this->SendCall(dialogue);
    co_await this->RelayAndKeep(member, std::move(dialogue));
    co_return;
  } catch (const DialogueLost& lost) {
    fault = lost.what();
  }
  this->NoteLoss(member, fault);
  if (!dispatched)
    this->machine.OnUnreached();
}

void CallSession::NoteLoss(const Member& member, const std::string& reason) {
  this->context.pool.Forget(member.address);
  this->machine.OnLost();
  this->problem.type = "endpoint_unreachable";
  this->problem.detail = reason;
  this->problem.retry_after = std::chrono::seconds(1);
}

ResumeRequest CallSession::ResumeMessage() const {
  return {this->ticket, this->dialogue, this->request.organisation.str(),
          this->writer.LastReceived()};
}

asio::awaitable<void> CallSession::SendCall(EndpointDialogue& dialogue) {
  if (this->request.action == CallerAction::kResume) {
    co_await dialogue.connection->Send(this->ResumeMessage());
    co_return;
  }
  CallRequest call;
  call.ticket = this->ticket;
  call.attempt = this->dialogue;
  call.organisation = this->request.organisation.str();
  call.profile = this->request.profile.name;
  call.chat = this->request.chat.str();
  call.method = this->request.method;
  call.path = this->request.path;
  call.body = this->request.body;
  call.after = this->writer.LastReceived();
  call.loads = this->reports;
  CountControlBytes(ControlKind::kLoad, ControlDirection::kSent,
                    EncodedSize(call.loads));
  co_await dialogue.connection->Send(std::move(call));
}

asio::awaitable<void> CallSession::Recover(const Member& member,
                                           bool can_move) {
  const bool once =
      can_move && this->request.profile.repeatable && !this->request.ticket;
  const auto limit = this->context.settings.recovery_timeout;
  const auto lost_at = std::chrono::steady_clock::now();
  this->last_heard = lost_at;
  while (std::chrono::steady_clock::now() < this->last_heard + limit) {
    std::string fault;
    try {
      EndpointDialogue dialogue = co_await OpenDialogue(
          member.address, this->context.settings.connect_timeout);
      this->dialogue = NextDialogueNumber();
      // Sending again is safe: an endpoint process that knows the ticket
      // attaches to the call and does not run it a second time.
      co_await this->SendCall(dialogue);
      ProcessMetrics().Add("dialogues_resumed_total");
      co_await this->RelayAndKeep(member, std::move(dialogue));
      ProcessMetrics().Observe("recovery_seconds", "",
                               std::chrono::steady_clock::now() - lost_at);
      co_return;
    } catch (const DialogueLost& lost) {
      fault = lost.what();
    }
    this->NoteLoss(member, fault);
    if (once)
      break;
    co_await SleepFor(kRecoveryPause);
  }
  this->machine.OnUnknown();
}

asio::awaitable<void> CallSession::RelayAndKeep(const Member& member,
                                                EndpointDialogue dialogue) {
  co_await this->Relay(dialogue);
  this->context.pool.Put(member.address, std::move(dialogue));
}

asio::awaitable<void> CallSession::Relay(EndpointDialogue& dialogue) {
  const EndpointId endpoint(dialogue.hello.endpoint);
  bool ended = false;
  while (!ended) {
    const Message message = co_await dialogue.connection->Receive(
        this->context.settings.silence_timeout);
    this->last_heard = std::chrono::steady_clock::now();
    if (AttemptOf(message) == this->dialogue) {
      ended = co_await this->Handle(message, endpoint);
    } else {
      ProcessMetrics().Add("superseded_messages_total");
    }
  }
}

asio::awaitable<bool> CallSession::Handle(const Message& message,
                                          const EndpointId& endpoint) {
  bool differs = false;
  try {
    if (const auto* chunk = std::get_if<CallChunk>(&message)) {
      co_await this->writer.WriteChunk(*chunk);
      co_return false;
    }
    if (const auto* end = std::get_if<CallFinished>(&message)) {
      co_await this->writer.Finish(*end);
      this->machine.OnWhole();
      co_return true;
    }
  } catch (const AnswerDiffers&) {
    differs = true;
  }
  if (differs) {
    this->problem = {"answer_differs", "", Outcome::kRan, {}, ""};
    this->machine.OnRan();
    co_return true;
  }
  if (const auto* accepted = std::get_if<CallAccepted>(&message)) {
    CountControlBytes(ControlKind::kLoad, ControlDirection::kReceived,
                      EncodedSize(*accepted));
    this->writer.SetLocation(this->context.placement.NoteAdmitted(
        this->request, endpoint, accepted->running + accepted->queued));
  } else if (const auto* refused = std::get_if<CallRefused>(&message)) {
    this->NoteRefusal(*refused, endpoint);
    co_return true;
  }
  co_return false;
}

std::string CallSession::ReasonOf(const CallRefused& refused,
                                  const EndpointId& endpoint) const {
  if (refused.reason != "no_configuration")
    return refused.reason;
  // An endpoint process that resumes from suspension has no configuration yet
  // and does not know that it is leaving. The caller gets the reason that
  // still applies once the process has its configuration.
  const std::vector<Member> members = this->context.members.All();
  const bool is_leaving =
      std::any_of(members.begin(), members.end(), [&](const Member& member) {
        return member.id == endpoint && member.state == MemberState::kLeaving;
      });
  return is_leaving ? "endpoint_leaving" : refused.reason;
}

void CallSession::NoteRefusal(const CallRefused& refused,
                              const EndpointId& endpoint) {
  this->context.placement.Loads().NoteReport(endpoint,
                                             refused.running + refused.queued,
                                             std::chrono::steady_clock::now());
  if (refused.reason == "endpoint_leaving")
    this->context.members.ReportLeaving(endpoint);
  this->refusal = refused;
  CountControlBytes(ControlKind::kLoad, ControlDirection::kReceived,
                    EncodedSize(refused.loads));
  const Outcome outcome = ParseOutcome(refused.outcome);
  this->problem = {this->ReasonOf(refused, endpoint), refused.detail, outcome,
                   refused.retry_after, ""};
  if (outcome == Outcome::kNotRun)
    this->machine.OnNotRun();
  else if (outcome == Outcome::kRan)
    this->machine.OnRan();
  else
    this->machine.OnUnknown();
}

asio::awaitable<std::string> MintTicketFor(const SessionContext& context,
                                           const CallerRequest& request) {
  const PlacementDecision decision = context.placement.Place(request);
  for (const Member& member : decision.candidates) {
    try {
      EndpointDialogue dialogue = co_await OpenOrReuse(context, member);
      std::string ticket = MintTicket(context, request, dialogue, member);
      context.pool.Put(member.address, std::move(dialogue));
      co_return ticket;
    } catch (const DialogueLost& lost) {
      LogLine(LogLevel::kInfo, "endpoint_unreached",
              {{"endpoint", member.id.str()}, {"reason", lost.what()}});
    }
  }
  throw RequestRefused(
      {"no_endpoint", "", Outcome::kNotRun, std::chrono::seconds(1), ""});
}

}  // namespace buckthornpath
