/** @file command.h Commands of the tool; each registers itself. */

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
  kDone = 0,
  kRefused = 1,  ///< A document is faulty, a call refused or not whole.
  kFault = 2,    ///< The command could not be carried out.
};

/** What the caller of the tool wrote. */
class CommandOptions {
 public:
  explicit CommandOptions(std::map<std::string, docopt::value> values)
      : values(std::move(values)) {}

  bool Flag(const std::string& name) const;

  /** @return The text of an option, or nothing. */
  std::optional<std::string> Text(const std::string& name) const;

  /** @return The texts of an option that may be repeated. */
  std::vector<std::string> Texts(const std::string& name) const;

  /** @throws std::invalid_argument If it is no number. */
  std::uint64_t Number(const std::string& name) const;

 private:
  std::map<std::string, docopt::value> values;
};

/** One command; registers itself by static construction. */
class Command {
 public:
  using Runner = CommandResult (*)(const CommandOptions&);

  /**
   * @param words Words that name the command, such as `check settings`.
   * @param arguments Its arguments in docopt's notation, or empty.
   * @param help One line.
   */
  Command(std::string words,
          std::string arguments,
          std::string help,
          Runner runner);

  /** Runs the command that the arguments name. */
  static int Main(const std::vector<std::string>& arguments);

 private:
  friend std::string UsageText();

  bool IsNamedBy(const std::map<std::string, docopt::value>& values) const;

  std::string words;
  std::string arguments;
  std::string help;
  Runner runner;
};

/** @return The usage page of all commands, in docopt's notation. */
std::string UsageText();

}  // namespace buckthornpath

#endif  // SRC_CLI_COMMAND_H_
