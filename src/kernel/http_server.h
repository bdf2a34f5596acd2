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

/** One request and the means to answer it. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /** Sends a whole response. @throws HttpError If the caller is gone. */
  virtual asio::awaitable<void> Send(HttpResponse response) = 0;

  /** Sends the head of a chunked response. @throws HttpError as above. */
  virtual asio::awaitable<void> BeginStream(HttpResponse head) = 0;

  /** Sends one chunk. @throws HttpError If the caller is gone. */
  virtual asio::awaitable<void> WriteChunk(std::string_view data) = 0;

  /** Ends a chunked response. A stream without this end is not complete. */
  virtual asio::awaitable<void> EndStream() = 0;

  /** @return True once a head or a whole response has been sent. */
  virtual bool Answered() const = 0;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange&)>;

/** Bounds on what a peer may send and how slowly. */
struct HttpLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds read_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(120);
};

/** Accepts connections and hands each request to a handler. */
class HttpServer {
 public:
  /**
   * Binds and listens at once.
   * @throws boost::system::system_error If the address cannot be bound.
   */
  HttpServer(WorkerPool& pool,
             const SocketAddress& address,
             HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();

  /** Starts to accept connections. */
  void Start();

  /** Closes each connection after its next answer from now on. */
  void BeginDrain();

  /** Accepts no further connections; those that are open go on. */
  void Close();

  /** @return Requests that have begun to arrive and are not yet answered. */
  std::size_t OpenExchanges() const;

  /** @return The address bound, with the port chosen if 0 was asked for. */
  SocketAddress Address() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_HTTP_SERVER_H_
