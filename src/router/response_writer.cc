/** @file response_writer.cc Streams an answer to a caller. */

#include "router/response_writer.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/response_check.h"
#include "wire/event_stream.h"
#include "wire/message_connection.h"

namespace buckthornpath {

asio::awaitable<void> ResponseWriter::Begin() {
  if (this->has_begun)
    co_return;
  this->has_begun = true;
  HttpResponse head;
  head.headers.Append("Content-Type", "text/event-stream");
  head.headers.Append("Cache-Control", "no-store");
  head.headers.Append("X-Request-Id", this->request_id);
  if (!this->location.empty())
    head.headers.Append("X-Location", this->location);
  co_await this->exchange.BeginStream(std::move(head));
}

void ResponseWriter::Restart() {
  this->last_received = 0;
  if (this->has_begun)
    return;
  this->last_sent = 0;
  this->chunk_digests.clear();
  this->body.clear();
}

asio::awaitable<void> ResponseWriter::WriteChunk(const CallChunk& chunk) {
  if (chunk.sequence <= this->last_received) {
    ProcessMetrics().Add("late_chunks_total");
    co_return;
  }
  if (chunk.sequence != this->last_received + 1) {
    throw ConnectionLost("chunk out of order");
  }
  const std::uint64_t digest =
      XXH3_64bits(chunk.data.data(), chunk.data.size());
  this->last_received = chunk.sequence;
  if (this->last_received <= this->last_sent) {
    if (this->chunk_digests.at(this->last_received - 1) != digest)
      throw ResponseMismatch();
    co_return;
  }
  this->last_sent = this->last_received;
  this->chunk_digests.push_back(digest);
  if (!this->is_streamed) {
    this->body += chunk.data;
    co_return;
  }
  co_await this->Begin();
  co_await this->exchange.WriteChunk(
      FormatEvent("", std::to_string(chunk.sequence), chunk.data));
}

asio::awaitable<void> ResponseWriter::Finish(const CallFinished& finished) {
  if (finished.chunks != this->last_received) {
    throw ConnectionLost("answer ended early");
  }
  if (this->last_received < this->last_sent)
    throw ResponseMismatch();
  if (!IsFinalStatus(finished.status))
    throw InvalidAnswerStatus(finished.status);
  if (!this->is_streamed) {
    HttpResponse response;
    response.status = finished.status;
    response.headers.Append("Content-Type", finished.content_type);
    response.headers.Append("X-Request-Id", this->request_id);
    if (!this->location.empty())
      response.headers.Append("X-Location", this->location);
    response.headers.Append("X-Outcome", "ran");
    response.body = std::move(this->body);
    co_await this->exchange.Send(std::move(response));
    co_return;
  }
  co_await this->Begin();
  const nlohmann::ordered_json end = {{"outcome", "ran"},
                                      {"complete", true},
                                      {"chunks", finished.chunks},
                                      {"bytes", finished.bytes}};
  co_await this->SendFinalEvent("end", end.dump());
}

asio::awaitable<void> ResponseWriter::Fail(Problem problem) {
  problem.request_id = this->request_id;
  LogLine(LogLevel::kInfo, "refused",
          {{"request", problem.request_id},
           {"reason", problem.type},
           {"detail", problem.detail},
           {"outcome", OutcomeName(problem.outcome)}});
  if (!this->has_begun) {
    co_await this->exchange.Send(ProblemResponse(problem));
    co_return;
  }
  co_await this->SendFinalEvent("error", ProblemJson(problem));
}

asio::awaitable<void> ResponseWriter::SendFinalEvent(const std::string& event,
                                                     const std::string& data) {
  std::string text = FormatEvent(event, "", data);
  if (event == "end")
    text += FormatEvent("", "", "[DONE]");
  co_await this->exchange.WriteChunk(text);
  co_await this->exchange.EndStream();
}

}  // namespace buckthornpath
