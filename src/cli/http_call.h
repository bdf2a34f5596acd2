/** @file http_call.h HTTP calls of the command-line tool. */

#ifndef SRC_CLI_HTTP_CALL_H_
#define SRC_CLI_HTTP_CALL_H_

#include <chrono>

#include "kernel/blocking_call.h"

namespace buckthornpath {

inline constexpr std::chrono::milliseconds kOperatorTimeout{3000};

}  // namespace buckthornpath

#endif  // SRC_CLI_HTTP_CALL_H_
