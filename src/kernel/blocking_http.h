/** @file blocking_http.h Blocking HTTP calls without a worker pool. */

#ifndef SRC_KERNEL_BLOCKING_HTTP_H_
#define SRC_KERNEL_BLOCKING_HTTP_H_

#include <chrono>

#include "kernel/http_type.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** Runs a task to completion on the calling thread; rethrows its exception. */
void RunBlocking(asio::awaitable<void> task);

/**
 * Sends a request and blocks until the complete response has arrived.
 * @param timeout Limit for each step: connect, write, and every read.
 * @throws HttpError As HttpFetch() does.
 */
HttpResponse FetchBlocking(const SocketAddress& address,
                           HttpRequest request,
                           std::chrono::milliseconds timeout);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_BLOCKING_HTTP_H_
