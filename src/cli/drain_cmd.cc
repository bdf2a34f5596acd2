/** @file drain_cmd.cc Asks a process to finish its calls and end. */

#include <iostream>

#include "cli/command.h"
#include "cli/http_call.h"

namespace buckthornpath {

namespace {

CommandResult AskForDrain(const CommandOptions& options) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/drain";
  const HttpResponse response =
      CallAddress(ParseSocketAddress(options.Text("<address>").value_or("")),
                  request, kOperatorTimeout);
  if (response.status != 202)
    throw HttpError("status " + std::to_string(response.status));
  std::cout << "draining\n";
  return CommandResult::kDone;
}

const Command kCommand("drain",
                       "<address>",
                       "Asks a process to finish its calls and end.",
                       AskForDrain);

}  // namespace

}  // namespace buckthornpath
