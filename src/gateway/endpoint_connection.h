/** @file endpoint_connection.h One HTTP connection to an endpoint. */

#ifndef SRC_GATEWAY_ENDPOINT_CONNECTION_H_
#define SRC_GATEWAY_ENDPOINT_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

using ForwardRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using AnswerParser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

/**
 * Sends one request at a time. Every call returns an error instead of throwing
 * it; Close() ends a call that is in progress.
 */
class EndpointConnection {
 public:
  using Clock = std::chrono::steady_clock;
  using ErrorCode = boost::system::error_code;

  explicit EndpointConnection(const asio::any_io_executor& executor)
      : socket(executor), executor(executor) {}

  asio::awaitable<ErrorCode> Connect(SocketAddress address,
                                     std::chrono::milliseconds timeout);

  asio::awaitable<ErrorCode> Send(const ForwardRequest& request);

  /** Reads the head of the next answer. */
  asio::awaitable<ErrorCode> ReadHead(bool is_head_request);

  /** @return The head that was read last. */
  const boost::beast::http::response_header<>& Head() const {
    return this->parser->get().base();
  }

  /**
   * Reads more of the body.
   * @param[out] piece Receives what has arrived; may be empty.
   */
  asio::awaitable<ErrorCode> ReadBody(std::string& piece);

  /** @return True once the whole answer has been read. */
  bool IsAnswerComplete() const { return this->parser->is_done(); }

  /** @return True if the connection may carry another request. */
  bool IsReusable() const;

  /** @return True if nothing has arrived and the endpoint has not closed. */
  bool IsQuiet();

  void Close();

  Clock::time_point idle_since{};
  /** Time after which the endpoint closes it, less a margin. */
  std::optional<std::chrono::milliseconds> idle_time;

 private:
  ErrorCode ParseBuffered();

  /** Parses what is buffered, or reads more from the endpoint and parses it. */
  asio::awaitable<ErrorCode> Advance();

  asio::ip::tcp::socket socket;
  asio::any_io_executor executor;
  boost::beast::flat_buffer buffer;
  std::optional<AnswerParser> parser;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENDPOINT_CONNECTION_H_
