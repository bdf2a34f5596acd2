/** @file fault_report.cc Prints the faults of a document. */

#include "cli/fault_report.h"

#include <iostream>

namespace buckthornpath {

CommandResult ReportFaults(const std::string& file,
                           const std::vector<DocumentFault>& faults) {
  for (const DocumentFault& fault : faults) {
    std::cerr << file << ": " << (fault.path.empty() ? "/" : fault.path) << ": "
              << fault.reason << "\n";
  }
  if (!faults.empty())
    return CommandResult::kFailure;
  std::cout << file << ": accepted\n";
  return CommandResult::kSuccess;
}

}  // namespace buckthornpath
