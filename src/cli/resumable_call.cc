/** @file resumable_call.cc A call that other routers can resume. */

#include "cli/resumable_call.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kReadTimeout{60000};
constexpr std::chrono::milliseconds kRetryDelay{100};

/** Consecutive attempts per router that may fail without a new chunk. */
constexpr std::size_t kMaxFailuresPerRouter = 5;

std::uint64_t ParseChunkNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

asio::awaitable<CallResult> ResumableCall::Run() {
  const std::size_t max_failures = kMaxFailuresPerRouter * this->routers.size();
  std::uint64_t previous_chunk_count = 0;
  for (std::size_t i = 0, failures = 0; failures < max_failures;
       ++i, ++failures) {
    this->result.resume_count = i;
    this->result.router = this->routers[i % this->routers.size()];
    try {
      co_await this->Attempt(this->result.router);
    } catch (const HttpError& error) {
      this->result.connection_error = error.what();
    }
    if (this->is_finished)
      break;
    if (this->result.chunk_count > previous_chunk_count)
      failures = 0;
    previous_chunk_count = this->result.chunk_count;
    co_await SleepFor(kRetryDelay);
  }
  co_return this->result;
}

asio::awaitable<void> ResumableCall::Attempt(SocketAddress router) {
  HttpRequest attempt = this->request;
  if (this->result.chunk_count > 0) {
    attempt.method = "GET";
    attempt.target =
        "/v1/requests/" + attempt.headers.Find("Idempotency-Key").value_or("");
    attempt.body.clear();
    attempt.headers.Append("Last-Event-ID",
                           std::to_string(this->result.chunk_count));
  }
  auto response = co_await HttpResponseStream::Open(router, std::move(attempt),
                                                    kReadTimeout);
  const HttpResponse head = response->head();
  const auto location = head.headers.Find("X-Location");
  if (location)
    this->result.location = *location;
  const bool is_event_stream =
      head.headers.Find("Content-Type").value_or("") == "text/event-stream";
  EventStreamParser reader;
  std::string body;
  while (auto bytes = co_await response->ReadSome(kReadTimeout)) {
    if (!is_event_stream) {
      body += *bytes;
      continue;
    }
    reader.Feed(*bytes);
    while (auto event = reader.Next())
      this->HandleEvent(*event);
  }
  if (!is_event_stream)
    this->HandleUnstreamedResponse(head, body);
}

void ResumableCall::HandleEvent(const ServerSentEvent& event) {
  if (event.event.empty()) {
    if (ParseChunkNumber(event.id) != this->result.chunk_count + 1)
      return;
    ++this->result.chunk_count;
    this->on_chunk(event.data);
    return;
  }
  const auto data = nlohmann::json::parse(event.data, nullptr, false);
  if (!data.is_object())
    return;
  this->is_finished = true;
  this->result.outcome = data.value("outcome", "unknown");
  this->result.complete =
      event.event == "end" && data.value("complete", false) &&
      data.value("chunks", std::uint64_t{0}) == this->result.chunk_count;
  if (event.event != "end")
    this->result.problem = event.data;
}

void ResumableCall::HandleUnstreamedResponse(const HttpResponse& head,
                                             const std::string& body) {
  this->is_finished = true;
  const auto outcome = head.headers.Find("X-Outcome");
  if (outcome) {
    this->result.outcome = *outcome;
    this->result.complete = true;
    this->result.chunk_count = 1;
    this->on_chunk(body);
    return;
  }
  this->result.problem = body;
  const auto problem = nlohmann::json::parse(body, nullptr, false);
  if (problem.is_object())
    this->result.outcome = problem.value("outcome", "unknown");
}

}  // namespace buckthornpath
