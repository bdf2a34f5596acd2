/** @file dialogue_server.cc Serves calls of routers at an endpoint process. */

#include "endpoint/dialogue_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/count_mark.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

/** Idle time after which a connection of a router is closed. */
constexpr std::chrono::milliseconds kIdleTimeout{300000};

/** Longest time from the `Hello` to the first message of a router. */
constexpr std::chrono::milliseconds kFirstMessageTimeout{5000};

using HandlingMark = CountMark<std::atomic<std::size_t>>;

OutcomeLimits LimitsOf(const Settings& settings) {
  return {static_cast<std::size_t>(settings.outcome_entries),
          static_cast<std::size_t>(settings.outcome_bytes),
          settings.answer_retention};
}

}  // namespace

DialogueServer::DialogueServer(const RoleContext& context,
                               const FleetState& fleet)
    : context(context),
      fleet(fleet),
      admission(context, fleet.Store(), fleet.Members()),
      mint(context.settings.ticket_secret),
      incarnation(fleet.ThisIncarnation()),
      outcomes(EndpointId(context.settings.vm),
               this->incarnation,
               LimitsOf(context.settings)),
      acceptor(context.pool.NewStrand(),
               ParseSocketAddress(context.settings.dialogue_address)) {}

void DialogueServer::Start() {
  this->admission.Start();
  WorkerPool::SpawnOn(this->acceptor.get_executor(), this->AcceptAll());
}

void DialogueServer::StopAccepting() {
  this->accepting = false;
  asio::post(this->acceptor.get_executor(), [this] {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
  });
}

std::vector<std::string> DialogueServer::InFlight() const {
  std::vector<std::string> names = this->admission.HeldTickets();
  for (std::string& name : this->answers.Names())
    names.push_back(std::move(name));
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

std::chrono::milliseconds DialogueServer::Age() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now() - this->started);
}

asio::awaitable<void> DialogueServer::AcceptAll() {
  while (this->accepting) {
    const Strand strand = this->context.pool.NewStrand();
    auto [error, socket] =
        co_await this->acceptor.async_accept(strand, kAwaitResult);
    if (error) {
      co_await SleepFor(std::chrono::milliseconds(10));
      continue;
    }
    auto connection = std::make_shared<DialogueConnection>(
        asio::ip::tcp::socket(std::move(socket)));
    asio::co_spawn(strand, this->Serve(connection, strand), asio::detached);
  }
}

std::optional<Ticket> DialogueServer::OwnTicket(
    const std::string& text,
    const std::string& organisation) const {
  std::optional<Ticket> ticket = this->mint.Decode(text);
  if (ticket && ticket->organisation.str() != organisation)
    ticket.reset();
  return ticket;
}

CallRefused DialogueServer::RefusalOf(const TicketLookup& lookup) const {
  return this->admission.Refusal(
      lookup.answer == TicketAnswer::kNotRun ? "not_run" : "unknown",
      lookup.record ? "ticket_reused" : lookup.reason);
}

DialogueServer::Verdict DialogueServer::Judge(const CallRequest& request) {
  const auto ticket = this->OwnTicket(request.ticket, request.organisation);
  if (!ticket) {
    // Not `not_run`: a call of another organisation may run under this ticket.
    return {nullptr, this->admission.Refusal("unknown", "ticket_refused")};
  }
  const TicketLookup lookup =
      this->outcomes.Open(request.ticket, *ticket, this->Age());
  const bool is_own = lookup.record && lookup.record->Bind(request);
  if (lookup.answer == TicketAnswer::kNew) {
    if (const char* reason = this->fleet.WhyRefused()) {
      lookup.record->Refuse(this->admission.Refusal("not_run", reason));
    } else {
      this->admission.Submit(request, lookup.record);
    }
  }
  if (is_own)
    return {lookup.record, {}};
  return {nullptr, this->RefusalOf(lookup)};
}

DialogueServer::Verdict DialogueServer::Judge(const ResumeRequest& request) {
  const auto ticket = this->OwnTicket(request.ticket, request.organisation);
  if (!ticket)
    return {nullptr, this->admission.Refusal("unknown", "ticket_refused")};
  const TicketLookup lookup =
      this->outcomes.Close(request.ticket, *ticket, this->Age());
  if (lookup.record)
    return {lookup.record, {}};
  return {nullptr, this->RefusalOf(lookup)};
}

