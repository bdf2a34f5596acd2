/** @file endpoint_connection.h HTTP connection to an endpoint. */

#ifndef SRC_GATEWAY_ENDPOINT_CONNECTION_H_
#define SRC_GATEWAY_ENDPOINT_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/chunk_body.h"
#include "gateway/shared_body.h"
#include "kernel/response_check.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

using ForwardRequest = boost::beast::http::request<SharedBody>;
using ResponseParser = boost::beast::http::response_parser<ChunkBody>;

/**
 * HTTP connection that carries one request at a time. Methods return errors
 * and do not throw them. Close() aborts an operation that is in progress.
 */
class EndpointConnection {
 public:
  using Clock = std::chrono::steady_clock;
  using ErrorCode = boost::system::error_code;

  explicit EndpointConnection(const asio::any_io_executor& executor);

  asio::awaitable<ErrorCode> Connect(SocketAddress address,
                                     std::chrono::milliseconds timeout);

  asio::awaitable<ErrorCode> Send(const ForwardRequest& request);

  /** Reads the head of the next final response; interim ones are skipped, and
   * an invalid one is an error. */
  asio::awaitable<ErrorCode> ReadHead(bool is_head_request);

  /** @return The response head that was read last, without a trailer. */
  const ResponseHead& Head() const { return this->head; }

  /**
   * Reads the next part of the response body.
   * @param[out] chunk Receives the bytes that have arrived; may be empty.
   */
  asio::awaitable<ErrorCode> ReadBody(std::string& chunk);

  /** @return True once the response has been read in full. */
  bool IsResponseComplete() const { return this->parser->is_done(); }

  /** @return True if the response has no length and ends when the endpoint
   * closes the connection. */
  bool EndsResponseByClosing() const { return this->parser->need_eof(); }

  /** @return True if the connection may carry another request. */
  bool IsReusable() const;

  /** @return True if the connection is open and no input is waiting. */
  bool IsIdle();

  void Close();

  /** @return The address that Connect() was given last. */
  const SocketAddress& Address() const { return this->address; }

  Clock::time_point opened_at{};
  Clock::time_point idle_since{};
  /** Idle time after which the endpoint closes the connection, if stated. */
  std::optional<std::chrono::milliseconds> idle_timeout;

 private:
  /** Reads the head of the next response, interim or final. */
  asio::awaitable<ErrorCode> ReadNextHead(bool is_head_request);

  ErrorCode ParseBuffered();

  /** Parses buffered input of a body, or reads more from the endpoint and
   * parses it. */
  asio::awaitable<ErrorCode> ReadMore();

  /** Adds what arrives next to the buffered input. */
  asio::awaitable<ErrorCode> ReadFromSocket();
  std::string_view Buffered() const;

  SocketAddress address;
  asio::ip::tcp::socket socket;
  asio::any_io_executor executor;
  boost::beast::flat_buffer buffer;
  std::optional<ResponseParser> parser;
  ResponseHead head;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENDPOINT_CONNECTION_H_
