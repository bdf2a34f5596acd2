/** @file answer_writer.h Streams an answer to a caller. */

#ifndef SRC_ROUTER_ANSWER_WRITER_H_
#define SRC_ROUTER_ANSWER_WRITER_H_

#include <cstdint>
#include <string>

#include "kernel/http_server.h"
#include "router/problem.h"
#include "wire/message_type.h"

namespace buckthornpath {

/**
 * Writes an answer to a caller: server-sent events with an end event for a
 * model, one whole response for a plain service.
 */
class AnswerWriter {
 public:
  /** @param after Last chunk that the caller has. */
  AnswerWriter(HttpExchange& exchange, bool streamed, std::uint64_t after)
      : exchange(exchange), streamed(streamed), sent(after) {}

  /** @param request_id Name under which the caller can resume. */
  void SetRequestId(std::string request_id) {
    this->request_id = std::move(request_id);
  }

  /** @param hint Location hint that the answer carries. */
  void SetLocation(std::string hint) { this->location = std::move(hint); }

  /** Sends the next piece; one that the caller has already is dropped. */
  asio::awaitable<void> WriteChunk(const CallChunk& chunk);

  /** Ends a whole answer. */
  asio::awaitable<void> Finish(const CallFinished& finished);

  /** Ends without a whole answer, as a response or as a final event. */
  asio::awaitable<void> Fail(Problem problem);

  /** @return Sequence number of the last chunk that the caller has. */
  std::uint64_t LastSent() const { return this->sent; }

  /** @return True if anything has been sent. */
  bool HasBegun() const { return this->begun; }

 private:
  asio::awaitable<void> Begin();
  asio::awaitable<void> EndWith(const std::string& event,
                                const std::string& data);

  HttpExchange& exchange;
  bool streamed;
  std::uint64_t sent;
  bool begun = false;
  std::string request_id;
  std::string location;
  std::string body;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_ANSWER_WRITER_H_
