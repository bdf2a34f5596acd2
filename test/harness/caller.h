/** @file caller.h Callers of a router, for tests. */

#ifndef TEST_HARNESS_CALLER_H_
#define TEST_HARNESS_CALLER_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "kernel/http_type.h"
#include "kernel/socket_address.h"

namespace buckthornpath {

constexpr std::chrono::milliseconds kCallerTimeout{20000};

/** Sends a request and waits for the whole response. @throws HttpError */
HttpResponse CallHttp(const SocketAddress& address,
                      const HttpRequest& request,
                      std::chrono::milliseconds timeout = kCallerTimeout);

/** Sends a request of its parts; the response is not looked at. */
void SendHttp(const SocketAddress& address,
              const std::string& method,
              const std::string& target,
              const std::string& body);

/** What a caller made of a streamed answer. */
struct StreamedAnswer {
  unsigned status = 0;
  std::string request_id;
  std::vector<std::string> chunks;  ///< Data of the events with a number.
  bool complete = false;            ///< The end event came and agrees.
  std::string outcome;  ///< Of the end event or the problem document.
  std::string type;     ///< Of the problem document.
  std::string fault;    ///< Why the connection was lost, or empty.
};

/**
 * Sends a request and reads a streamed answer or a problem.
 * @param on_chunk Called at each chunk; returns false to hang up.
 */
StreamedAnswer CallStream(
    const SocketAddress& address,
    const HttpRequest& request,
    const std::function<bool(std::size_t)>& on_chunk = nullptr,
    std::chrono::milliseconds timeout = kCallerTimeout);

/** @return True once a condition holds; false if it does not in time. */
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout = kCallerTimeout);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_CALLER_H_
