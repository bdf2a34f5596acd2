/** @file http_client.h HTTP/1.1 client. */

#ifndef SRC_KERNEL_HTTP_CLIENT_H_
#define SRC_KERNEL_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kernel/http_type.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** The request failed before any part of it was sent. */
class HttpRequestNotSent : public HttpError {
 public:
  using HttpError::HttpError;
};

/** Called after connecting, directly before the request is sent. */
using SendGuard = std::function<bool()>;

/** Limits of one exchange. */
struct HttpTimeouts {
  using Milliseconds = std::chrono::milliseconds;

  /** The same limit for each step, and none for all of them together. */
  // NOLINTNEXTLINE(google-explicit-constructor)
  HttpTimeouts(Milliseconds step) : connect(step), step(step) {}
  HttpTimeouts(Milliseconds connect, Milliseconds total)
      : connect(connect), step(total), total(total) {}

  Milliseconds connect;  ///< To open the connection.
  Milliseconds step;     ///< To write, and for every read.
  /** From the begin of the exchange to its end; none if empty. */
  std::optional<Milliseconds> total;
};

/** A response whose body is read incrementally. */
class HttpResponseStream {
 public:
  /**
   * Connects, sends a request and reads the header of the final response;
   * interim ones are skipped.
   * @param timeouts Limits of the three steps, and of the reads that follow.
   * @param may_send If set, the request is sent only if it returns true.
   * @throws HttpRequestNotSent If connecting fails or may_send returns false.
   * @throws HttpError If a later step fails, or the response is invalid.
   */
  static asio::awaitable<std::unique_ptr<HttpResponseStream>> Open(
      SocketAddress address,
      HttpRequest request,
      HttpTimeouts timeouts,
      SendGuard may_send = nullptr);

  ~HttpResponseStream();

  /** @return Status and header fields; the body is empty. */
  const HttpResponse& head() const;

  /**
   * Reads the next part of the body.
   * @return Nothing after the end of a complete body.
   * @throws HttpError If the connection closes early or the timeout expires.
   */
  asio::awaitable<std::optional<std::string>> ReadSome(
      std::chrono::milliseconds timeout);

 private:
  struct State;
  explicit HttpResponseStream(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/**
 * Sends a request on a new connection and reads the complete response.
 * @throws HttpRequestNotSent If no part of the request was sent.
 * @throws HttpError If a later step fails or times out, or the body is larger
 * than 64 MiB.
 */
asio::awaitable<HttpResponse> HttpFetch(SocketAddress address,
                                        HttpRequest request,
                                        HttpTimeouts timeouts,
                                        SendGuard may_send = nullptr);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_HTTP_CLIENT_H_
