/** @file http_call.h HTTP requests of the command-line tool. */

#ifndef SRC_CLI_HTTP_CALL_H_
#define SRC_CLI_HTTP_CALL_H_

#include <chrono>

#include "kernel/blocking_http.h"

namespace buckthornpath {

/** Time-out of a request to a process, except for calls of `send`. */
inline constexpr std::chrono::milliseconds kRequestTimeout{3000};

}  // namespace buckthornpath

#endif  // SRC_CLI_HTTP_CALL_H_
