/** @file document_directory.h Reads and checks documents in files. */

#ifndef SRC_CLI_DOCUMENT_DIRECTORY_H_
#define SRC_CLI_DOCUMENT_DIRECTORY_H_

#include <filesystem>
#include <string>
#include <vector>

#include "cli/command.h"
#include "fleet/published_type.h"

namespace buckthornpath {

/** A file that holds one document to be published. */
struct DocumentFile {
  std::string name;  ///< As in the index, for example "profiles/counter".
  std::filesystem::path path;
  std::string text;
};

/**
 * Reads all documents below a directory. A document's name is the path of its
 * file relative to the directory, without the extension `.json`. The file
 * `index` is skipped.
 * @throws std::runtime_error If the directory or a file cannot be read.
 */
std::vector<DocumentFile> ReadDocumentDirectory(
    const std::filesystem::path& directory);

/**
 * Reads one document. Its name is made from the names of the file and of the
 * directory that holds it.
 * @throws std::runtime_error If the file cannot be read.
 */
DocumentFile ReadDocumentFile(const std::filesystem::path& path);

/**
 * Checks each document by itself and prints its faults.
 * @param[out] configuration Receives the valid documents.
 */
CommandResult CheckDocuments(const std::vector<DocumentFile>& documents,
                             Configuration& configuration);

/**
 * Checks that the service of each profile is in the configuration, and prints
 * each one that is missing.
 */
CommandResult CheckReferences(const std::vector<DocumentFile>& documents,
                              const Configuration& configuration);

}  // namespace buckthornpath

#endif  // SRC_CLI_DOCUMENT_DIRECTORY_H_
