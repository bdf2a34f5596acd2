/** @file http_server.h HTTP/1.1 server. */

#ifndef SRC_KERNEL_HTTP_SERVER_H_
#define SRC_KERNEL_HTTP_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "kernel/http_type.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** A request and the functions that send its response. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /** Sends a complete response. @throws HttpError If the write fails. */
  virtual asio::awaitable<void> Send(HttpResponse response) = 0;

  /**
   * Sends status and header fields of a chunked response.
   * @throws HttpError If the write fails.
   */
  virtual asio::awaitable<void> BeginStream(HttpResponse head) = 0;

  /** Sends one chunk. @throws HttpError If the write fails. */
  virtual asio::awaitable<void> WriteChunk(std::string_view data) = 0;

  /**
   * Sends the last chunk; without it the response is incomplete.
   * @throws HttpError If the write fails.
   */
  virtual asio::awaitable<void> EndStream() = 0;

  /** @return True once the sending of a response has begun. */
  virtual bool HasStartedResponse() const = 0;
};

/** Errors for which the server itself sends the response. */
enum class HttpFault {
  kMalformed,           ///< The request cannot be parsed.
  kHeaderTooLarge,      ///< The header exceeds header_bytes.
  kBodyTooLarge,        ///< The body exceeds body_bytes.
  kTooSlow,             ///< The request exceeds read_timeout.
  kTooManyConnections,  ///< The limit of connections is reached.
  kHandlerFailed,       ///< The handler threw before it responded.
};

/**
 * Creates the response to a fault; without this function it is only a status.
 * The flag is true if the request may refer to a call that has already run on
 * another connection.
 */
using HttpFaultResponder = std::function<HttpResponse(HttpFault, bool)>;

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange&)>;

/** Limits on the size and duration of requests. */
struct HttpLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t connections = 65536;  ///< Maximum open at once.
  /** Maximum time from the first byte of a request to its last. */
  std::chrono::milliseconds read_timeout = std::chrono::seconds(10);
  /** Maximum time that an open connection waits for a request. */
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(120);
  HttpFaultResponder make_fault_response;
};

/** Accepts connections and calls a handler for each request. */
class HttpServer {
 public:
  /**
   * Binds the address and listens; Start() begins to accept.
   * @throws boost::system::system_error If the address cannot be bound.
   */
  HttpServer(WorkerPool& pool,
             const SocketAddress& address,
             HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();

  /** Starts to accept connections. */
  void Start();

  /** From now on, closes each connection after its next response. */
  void BeginDrain();

  /** Stops accepting connections; open connections are still served. */
  void Close();

  /** @return Number of requests being received or processed. */
  std::size_t OpenExchanges() const;

  /** @return The bound address; the actual port if port 0 was requested. */
  SocketAddress Address() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_HTTP_SERVER_H_
