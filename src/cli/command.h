/** @file command.h Commands of the tool, which register themselves. */

#ifndef SRC_CLI_COMMAND_H_
#define SRC_CLI_COMMAND_H_

#include <docopt/docopt.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornpath {

/** Exit codes of the tool. */
enum class CommandResult {
  kSuccess = 0,
  kFailure = 1,  ///< An invalid document, or a failed call.
  kError = 2,    ///< The command could not be run.
};

/** Parsed command-line arguments of the tool. */
class CommandOptions {
 public:
  explicit CommandOptions(std::map<std::string, docopt::value> values)
      : values(std::move(values)) {}

  /** @return True if the flag was given. */
  bool HasFlag(const std::string& name) const;

  /** @return The value of an option or argument; empty if not given. */
  std::optional<std::string> Text(const std::string& name) const;

  /** @return All values of a repeatable option or argument. */
  std::vector<std::string> TextList(const std::string& name) const;

  /** @throws std::invalid_argument If the value is no unsigned integer. */
  std::uint64_t Number(const std::string& name) const;

 private:
  std::map<std::string, docopt::value> values;
};

/** A command of the tool; a static object registers itself. */
class Command {
 public:
  using Handler = CommandResult (*)(const CommandOptions&);

  /**
   * @param name Name of the command, for example `check settings`.
   * @param arguments Arguments in docopt's notation, or empty.
   * @param help Description of one line, for the usage page.
   */
  Command(std::string name,
          std::string arguments,
          std::string help,
          Handler handler);

  /**
   * Parses the arguments and runs the command that they name.
   * @return The exit code; see CommandResult.
   */
  static int Main(const std::vector<std::string>& arguments);

 private:
  friend std::string UsageText();

  bool IsSelectedBy(const std::map<std::string, docopt::value>& values) const;

  std::string name;
  std::string arguments;
  std::string help;
  Handler handler;
};

/** @return The usage page of all commands, in docopt's notation. */
std::string UsageText();

}  // namespace buckthornpath

#endif  // SRC_CLI_COMMAND_H_
