/** @file sweep_callers.cc Callers that record calls and reported outcomes. */

#include "sweep/sweep_callers.h"

#include <thread>

#include "harness/caller.h"

namespace buckthornpath {

namespace {

constexpr std::size_t kRouters = 2;
constexpr int kMaxAttempts = 4;
constexpr int kTokens = 30;
constexpr std::chrono::milliseconds kAttemptTimeout{2000};

/** Chunks after which a resuming caller closes the connection. */
constexpr std::size_t kChunksPerConnection = 8;

HttpRequest WithTicket(HttpRequest request, const std::string& ticket) {
  request.headers.Append("Idempotency-Key", ticket);
  return request;
}

HttpRequest TicketRequest(const std::string& method,
                          const std::string& ticket) {
  HttpRequest request;
  request.method = method;
  request.target = "/v1/requests/" + ticket;
  request.headers.Append("Authorization",
                         std::string("Bearer ") + kParishCredential);
  return request;
}

std::string OutcomeOf(const HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("outcome", "") : "";
}

}  // namespace

SocketAddress SweepCaller::NextRouter() {
  return this->fleet.Router(this->next_router++ % kRouters);
}

void SweepCaller::RecordInvocation(const HttpRequest& request,
                                   bool streamed,
                                   bool repeatable) {
  constexpr std::string_view kPrefix = "/v1/services/ledger";
  this->history.Write(
      {{"event", "invoke"},
       {"body", request.body},
       {"streamed", streamed},
       {"repeatable", repeatable},
       {"path", streamed ? "" : request.target.substr(kPrefix.size())}});
}

void SweepCaller::RecordOutcome(const HttpRequest& request,
                                const std::string& outcome) {
  if (outcome.empty())
    return;
  this->history.Write(
      {{"event", "told"}, {"body", request.body}, {"outcome", outcome}});
}

std::string SweepCaller::IssueTicket(const std::string& profile) {
  for (int i = 0; i < kMaxAttempts; ++i) {
    try {
      const HttpResponse response = CallHttp(
          this->NextRouter(),
          ServiceRequest(kParishCredential, profile, "/v1/tickets", ""),
          kAttemptTimeout);
      if (response.status == 201)
        return nlohmann::json::parse(response.body).value("ticket", "");
    } catch (const HttpError&) {
      // The next router may answer.
    }
  }
  return "";
}

bool SweepCaller::AttemptPlain(const SocketAddress& router,
                               const HttpRequest& request) {
  try {
    const HttpResponse response = CallHttp(router, request, kAttemptTimeout);
    if (response.status != 200) {
      this->RecordOutcome(request, OutcomeOf(response));
      return OutcomeOf(response) == "not_run";
    }
    this->history.Write(
        {{"event", "answer"}, {"body", request.body}, {"text", response.body}});
    return true;
  } catch (const HttpError&) {
    return false;
  }
}

bool SweepCaller::AttemptStream(const SocketAddress& router,
                                const HttpRequest& request) {
  const StreamedAnswer answer =
      CallStream(router, request, {}, kAttemptTimeout);
  if (answer.complete) {
    this->history.Write({{"event", "answer"},
                         {"body", request.body},
                         {"chunks", answer.chunks}});
    return true;
  }
  this->RecordOutcome(request, answer.outcome);
  return answer.outcome == "not_run";
}

bool SweepCaller::Attempt(const SocketAddress& router,
                          const HttpRequest& request,
                          bool streamed) {
  return streamed ? this->AttemptStream(router, request)
                  : this->AttemptPlain(router, request);
}

void SweepCaller::CallWithTicket(const HttpRequest& request, bool streamed) {
  const std::string ticket =
      this->IssueTicket(request.headers.Find("X-Profile").value_or(""));
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->RecordInvocation(ticketed, streamed, false);
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (this->Attempt(this->NextRouter(), ticketed, streamed))
      return;
  }
}

void SweepCaller::CallThroughBothRouters(const HttpRequest& request) {
  const std::string ticket = this->IssueTicket("receipt");
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->RecordInvocation(ticketed, false, false);
  std::vector<std::jthread> callers;
  for (std::size_t i = 0; i < kRouters; ++i) {
    callers.emplace_back([this, &ticketed, i] {
      this->AttemptPlain(this->fleet.Router(i), ticketed);
    });
  }
}

void SweepCaller::CallAndCancel(const HttpRequest& request) {
  const std::string ticket = this->IssueTicket("receipt");
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->RecordInvocation(ticketed, false, false);
  const std::jthread call([this, &ticketed] {
    this->AttemptPlain(this->fleet.Router(0), ticketed);
  });
  try {
    const HttpResponse response =
        CallHttp(this->fleet.Router(1), TicketRequest("DELETE", ticket),
                 kAttemptTimeout);
    // The outcome of a call that is being stopped is in its own response.
    if (OutcomeOf(response) != "unknown")
      this->RecordOutcome(ticketed, OutcomeOf(response));
  } catch (const HttpError&) {
    // No outcome was reported.
  }
}

void SweepCaller::CallAndResume(const HttpRequest& request) {
  const std::string ticket = this->IssueTicket("statement");
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->RecordInvocation(ticketed, true, false);
  std::vector<std::string> chunks;
  HttpRequest next = ticketed;
  for (int i = 0; i < 2 * kMaxAttempts; ++i) {
    const StreamedAnswer answer = CallStream(
        this->NextRouter(), next,
        [](std::size_t count) { return count < kChunksPerConnection; },
        kAttemptTimeout);
    chunks.insert(chunks.end(), answer.chunks.begin(), answer.chunks.end());
    this->RecordOutcome(request, answer.complete ? "" : answer.outcome);
    if (answer.complete) {
      this->history.Write(
          {{"event", "answer"}, {"body", request.body}, {"chunks", chunks}});
    }
    if (answer.complete || answer.outcome == "not_run")
      return;
    next = TicketRequest("GET", ticket);
    next.headers.Append("Last-Event-ID", std::to_string(chunks.size()));
  }
}

void SweepCaller::CallWithoutTicket(const HttpRequest& request,
                                    bool streamed,
                                    bool repeatable) {
  this->RecordInvocation(request, streamed, repeatable);
  this->Attempt(this->NextRouter(), request, streamed);
}

void SweepCaller::Run(std::size_t calls) {
  this->next_router = this->number;
  for (std::size_t i = 0; i < calls; ++i) {
    const std::string name =
        std::to_string(this->number) + " " + std::to_string(i);
    const HttpRequest receipt =
        ServiceRequest(kParishCredential, "receipt",
                       "/v1/services/ledger/issue", "receipt " + name);
    const std::string chat = "chat-" + std::to_string(this->number);
    const HttpRequest statement = ChatRequest(
        kParishCredential, "statement", chat, "statement " + name, kTokens);
    switch ((this->number + i) % 7) {
      case 0:
        this->CallWithTicket(receipt, false);
        break;
      case 1:
        this->CallWithTicket(statement, true);
        break;
      case 2:
        this->CallWithoutTicket(ChatRequest(kParishCredential, "chat", chat,
                                            "question " + name, kTokens),
                                true, true);
        break;
      case 3:
        this->CallThroughBothRouters(receipt);
        break;
      case 4:
        this->CallAndCancel(receipt);
        break;
      case 5:
        this->CallAndResume(statement);
        break;
      default:
        this->CallWithoutTicket(receipt, false, false);
        break;
    }
  }
}

}  // namespace buckthornpath
