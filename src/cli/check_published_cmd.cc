/** @file check_published_cmd.cc Checks documents before they are published. */

#include "cli/command.h"
#include "cli/document_directory.h"

namespace buckthornpath {

namespace {

CommandResult CheckPublished(const CommandOptions& options) {
  const std::filesystem::path path = options.Text("<path>").value_or("");
  Configuration configuration;
  if (!std::filesystem::is_directory(path))
    return CheckDocuments({ReadDocumentFile(path)}, configuration);
  const auto documents = ReadDocumentDirectory(path);
  const CommandResult result = CheckDocuments(documents, configuration);
  return result == CommandResult::kSuccess
             ? CheckReferences(documents, configuration)
             : result;
}

const Command kCommand("check published",
                       "<path>",
                       "Checks a directory of documents, or one document.",
                       CheckPublished);

}  // namespace

}  // namespace buckthornpath
