/** @file response_writer.h Streams an answer to a caller. */

#ifndef SRC_ROUTER_RESPONSE_WRITER_H_
#define SRC_ROUTER_RESPONSE_WRITER_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "kernel/http_server.h"
#include "router/problem.h"
#include "wire/message_type.h"

namespace buckthornpath {

/**
 * Thrown if a call that ran again gives an answer that differs from the part
 * which the caller already has.
 */
class ResponseMismatch : public std::runtime_error {
 public:
  ResponseMismatch()
      : runtime_error("the repeated answer differs from the first one") {}
};

/** The status of an answer ends no exchange: no caller may get it. */
class InvalidAnswerStatus : public std::runtime_error {
 public:
  explicit InvalidAnswerStatus(unsigned status)
      : runtime_error("service answered with status " +
                      std::to_string(status)) {}
};

/**
 * Writes an answer to a caller: server-sent events with an end event for a
 * model, one complete response for a plain service.
 */
class ResponseWriter {
 public:
  /** @param after Last chunk that the caller has. */
  ResponseWriter(HttpExchange& exchange, bool is_streamed, std::uint64_t after)
      : exchange(exchange),
        is_streamed(is_streamed),
        last_received(after),
        last_sent(after) {}

  /** @param request_id Ticket with which the caller can resume the call. */
  void SetRequestId(std::string request_id) {
    this->request_id = std::move(request_id);
  }

  /** @param hint Location hint to send with the answer; empty for none. */
  void SetLocation(std::string hint) { this->location = std::move(hint); }

  /**
   * Expects the answer again from its first chunk. Chunks that the caller
   * already has are not sent again; they must have the same digests, so that
   * no answer is put together from two different ones.
   * @pre The answer was requested from its first chunk.
   */
  void Restart();

  /**
   * Sends the next chunk; a chunk received before is dropped and counted.
   * @throws ResponseMismatch After Restart(), if the caller has other data for
   * it.
   * @throws ConnectionLost If a chunk before it is missing.
   */
  asio::awaitable<void> WriteChunk(const CallChunk& chunk);

  /**
   * Ends a complete answer.
   * @throws InvalidAnswerStatus If it is none.
   * @throws ResponseMismatch If the caller already has more chunks.
   * @throws ConnectionLost If chunks are missing.
   */
  asio::awaitable<void> Finish(const CallFinished& finished);

  /**
   * Reports a failed call: as a problem response, or as an error event if the
   * event stream has begun.
   */
  asio::awaitable<void> Fail(Problem problem);

  /** @return Sequence number of the last chunk received since Restart(). */
  std::uint64_t LastReceived() const { return this->last_received; }

 private:
  asio::awaitable<void> Begin();
  asio::awaitable<void> SendFinalEvent(const std::string& event,
                                       const std::string& data);

  HttpExchange& exchange;
  bool is_streamed;
  std::uint64_t last_received;  ///< Last chunk received since Restart().
  std::uint64_t last_sent;      ///< Last chunk that the caller has.
  /** XXH3-64 digests of the chunks that the caller has from this writer. */
  std::vector<std::uint64_t> chunk_digests;
  bool has_begun = false;
  std::string request_id;
  std::string location;
  std::string body;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_RESPONSE_WRITER_H_
