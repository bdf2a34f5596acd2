/** @file ticket_cmd.cc Requests a ticket and prints it. */

#include <iostream>

#include "cli/caller_options.h"

namespace buckthornpath {

namespace {

CommandResult PrintTicket(const CommandOptions& options) {
  std::cout << RequestTicket(options) << "\n";
  return CommandResult::kSuccess;
}

const Command kCommand(
    "ticket",
    "--router=<address>... --profile=<name> "
    "[--chat=<name>] [--location=<hint>] [--credential-file=<file>]",
    "Requests a ticket, under which a call runs at most once, and prints it.",
    PrintTicket);

}  // namespace

}  // namespace buckthornpath
