/** @file check_settings_cmd.cc Checks a settings file. */

#include "cli/command.h"
#include "cli/fault_report.h"
#include "kernel/settings.h"

namespace buckthornpath {

namespace {

CommandResult CheckSettings(const CommandOptions& options) {
  const std::string file = options.Text("<file>").value_or("");
  std::vector<DocumentFault> faults;
  try {
    const Settings settings = LoadSettings(file);
    const auto role = options.Text("--role");
    if (role)
      faults = MissingSettings(settings, *role);
  } catch (const InvalidDocument& refused) {
    faults = refused.Faults();
  }
  return ReportFaults(file, faults);
}

const Command kCommand(
    "check settings",
    "<file> [--role=<name>]",
    "Checks a settings file; with --role, also for that role.",
    CheckSettings);

}  // namespace

}  // namespace buckthornpath
