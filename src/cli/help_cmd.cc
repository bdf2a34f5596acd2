/** @file help_cmd.cc Prints reference pages. */

#include <iostream>

#include "cli/command.h"
#include "cli/reference_page.h"
#include "fleet/published_type.h"
#include "kernel/settings.h"
#include "table/log_table.h"

namespace buckthornpath {

namespace {

CommandResult HelpSettings(const CommandOptions& /*options*/) {
  std::cout << "# Settings\n\nOne JSON object with comments, read once at the "
               "start. This page is printed by\n`buckthornpath help "
               "settings`.\n\n";
  WriteFieldTable(std::cout, "Settings of a daemon", RulesOf(SettingRows()));
  return CommandResult::kSuccess;
}

CommandResult HelpProfiles(const CommandOptions& /*options*/) {
  std::cout << "# Published documents\n\nJSON with comments, one object a "
               "document. This page is printed by\n`buckthornpath help "
               "profiles`.\n\n";
  WriteFieldTable(std::cout, "`profiles/<name>`", RulesOf(ProfileRows()));
  WriteFieldTable(std::cout, "`organisations/<name>`",
                  RulesOf(OrganisationRows()));
  WriteFieldTable(std::cout, "`services/<name>`", RulesOf(ServiceRows()));
  return CommandResult::kSuccess;
}

CommandResult HelpLog(const CommandOptions& /*options*/) {
  std::cout << "# Log events\n\nOne JSON object a line on standard output; "
               "every line has `"
            << kCommonLogFields
            << "`.\nThis page is printed by `buckthornpath help log`.\n\n"
               "| event | means | fields |\n| --- | --- | --- |\n";
  for (const LogEventRow& row : kLogEvents) {
    std::cout << "| `" << row.name << "` | " << row.meaning << " | "
              << row.fields << " |\n";
  }
  return CommandResult::kSuccess;
}

const Command kSettings("help settings",
                        "",
                        "Prints the reference page of the settings.",
                        HelpSettings);
const Command kProfiles("help profiles",
                        "",
                        "Prints the reference page of published documents.",
                        HelpProfiles);
const Command kLog("help log",
                   "",
                   "Prints the reference page of the log's events.",
                   HelpLog);

}  // namespace

}  // namespace buckthornpath
