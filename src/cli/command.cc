/** @file command.cc Commands of the tool, which register themselves. */

#include "cli/command.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace buckthornpath {

namespace {

constexpr const char* kOptionsHelp = R"(
Options:
  --json                    Prints JSON as received.
  --role=<name>             Role that the settings are meant for.
  --revision=<n>            Revision of the index.
  --previous=<file>         Previous index; unchanged documents keep their
                            revisions.
  --router=<address>        IP address and port on which a router serves
                            callers; may be repeated. If one router fails, the
                            next one is tried.
  --profile=<name>          Profile of the call.
  --chat=<name>             Conversation that the call belongs to.
  --location=<hint>         Location hint from an earlier response of the chat.
  --ticket=<ticket>         Ticket of the call; requested from a router if not
                            given.
  --service-path=<path>     Calls a plain service, for example /ledger/issue.
  --body=<text>             Body of the call of a plain service.
  --max-tokens=<n>          Maximum tokens of the response [default: 256].
  --credential-file=<file>  File with the organisation's credential. Without
                            it, the environment variable
                            BUCKTHORNPATH_CREDENTIAL is read.
  -h --help                 Prints this page.

Exit codes: 0 success; 1 a document is invalid, a call was refused, its
response is incomplete, or no log line matches; 2 the command could not be run.
)";

/** @return All registered commands, sorted by name. */
std::vector<const Command*>& Commands() {
  static std::vector<const Command*> commands;
  return commands;
}

}  // namespace

bool CommandOptions::HasFlag(const std::string& name) const {
  const auto found = this->values.find(name);
  return found != this->values.end() && found->second.isBool() &&
         found->second.asBool();
}

std::optional<std::string> CommandOptions::Text(const std::string& name) const {
  const auto found = this->values.find(name);
  if (found == this->values.end() || !found->second.isString())
    return std::nullopt;
  return found->second.asString();
}

std::vector<std::string> CommandOptions::TextList(
    const std::string& name) const {
  const auto found = this->values.find(name);
  if (found == this->values.end() || !found->second.isStringList())
    return {};
  return found->second.asStringList();
}

std::uint64_t CommandOptions::Number(const std::string& name) const {
  const std::string text = this->Text(name).value_or("");
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc() || end != last)
    throw std::invalid_argument(name + " must be a non-negative integer");
  return number;
}

Command::Command(std::string name,
                 std::string arguments,
                 std::string help,
                 Handler handler)
    : name(std::move(name)),
      arguments(std::move(arguments)),
      help(std::move(help)),
      handler(handler) {
  auto& commands = Commands();
  const auto position = std::find_if(
      commands.begin(), commands.end(),
      [this](const Command* other) { return this->name < other->name; });
  commands.insert(position, this);
}

bool Command::IsSelectedBy(
    const std::map<std::string, docopt::value>& values) const {
  std::istringstream stream(this->name);
  for (std::string word; stream >> word;) {
    const auto found = values.find(word);
    const bool given = found != values.end() && found->second.isBool() &&
                       found->second.asBool();
    if (!given)
      return false;
  }
  return true;
}

int Command::Main(const std::vector<std::string>& arguments) {
  std::map<std::string, docopt::value> values;
  try {
    values = docopt::docopt_parse(UsageText(), arguments, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << UsageText();
    return static_cast<int>(CommandResult::kSuccess);
  } catch (const std::runtime_error& error) {
    const std::string reason = error.what();
    std::cerr << (reason.empty() ? "no command matches the arguments" : reason)
              << "; see buckthornpath --help\n";
    return static_cast<int>(CommandResult::kError);
  }
  const auto& commands = Commands();
  const auto selected = std::find_if(
      commands.begin(), commands.end(),
      [&](const Command* command) { return command->IsSelectedBy(values); });
  if (selected == commands.end())
    return static_cast<int>(CommandResult::kError);
  try {
    return static_cast<int>((*selected)->handler(CommandOptions(values)));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(CommandResult::kError);
  }
}

std::string UsageText() {
  std::ostringstream text;
  text << "buckthornpath: checks documents, shows and drains processes, sends "
          "calls.\n\nUsage:\n";
  for (const Command* command : Commands()) {
    text << "  buckthornpath " << command->name
         << (command->arguments.empty() ? "" : " ") << command->arguments
         << "\n";
  }
  text << "  buckthornpath (-h | --help)\n\nCommands:\n";
  for (const Command* command : Commands())
    text << "  " << command->name << ": " << command->help << "\n";
  return text.str() + kOptionsHelp;
}

}  // namespace buckthornpath
