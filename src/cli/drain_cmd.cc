/** @file drain_cmd.cc Starts the graceful shutdown of a process. */

#include <iostream>

#include "cli/command.h"
#include "cli/http_call.h"

namespace buckthornpath {

namespace {

CommandResult RequestDrain(const CommandOptions& options) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/drain";
  const HttpResponse response =
      FetchBlocking(ParseSocketAddress(options.Text("<address>").value_or("")),
                    request, kRequestTimeout);
  if (response.status != 202)
    throw HttpError("POST /drain: expected status 202, got " +
                    std::to_string(response.status));
  std::cout << "draining\n";
  return CommandResult::kSuccess;
}

const Command kCommand(
    "drain",
    "<address>",
    "Makes a process finish its calls and exit; takes its operator "
    "address.",
    RequestDrain);

}  // namespace

}  // namespace buckthornpath
