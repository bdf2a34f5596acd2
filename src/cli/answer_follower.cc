/** @file answer_follower.cc Follows an answer through several routers. */

#include "cli/answer_follower.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kReadTimeout{60000};
constexpr std::chrono::milliseconds kPause{100};

/** Attempts at each router without a new chunk before giving up. */
constexpr std::size_t kRounds = 5;

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

asio::awaitable<FollowedAnswer> AnswerFollower::Run() {
  const std::size_t attempts = kRounds * this->routers.size();
  std::uint64_t chunks_before = 0;
  for (std::size_t i = 0, failed = 0; failed < attempts; ++i, ++failed) {
    this->answer.resumed = i;
    this->answer.router = this->routers[i % this->routers.size()];
    try {
      co_await this->Attempt(this->answer.router);
    } catch (const HttpError& error) {
      this->answer.fault = error.what();
    }
    if (this->ended)
      break;
    if (this->answer.chunks > chunks_before)
      failed = 0;
    chunks_before = this->answer.chunks;
    co_await SleepFor(kPause);
  }
  co_return this->answer;
}

asio::awaitable<void> AnswerFollower::Attempt(SocketAddress router) {
  HttpRequest attempt = this->request;
  if (this->answer.chunks > 0) {
    attempt.method = "GET";
    attempt.target =
        "/v1/requests/" + attempt.headers.Find("Idempotency-Key").value_or("");
    attempt.body.clear();
    attempt.headers.Set("Last-Event-ID", std::to_string(this->answer.chunks));
  }
  auto response = co_await HttpResponseStream::Open(router, std::move(attempt),
                                                    kReadTimeout);
  const HttpResponse head = response->head();
  const auto location = head.headers.Find("X-Location");
  if (location)
    this->answer.location = *location;
  const bool streamed =
      head.headers.Find("Content-Type").value_or("") == "text/event-stream";
  EventStreamParser reader;
  std::string body;
  while (auto piece = co_await response->ReadSome(kReadTimeout)) {
    if (!streamed) {
      body += *piece;
      continue;
    }
    reader.Feed(*piece);
    while (auto event = reader.Next())
      this->ReadEvent(*event);
  }
  if (!streamed)
    this->ReadWhole(head, body);
}

void AnswerFollower::ReadEvent(const ServerSentEvent& event) {
  if (event.event.empty()) {
    if (ParseNumber(event.id) != this->answer.chunks + 1)
      return;
    ++this->answer.chunks;
    this->on_chunk(event.data);
    return;
  }
  const auto data = nlohmann::json::parse(event.data, nullptr, false);
  if (!data.is_object())
    return;
  this->ended = true;
  this->answer.outcome = data.value("outcome", "unknown");
  this->answer.complete =
      event.event == "end" && data.value("complete", false) &&
      data.value("chunks", std::uint64_t{0}) == this->answer.chunks;
  if (event.event != "end")
    this->answer.problem = event.data;
}

void AnswerFollower::ReadWhole(const HttpResponse& head,
                               const std::string& body) {
  this->ended = true;
  const auto outcome = head.headers.Find("X-Outcome");
  if (outcome) {
    this->answer.outcome = *outcome;
    this->answer.complete = true;
    this->answer.chunks = 1;
    this->on_chunk(body);
    return;
  }
  this->answer.problem = body;
  const auto problem = nlohmann::json::parse(body, nullptr, false);
  if (problem.is_object())
    this->answer.outcome = problem.value("outcome", "unknown");
}

}  // namespace buckthornpath
