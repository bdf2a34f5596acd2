/** @file response_writer.cc Streams an answer to a caller. */

#include "router/response_writer.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "wire/dialogue_connection.h"
#include "wire/event_stream.h"

namespace buckthornpath {

asio::awaitable<void> AnswerWriter::Begin() {
  if (this->begun)
    co_return;
  this->begun = true;
  HttpResponse head;
  head.headers.Set("Content-Type", "text/event-stream");
  head.headers.Set("Cache-Control", "no-store");
  head.headers.Set("X-Request-Id", this->request_id);
  if (!this->location.empty())
    head.headers.Set("X-Location", this->location);
  co_await this->exchange.BeginStream(std::move(head));
}

void AnswerWriter::Restart() {
  this->received = 0;
  if (this->begun)
    return;
  this->sent = 0;
  this->digests.clear();
  this->body.clear();
}

asio::awaitable<void> AnswerWriter::WriteChunk(const CallChunk& chunk) {
  if (chunk.sequence <= this->received) {
    ProcessMetrics().Add("late_chunks_total");
    co_return;
  }
  if (chunk.sequence != this->received + 1) {
    throw DialogueLost("chunk out of order");
  }
  const std::uint64_t digest =
      XXH3_64bits(chunk.data.data(), chunk.data.size());
  this->received = chunk.sequence;
  if (this->received <= this->sent) {
    if (this->digests.at(this->received - 1) != digest)
      throw AnswerDiffers();
    co_return;
  }
  this->sent = this->received;
  this->digests.push_back(digest);
  if (!this->streamed) {
    this->body += chunk.data;
    co_return;
  }
  co_await this->Begin();
  co_await this->exchange.WriteChunk(
      FormatEvent("", std::to_string(chunk.sequence), chunk.data));
}

asio::awaitable<void> AnswerWriter::Finish(const CallFinished& finished) {
  if (finished.chunks != this->received) {
    throw DialogueLost("answer ended early");
  }
  if (this->received < this->sent)
    throw AnswerDiffers();
  if (!this->streamed) {
    HttpResponse response;
    response.status = finished.status;
    response.headers.Set("Content-Type", finished.content_type);
    response.headers.Set("X-Request-Id", this->request_id);
    if (!this->location.empty())
      response.headers.Set("X-Location", this->location);
    response.headers.Set("X-Outcome", "ran");
    response.body = std::move(this->body);
    co_await this->exchange.Send(std::move(response));
    co_return;
  }
  co_await this->Begin();
  const nlohmann::ordered_json end = {{"outcome", "ran"},
                                      {"complete", true},
                                      {"chunks", finished.chunks},
                                      {"bytes", finished.bytes}};
  co_await this->EndWith("end", end.dump());
}

asio::awaitable<void> AnswerWriter::Fail(Problem problem) {
  problem.request_id = this->request_id;
  LogLine(LogLevel::kInfo, "refused",
          {{"request", problem.request_id},
           {"reason", problem.type},
           {"detail", problem.detail},
           {"outcome", OutcomeName(problem.outcome)}});
  if (!this->begun) {
    co_await this->exchange.Send(ProblemResponse(problem));
    co_return;
  }
  co_await this->EndWith("error", ProblemJson(problem));
}

asio::awaitable<void> AnswerWriter::EndWith(const std::string& event,
                                            const std::string& data) {
  std::string text = FormatEvent(event, "", data);
  if (event == "end")
    text += FormatEvent("", "", "[DONE]");
  co_await this->exchange.WriteChunk(text);
  co_await this->exchange.EndStream();
}

}  // namespace buckthornpath
