/** @file document_directory.h Documents to be published, as files. */

#ifndef SRC_CLI_DOCUMENT_DIRECTORY_H_
#define SRC_CLI_DOCUMENT_DIRECTORY_H_

#include <filesystem>
#include <string>
#include <vector>

#include "cli/command.h"
#include "fleet/published_type.h"

namespace buckthornpath {

/** One document to be published. */
struct DocumentFile {
  std::string name;  ///< As in the index, such as "profiles/counter".
  std::filesystem::path path;
  std::string text;
};

/**
 * Reads a directory of documents; the path of a file below it, without an
 * extension `.json`, is the document's name. The index itself is left out.
 * @throws std::runtime_error If the directory or a file cannot be read.
 */
std::vector<DocumentFile> ReadDocumentDirectory(
    const std::filesystem::path& directory);

/**
 * Reads one document; its directory and name give the name in the index.
 * @throws std::runtime_error If it cannot be read.
 */
DocumentFile ReadDocumentFile(const std::filesystem::path& path);

/**
 * Checks each document and prints its faults.
 * @param[out] configuration Receives the documents without faults.
 */
CommandResult CheckDocuments(const std::vector<DocumentFile>& documents,
                             Configuration& configuration);

/** Checks that what documents name is published, and prints the faults. */
CommandResult CheckReferences(const std::vector<DocumentFile>& documents,
                              const Configuration& configuration);

}  // namespace buckthornpath

#endif  // SRC_CLI_DOCUMENT_DIRECTORY_H_