template <class Request>
asio::awaitable<void> DialogueServer::Handle(DialogueConnection& connection,
                                             const Strand& strand,
                                             Request request) {
  Verdict verdict = this->Judge(request);
  if (verdict.record) {
    const InFlightCalls::Mark mark(this->answers, request.ticket);
    co_await this->SendAnswer(connection, strand, verdict.record,
                              request.attempt, request.after);
    co_return;
  }
  verdict.refusal.attempt = request.attempt;
  co_await connection.Send(std::move(verdict.refusal));
}

asio::awaitable<void> DialogueServer::Serve(
    std::shared_ptr<DialogueConnection> connection,
    Strand strand) {
  try {
    Hello hello;
    hello.endpoint = this->context.settings.vm;
    hello.incarnation = static_cast<std::uint64_t>(this->incarnation);
    hello.now = this->Age();
    hello.service = this->context.settings.service;
    // A router sends a request once it has the Hello, so the connection counts
    // as busy from here on and a drain waits for that request.
    auto mark = std::make_unique<HandlingMark>(this->handling);
    co_await connection->Send(hello);
    auto timeout = kFirstMessageTimeout;
    while (true) {
      Message message = co_await connection->Receive(timeout);
      timeout = kIdleTimeout;
      mark = std::make_unique<HandlingMark>(this->handling);
      if (auto* call = std::get_if<CallRequest>(&message)) {
        co_await this->Handle(*connection, strand, std::move(*call));
      } else if (auto* resume = std::get_if<ResumeRequest>(&message)) {
        co_await this->Handle(*connection, strand, std::move(*resume));
      } else if (auto* cancel = std::get_if<CancelRequest>(&message)) {
        CallRefused state = this->Cancel(*cancel);
        co_await connection->Send(std::move(state));
      } else {
        ProcessMetrics().Add("unexpected_messages_total");
      }
      mark.reset();
    }
  } catch (const DialogueLost& lost) {
    LogLine(LogLevel::kDebug, "dialogue_ended", {{"reason", lost.what()}});
  }
}

CallRefused DialogueServer::Cancel(const CancelRequest& request) {
  const auto ticket = this->OwnTicket(request.ticket, request.organisation);
  if (!ticket)
    return this->admission.Refusal("unknown", "ticket_refused");
  const TicketLookup lookup =
      this->outcomes.Cancel(request.ticket, *ticket, this->Age());
  if (!lookup.record)
    return this->RefusalOf(lookup);
  this->admission.Cancel(request.ticket);
  const CallView view = lookup.record->View(0);
  switch (view.state) {
    case CallState::kFinished:
      return this->admission.Refusal("ran", "finished");
    case CallState::kRefused:
      return view.refused;
    default:
      return this->admission.Refusal("unknown", "stopping");
  }
}

asio::awaitable<void> DialogueServer::SendAnswer(
    DialogueConnection& connection,
    const Strand& strand,
    std::shared_ptr<CallRecord> record,
    std::uint32_t attempt,
    std::uint64_t after) {
  auto waiter = std::make_shared<CallWaiter>(strand);
  record->AddWaiter(waiter);
  bool accepted = false;
  while (true) {
    CallView view = record->View(after);
    if (view.state == CallState::kRefused && view.chunks.empty()) {
      view.refused.attempt = attempt;
      co_await connection.Send(view.refused);
      co_return;
    }
    if (!accepted) {
      const CallAccepted message = this->admission.Accepted(attempt);
      co_await connection.Send(message);
      accepted = true;
    }
    for (std::string& data : view.chunks) {
      CallChunk chunk{attempt, ++after, std::move(data)};
      co_await connection.Send(std::move(chunk));
    }
    if (view.state == CallState::kFinished) {
      view.finished.attempt = attempt;
      co_await connection.Send(view.finished);
      co_return;
    }
    if (!view.chunks.empty())
      continue;
    const auto before_wait = BootClock::now();
    co_await waiter->Wait(this->context.settings.heartbeat_interval);
    if (BootClock::now() - before_wait >=
        this->context.settings.heartbeat_interval) {
      const Heartbeat heartbeat{attempt};
      co_await connection.Send(heartbeat);
    }
  }
}

}  // namespace buckthornpath
