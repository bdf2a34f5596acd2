/** @file answer_writer.h Streams an answer to a caller. */

#ifndef SRC_ROUTER_ANSWER_WRITER_H_
#define SRC_ROUTER_ANSWER_WRITER_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "kernel/http_server.h"
#include "router/problem.h"
#include "wire/message_type.h"

namespace buckthornpath {

/** A second generation of an answer differs from what the caller has. */
class AnswerDiffers : public std::runtime_error {
 public:
  AnswerDiffers() : runtime_error("the answers differ") {}
};

/**
 * Writes an answer to a caller: server-sent events with an end event for a
 * model, one whole response for a plain service.
 */
class AnswerWriter {
 public:
  /** @param after Last chunk that the caller has. */
  AnswerWriter(HttpExchange& exchange, bool streamed, std::uint64_t after)
      : exchange(exchange), streamed(streamed), received(after), sent(after) {}

  /** @param request_id Name under which the caller can resume. */
  void SetRequestId(std::string request_id) {
    this->request_id = std::move(request_id);
  }

  /** @param hint Location hint that the answer carries. */
  void SetLocation(std::string hint) { this->location = std::move(hint); }

  /**
   * Takes an answer from its start again. What the caller has already must
   * come again, byte for byte, so that no answer is spliced of two.
   * @pre The answer was asked for from its start.
   */
  void Restart();

  /**
   * Sends the next piece; one that came already is dropped and counted.
   * @throws AnswerDiffers After Restart(), if the caller has another piece.
   * @throws DialogueLost If a piece is missing before it.
   */
  asio::awaitable<void> WriteChunk(const CallChunk& chunk);

  /** Ends a whole answer. */
  asio::awaitable<void> Finish(const CallFinished& finished);

  /** Ends without a whole answer, as a response or as a final event. */
  asio::awaitable<void> Fail(Problem problem);

  /** @return Sequence number of the last chunk of this generation. */
  std::uint64_t LastReceived() const { return this->received; }

 private:
  asio::awaitable<void> Begin();
  asio::awaitable<void> EndWith(const std::string& event,
                                const std::string& data);

  HttpExchange& exchange;
  bool streamed;
  std::uint64_t received;  ///< Last chunk of this generation.
  std::uint64_t sent;      ///< Last chunk that the caller has.
  /** Digests of the chunks that the caller has from this writer. */
  std::vector<std::uint64_t> digests;
  bool begun = false;
  std::string request_id;
  std::string location;
  std::string body;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_ANSWER_WRITER_H_
