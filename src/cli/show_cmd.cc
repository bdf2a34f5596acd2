/** @file show_cmd.cc Prints the status of a process. */

#include <algorithm>
#include <cctype>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/http_call.h"

namespace buckthornpath {

namespace {

/** @return The text, as a JSON string if it has control characters: another
 * writer may have chosen it, and a terminal would obey them. */
std::string Printable(const std::string& text) {
  const bool has_control =
      std::any_of(text.begin(), text.end(),
                  [](unsigned char c) { return std::iscntrl(c) != 0; });
  constexpr bool kEscapesNonAscii = true;
  return has_control ? nlohmann::json(text).dump(-1, ' ', kEscapesNonAscii)
                     : text;
}

/** Prints members or elements one per line; nested ones are indented. */
void PrintTree(const nlohmann::ordered_json& value, std::size_t depth) {
  for (const auto& [name, member] : value.items()) {
    std::cout << std::string(2 * depth, ' ') << Printable(name) << ":";
    if (member.is_structured() && !member.empty()) {
      std::cout << "\n";
      PrintTree(member, depth + 1);
    } else {
      std::cout << " "
                << (member.is_string() ? Printable(member.get<std::string>())
                                       : member.dump())
                << "\n";
    }
  }
}

CommandResult Show(const CommandOptions& options) {
  HttpRequest request;
  request.target = "/status";
  const HttpResponse response =
      FetchBlocking(ParseSocketAddress(options.Text("<address>").value_or("")),
                    request, kRequestTimeout);
  if (response.status != 200)
    throw HttpError("GET /status: expected status 200, got " +
                    std::to_string(response.status));
  const auto status = nlohmann::ordered_json::parse(response.body);
  if (options.HasFlag("--json")) {
    std::cout << status.dump(2) << "\n";
  } else {
    PrintTree(status, 0);
  }
  return CommandResult::kSuccess;
}

const Command kCommand(
    "show",
    "<address> [--json]",
    "Prints the status of a process; takes its operator address.",
    Show);

}  // namespace

}  // namespace buckthornpath
