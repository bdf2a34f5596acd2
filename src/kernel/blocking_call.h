/** @file blocking_call.h HTTP calls for programs without a worker pool. */

#ifndef SRC_KERNEL_BLOCKING_CALL_H_
#define SRC_KERNEL_BLOCKING_CALL_H_

#include <chrono>

#include "kernel/http_type.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** Runs a task to its end on this thread; rethrows its exception. */
void RunTask(asio::awaitable<void> task);

/** Sends a request and waits for the whole response. @throws HttpError */
HttpResponse CallAddress(const SocketAddress& address,
                         HttpRequest request,
                         std::chrono::milliseconds timeout);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_BLOCKING_CALL_H_
