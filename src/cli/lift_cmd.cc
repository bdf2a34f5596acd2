/** @file lift_cmd.cc Ends a quarantine at all gateways. */

#include <iostream>

#include "cli/command.h"
#include "cli/http_call.h"
#include "kernel/url_text.h"

namespace buckthornpath {

namespace {

CommandResult LiftQuarantine(const CommandOptions& options) {
  const std::string segment = options.Text("<segment>").value_or("");
  HttpRequest request;
  request.method = "POST";
  request.target = MakeTarget("/quarantine/lift", {{"segment", segment}});
  const HttpResponse response =
      FetchBlocking(ParseSocketAddress(options.Text("<address>").value_or("")),
                    request, kRequestTimeout);
  if (response.status == 404) {
    std::cerr << "no quarantine of segment \"" << segment << "\"\n";
    return CommandResult::kFailure;
  }
  if (response.status != 202)
    throw HttpError("POST /quarantine/lift: expected status 202, got " +
                    std::to_string(response.status));
  std::cout << "lifted\n";
  return CommandResult::kSuccess;
}

const Command kCommand(
    "lift",
    "<address> <segment>",
    "Ends the quarantine of a prompt segment or request at all gateways; takes "
    "the operator address of one, and the segment as `show` prints it.",
    LiftQuarantine);

}  // namespace

}  // namespace buckthornpath
