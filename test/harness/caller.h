/** @file caller.h HTTP clients of a router, for tests. */

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

/** Sends a request built from its parts and ignores the response. */
void SendHttp(const SocketAddress& address,
              const std::string& method,
              const std::string& target,
              const std::string& body);

/** A streamed response as its caller received it. */
struct StreamedAnswer {
  unsigned status = 0;
  std::string request_id;
  std::vector<std::string> chunks;  ///< Data of the events that have an id.
  bool complete = false;            ///< The end event came and says so.
  std::string outcome;              ///< From the end event or the problem.
  std::string type;                 ///< From the problem document.
  std::string fault;                ///< Why the connection was lost, or empty.
};

/**
 * Sends a request and reads a streamed response or a problem document.
 * @param on_chunk Called with the number of chunks so far, after each chunk;
 * returns false to close the connection.
 */
StreamedAnswer CallStream(
    const SocketAddress& address,
    const HttpRequest& request,
    const std::function<bool(std::size_t)>& on_chunk = nullptr,
    std::chrono::milliseconds timeout = kCallerTimeout);

/** @return True once a condition holds; false after the timeout. */
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout = kCallerTimeout);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_CALLER_H_
