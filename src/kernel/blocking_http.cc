/** @file blocking_http.cc Blocking HTTP calls without a worker pool. */

#include "kernel/blocking_http.h"

#include <boost/asio/co_spawn.hpp>

#include "kernel/http_client.h"

namespace buckthornpath {

void RunBlocking(asio::awaitable<void> task) {
  asio::io_context io;
  std::exception_ptr fault;
  asio::co_spawn(io, std::move(task),
                 [&](const std::exception_ptr& thrown) { fault = thrown; });
  io.run();
  if (fault)
    std::rethrow_exception(fault);
}

HttpResponse FetchBlocking(const SocketAddress& address,
                           HttpRequest request,
                           std::chrono::milliseconds timeout) {
  HttpResponse response;
  RunBlocking([&]() -> asio::awaitable<void> {
    response = co_await HttpFetch(address, std::move(request), timeout);
  }());
  return response;
}

}  // namespace buckthornpath
