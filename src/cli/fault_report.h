/** @file fault_report.h Prints the faults of a document. */

#ifndef SRC_CLI_FAULT_REPORT_H_
#define SRC_CLI_FAULT_REPORT_H_

#include <string>
#include <vector>

#include "cli/command.h"
#include "kernel/field_table.h"

namespace buckthornpath {

/**
 * Prints each fault as `<file>: <JSON pointer>: <reason>` to standard error.
 * Without faults, prints `<file>: accepted` to standard output.
 */
CommandResult ReportFaults(const std::string& file,
                           const std::vector<DocumentFault>& faults);

}  // namespace buckthornpath

#endif  // SRC_CLI_FAULT_REPORT_H_
