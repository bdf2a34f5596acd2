/** @file call_server.cc Serves calls of routers at an endpoint process. */

#include "endpoint/call_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/scoped_count.h"

namespace buckthornpath {

namespace {

/** Idle time after which a connection of a router is closed. */
constexpr std::chrono::milliseconds kIdleTimeout{300000};

/** Longest time from the `Hello` to the first message of a router. */
constexpr std::chrono::milliseconds kFirstMessageTimeout{5000};

using InProgressMark = ScopedCount<std::atomic<std::size_t>>;

OutcomeLimits LimitsOf(const Settings& settings) {
  return {static_cast<std::size_t>(settings.outcome_entries),
          static_cast<std::size_t>(settings.outcome_bytes),
          settings.answer_retention};
}

}  // namespace

CallServer::CallServer(const RoleContext& context, const FleetState& fleet)
    : context(context),
      fleet(fleet),
      admission(context, fleet.Store(), fleet.Members()),
      ticket_codec(context.settings.ticket_secret),
      incarnation(fleet.ThisIncarnation()),
      outcome_table(EndpointId(context.settings.vm),
                    this->incarnation,
                    LimitsOf(context.settings)),
      acceptor(context.pool.NewStrand(),
               ParseSocketAddress(context.settings.dialogue_address)) {}

void CallServer::Start() {
  this->admission.Start();
  WorkerPool::SpawnOn(this->acceptor.get_executor(), this->AcceptConnections());
}

void CallServer::StopAccepting() {
  this->is_accepting = false;
  asio::post(this->acceptor.get_executor(), [this] {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
  });
}

std::vector<std::string> CallServer::InFlight() const {
  std::vector<std::string> names = this->admission.AdmittedTickets();
  for (std::string& name : this->answers_in_flight.Names())
    names.push_back(std::move(name));
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

std::chrono::milliseconds CallServer::TimeSinceStart() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now() - this->started);
}

asio::awaitable<void> CallServer::AcceptConnections() {
  while (this->is_accepting) {
    const Strand strand = this->context.pool.NewStrand();
    auto [error, socket] =
        co_await this->acceptor.async_accept(strand, kAwaitResult);
    if (error) {
      co_await SleepFor(std::chrono::milliseconds(10));
      continue;
    }
    auto connection = std::make_shared<MessageConnection>(
        asio::ip::tcp::socket(std::move(socket)));
    asio::co_spawn(strand, this->ServeConnection(connection, strand),
                   asio::detached);
  }
}

std::optional<Ticket> CallServer::VerifyTicket(
    const std::string& encoded_ticket,
    const std::string& organisation) const {
  std::optional<Ticket> ticket = this->ticket_codec.Decode(encoded_ticket);
  if (ticket && ticket->organisation.str() != organisation)
    ticket.reset();
  return ticket;
}

CallRefused CallServer::RefusalFor(const TicketLookup& lookup) const {
  return this->admission.MakeRefusal(
      lookup.status == TicketStatus::kNotRun ? "not_run" : "unknown",
      lookup.record ? "ticket_reused" : lookup.reason);
}

CallServer::CallOrRefusal CallServer::Resolve(const CallRequest& request) {
  const auto ticket = this->VerifyTicket(request.ticket, request.organisation);
  if (!ticket) {
    // Not `not_run`: a call of another organisation may run under this ticket.
    return {nullptr, this->admission.MakeRefusal("unknown", "ticket_refused")};
  }
  const TicketLookup lookup = this->outcome_table.FindOrCreate(
      request.ticket, *ticket, this->TimeSinceStart());
  const bool matches_request = lookup.record && lookup.record->Bind(request);
  if (lookup.status == TicketStatus::kNew) {
    if (const char* reason = this->fleet.RefusalProblem()) {
      lookup.record->Refuse(this->admission.MakeRefusal("not_run", reason));
    } else {
      this->admission.Submit(request, lookup.record);
    }
  }
  if (matches_request)
    return {lookup.record, {}};
  return {nullptr, this->RefusalFor(lookup)};
}

CallServer::CallOrRefusal CallServer::Resolve(const ResumeRequest& request) {
  const auto ticket = this->VerifyTicket(request.ticket, request.organisation);
  if (!ticket)
    return {nullptr, this->admission.MakeRefusal("unknown", "ticket_refused")};
  const TicketLookup lookup = this->outcome_table.FindOrClose(
      request.ticket, *ticket, this->TimeSinceStart());
  if (lookup.record)
    return {lookup.record, {}};
  return {nullptr, this->RefusalFor(lookup)};
}

