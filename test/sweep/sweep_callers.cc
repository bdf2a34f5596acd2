/** @file sweep_callers.cc Callers that note what they asked and were told. */

#include "sweep/sweep_callers.h"

#include <thread>

#include "harness/caller.h"

namespace buckthornpath {

namespace {

constexpr std::size_t kRouters = 2;
constexpr int kTries = 4;
constexpr int kTokens = 30;
constexpr std::chrono::milliseconds kTryTimeout{2000};

/** Chunks after which a caller that resumes hangs up. */
constexpr std::size_t kPieceChunks = 8;

HttpRequest WithTicket(HttpRequest request, const std::string& ticket) {
  request.headers.Append("Idempotency-Key", ticket);
  return request;
}

HttpRequest OnCall(const std::string& method, const std::string& ticket) {
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

void SweepCaller::NoteInvoke(const HttpRequest& request,
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

void SweepCaller::NoteTold(const HttpRequest& request,
                           const std::string& outcome) {
  if (outcome.empty())
    return;
  this->history.Write(
      {{"event", "told"}, {"body", request.body}, {"outcome", outcome}});
}

std::string SweepCaller::MintTicket(const std::string& profile) {
  for (int i = 0; i < kTries; ++i) {
    try {
      const HttpResponse response = CallHttp(
          this->NextRouter(),
          ServiceRequest(kParishCredential, profile, "/v1/tickets", ""),
          kTryTimeout);
      if (response.status == 201)
        return nlohmann::json::parse(response.body).value("ticket", "");
    } catch (const HttpError&) {
      // The next router may answer.
    }
  }
  return "";
}

bool SweepCaller::TryPlain(const SocketAddress& router,
                           const HttpRequest& request) {
  try {
    const HttpResponse response = CallHttp(router, request, kTryTimeout);
    if (response.status != 200) {
      this->NoteTold(request, OutcomeOf(response));
      return OutcomeOf(response) == "not_run";
    }
    this->history.Write(
        {{"event", "answer"}, {"body", request.body}, {"text", response.body}});
    return true;
  } catch (const HttpError&) {
    return false;
  }
}

bool SweepCaller::TryStream(const SocketAddress& router,
                            const HttpRequest& request) {
  const StreamedAnswer answer = CallStream(router, request, {}, kTryTimeout);
  if (answer.complete) {
    this->history.Write({{"event", "answer"},
                         {"body", request.body},
                         {"chunks", answer.chunks}});
    return true;
  }
  this->NoteTold(request, answer.outcome);
  return answer.outcome == "not_run";
}

bool SweepCaller::TryOnce(const SocketAddress& router,
                          const HttpRequest& request,
                          bool streamed) {
  return streamed ? this->TryStream(router, request)
                  : this->TryPlain(router, request);
}

void SweepCaller::CallWithTicket(const HttpRequest& request, bool streamed) {
  const std::string ticket =
      this->MintTicket(request.headers.Find("X-Profile").value_or(""));
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->NoteInvoke(ticketed, streamed, false);
  for (int i = 0; i < kTries; ++i) {
    if (this->TryOnce(this->NextRouter(), ticketed, streamed))
      return;
  }
}

void SweepCaller::CallAtOnce(const HttpRequest& request) {
  const std::string ticket = this->MintTicket("receipt");
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->NoteInvoke(ticketed, false, false);
  std::vector<std::jthread> both;
  for (std::size_t i = 0; i < kRouters; ++i) {
    both.emplace_back([this, &ticketed, i] {
      this->TryPlain(this->fleet.Router(i), ticketed);
    });
  }
}

void SweepCaller::CallAndCancel(const HttpRequest& request) {
  const std::string ticket = this->MintTicket("receipt");
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->NoteInvoke(ticketed, false, false);
  const std::jthread call(
      [this, &ticketed] { this->TryPlain(this->fleet.Router(0), ticketed); });
  try {
    const HttpResponse response =
        CallHttp(this->fleet.Router(1), OnCall("DELETE", ticket), kTryTimeout);
    // A call that is being stopped is told of by its own answer.
    if (OutcomeOf(response) != "unknown")
      this->NoteTold(ticketed, OutcomeOf(response));
  } catch (const HttpError&) {
    // Nothing was told.
  }
}

void SweepCaller::CallAndResume(const HttpRequest& request) {
  const std::string ticket = this->MintTicket("statement");
  if (ticket.empty())
    return;
  const HttpRequest ticketed = WithTicket(request, ticket);
  this->NoteInvoke(ticketed, true, false);
  std::vector<std::string> chunks;
  HttpRequest next = ticketed;
  for (int i = 0; i < 2 * kTries; ++i) {
    const StreamedAnswer answer = CallStream(
        this->NextRouter(), next,
        [](std::size_t count) { return count < kPieceChunks; }, kTryTimeout);
    chunks.insert(chunks.end(), answer.chunks.begin(), answer.chunks.end());
    this->NoteTold(request, answer.complete ? "" : answer.outcome);
    if (answer.complete) {
      this->history.Write(
          {{"event", "answer"}, {"body", request.body}, {"chunks", chunks}});
    }
    if (answer.complete || answer.outcome == "not_run")
      return;
    next = OnCall("GET", ticket);
    next.headers.Append("Last-Event-ID", std::to_string(chunks.size()));
  }
}

void SweepCaller::CallWithoutTicket(const HttpRequest& request,
                                    bool streamed,
                                    bool repeatable) {
  this->NoteInvoke(request, streamed, repeatable);
  this->TryOnce(this->NextRouter(), request, streamed);
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
        this->CallAtOnce(receipt);
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
