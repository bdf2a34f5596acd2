/** @file index_cmd.cc Prints the index of a directory of documents. */

#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/command.h"
#include "cli/document_directory.h"
#include "cli/fault_report.h"

namespace buckthornpath {

namespace {

/** @throws InvalidDocument If the file cannot be read or is no valid index. */
Index ReadIndex(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    throw InvalidDocument("", "cannot be read");
  return ParseIndex(text.str());
}

/**
 * @return The revision of a document in the new index: the previous one if its
 *     content is unchanged, else that of the index.
 */
Revision NewRevision(const DocumentFile& document,
                     const std::string& digest,
                     const Index& previous,
                     Revision revision) {
  for (const IndexEntry& entry : previous.entries) {
    if (entry.name == document.name && entry.digest == digest)
      return entry.revision;
  }
  return revision;
}

void PrintIndex(const std::vector<DocumentFile>& documents,
                const Index& previous,
                Revision revision) {
  nlohmann::ordered_json entries = nlohmann::ordered_json::array();
  for (const DocumentFile& document : documents) {
    const std::string digest = DocumentDigest(document.text);
    const Revision document_revision =
        NewRevision(document, digest, previous, revision);
    entries.push_back(
        {{"name", document.name},
         {"revision", static_cast<std::uint64_t>(document_revision)},
         {"digest", digest}});
  }
  const nlohmann::ordered_json index = {
      {"revision", static_cast<std::uint64_t>(revision)},
      {"documents", entries}};
  std::cout << index.dump(2) << "\n";
}

CommandResult MakeIndex(const CommandOptions& options) {
  const Revision revision{options.Number("--revision")};
  const auto documents =
      ReadDocumentDirectory(options.Text("<directory>").value_or(""));
  Index previous;
  const auto previous_file = options.Text("--previous");
  try {
    if (previous_file)
      previous = ReadIndex(*previous_file);
  } catch (const InvalidDocument& refused) {
    return ReportFaults(*previous_file, refused.Faults());
  }
  if (Revision{previous.version.revision} >= revision) {
    return ReportFaults(
        "--revision",
        {{"", "must be greater than that of the previous index"}});
  }
  PrintIndex(documents, previous, revision);
  return CommandResult::kSuccess;
}

const Command kCommand("index",
                       "<directory> --revision=<n> [--previous=<file>]",
                       "Prints the index of a directory of documents.",
                       MakeIndex);

}  // namespace

}  // namespace buckthornpath
