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

/** Nothing of the request has been sent. */
class HttpNotSent : public HttpError {
 public:
  using HttpError::HttpError;
};

/** Asked once connected, last thing before a request is sent. */
using MaySend = std::function<bool()>;

/** A response whose body is read piece by piece. */
class HttpResponseStream {
 public:
  /**
   * Connects, sends a request and reads the head of the response.
   * @param timeout Longest time for each of the three steps.
   * @param may_send If given, the request is sent only if it returns true.
   * @throws HttpNotSent If nothing of the request has been sent.
   * @throws HttpError If a later step fails.
   */
  static asio::awaitable<std::unique_ptr<HttpResponseStream>> Open(
      SocketAddress address,
      HttpRequest request,
      std::chrono::milliseconds timeout,
      MaySend may_send = nullptr);

  ~HttpResponseStream();

  /** @return Status and headers. */
  const HttpResponse& head() const;

  /**
   * Reads the next piece of the body.
   * @return Nothing once the body has ended as it should.
   * @throws HttpError If the connection ends early or the time runs out.
   */
  asio::awaitable<std::optional<std::string>> ReadSome(
      std::chrono::milliseconds timeout);

 private:
  struct State;
  explicit HttpResponseStream(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/**
 * Sends a request on a connection of its own and reads the whole response.
 * @throws HttpError If it fails or takes longer than the timeout for a step.
 */
asio::awaitable<HttpResponse> HttpFetch(SocketAddress address,
                                        HttpRequest request,
                                        std::chrono::milliseconds timeout,
                                        MaySend may_send = nullptr);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_HTTP_CLIENT_H_