template <class Request>
asio::awaitable<void> CallServer::HandleRequest(MessageConnection& connection,
                                                const Strand& strand,
                                                Request request) {
  CallOrRefusal resolved = this->Resolve(request);
  if (resolved.record) {
    const InFlightCalls::ScopedCall mark(this->answers_in_flight,
                                         request.ticket);
    co_await this->SendAnswer(connection, strand, resolved.record,
                              request.attempt, request.after);
    co_return;
  }
  resolved.refusal.attempt = request.attempt;
  co_await connection.Send(std::move(resolved.refusal));
}

asio::awaitable<void> CallServer::ServeConnection(
    std::shared_ptr<MessageConnection> connection,
    Strand strand) {
  try {
    Hello hello;
    hello.endpoint = this->context.settings.vm;
    hello.incarnation = static_cast<std::uint64_t>(this->incarnation);
    hello.now = this->TimeSinceStart();
    hello.service = this->context.settings.service;
    // A router sends a request once it has the Hello, so the connection counts
    // as busy from here on and a drain waits for that request.
    auto mark = std::make_unique<InProgressMark>(this->messages_in_progress);
    co_await connection->Send(hello);
    auto timeout = kFirstMessageTimeout;
    while (true) {
      Message message = co_await connection->Receive(timeout);
      timeout = kIdleTimeout;
      mark = std::make_unique<InProgressMark>(this->messages_in_progress);
      if (auto* call = std::get_if<CallRequest>(&message)) {
        co_await this->HandleRequest(*connection, strand, std::move(*call));
      } else if (auto* resume = std::get_if<ResumeRequest>(&message)) {
        co_await this->HandleRequest(*connection, strand, std::move(*resume));
      } else if (auto* cancel = std::get_if<CancelRequest>(&message)) {
        CallRefused state = this->Cancel(*cancel);
        co_await connection->Send(std::move(state));
      } else {
        ProcessMetrics().Add("unexpected_messages_total");
      }
      mark.reset();
    }
  } catch (const ConnectionLost& lost) {
    LogLine(LogLevel::kDebug, "dialogue_ended", {{"reason", lost.what()}});
  }
}

CallRefused CallServer::Cancel(const CancelRequest& request) {
  const auto ticket = this->VerifyTicket(request.ticket, request.organisation);
  if (!ticket)
    return this->admission.MakeRefusal("unknown", "ticket_refused");
  const TicketLookup lookup = this->outcome_table.Cancel(
      request.ticket, *ticket, this->TimeSinceStart());
  if (!lookup.record)
    return this->RefusalFor(lookup);
  this->admission.Cancel(request.ticket);
  const CallSnapshot snapshot = lookup.record->Snapshot(0);
  switch (snapshot.state) {
    case CallState::kFinished:
      return this->admission.MakeRefusal("ran", "finished");
    case CallState::kRefused:
      return snapshot.refused;
    default:
      return this->admission.MakeRefusal("unknown", "stopping");
  }
}

asio::awaitable<void> CallServer::SendAnswer(MessageConnection& connection,
                                             const Strand& strand,
                                             std::shared_ptr<CallRecord> record,
                                             std::uint32_t attempt,
                                             std::uint64_t after) {
  auto waiter = std::make_shared<CallWaiter>(strand);
  record->AddWaiter(waiter);
  bool accepted = false;
  while (true) {
    CallSnapshot snapshot = record->Snapshot(after);
    if (snapshot.state == CallState::kRefused && snapshot.chunks.empty()) {
      snapshot.refused.attempt = attempt;
      co_await connection.Send(snapshot.refused);
      co_return;
    }
    if (!accepted) {
      const CallAccepted message = this->admission.MakeAcceptedMessage(attempt);
      co_await connection.Send(message);
      accepted = true;
    }
    for (std::string& data : snapshot.chunks) {
      CallChunk chunk{attempt, ++after, std::move(data)};
      co_await connection.Send(std::move(chunk));
    }
    if (snapshot.state == CallState::kFinished) {
      snapshot.finished.attempt = attempt;
      co_await connection.Send(snapshot.finished);
      co_return;
    }
    if (!snapshot.chunks.empty())
      continue;
    const auto wait_start = BootClock::now();
    co_await waiter->Wait(this->context.settings.heartbeat_interval);
    if (BootClock::now() - wait_start >=
        this->context.settings.heartbeat_interval) {
      const Heartbeat heartbeat{attempt};
      co_await connection.Send(heartbeat);
    }
  }
}

}  // namespace buckthornpath
