/** @file document_directory.cc Reads and checks documents in files. */

#include "cli/document_directory.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "cli/fault_report.h"

namespace buckthornpath {

namespace {

namespace fs = std::filesystem;

constexpr const char* kIndexFileName = "index";

std::string ReadText(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    throw std::runtime_error(path.string() + ": cannot be read");
  return text.str();
}

/** @return The path without the extension `.json`, if it has that. */
std::string DocumentNameOf(const fs::path& path) {
  return path.extension() == ".json"
             ? fs::path(path).replace_extension().generic_string()
             : path.generic_string();
}

}  // namespace

std::vector<DocumentFile> ReadDocumentDirectory(const fs::path& directory) {
  std::vector<DocumentFile> documents;
  for (const auto& entry : fs::recursive_directory_iterator(directory)) {
    if (!entry.is_regular_file())
      continue;
    const std::string name =
        DocumentNameOf(fs::relative(entry.path(), directory));
    if (name == kIndexFileName)
      continue;
    documents.push_back({name, entry.path(), ReadText(entry.path())});
  }
  std::sort(documents.begin(), documents.end(),
            [](const DocumentFile& left, const DocumentFile& right) {
              return left.name < right.name;
            });
  return documents;
}

DocumentFile ReadDocumentFile(const fs::path& path) {
  const fs::path absolute_path = fs::absolute(path);
  const fs::path name =
      absolute_path.parent_path().filename() / absolute_path.filename();
  return {DocumentNameOf(name), path, ReadText(path)};
}

CommandResult CheckDocuments(const std::vector<DocumentFile>& documents,
                             Configuration& configuration) {
  CommandResult result = CommandResult::kSuccess;
  for (const DocumentFile& document : documents) {
    std::vector<DocumentFault> faults;
    try {
      AddDocument(configuration,
                  {document.name, Revision{1}, DocumentDigest(document.text)},
                  document.text);
    } catch (const InvalidDocument& refused) {
      faults = refused.Faults();
    }
    if (ReportFaults(document.path.string(), faults) != CommandResult::kSuccess)
      result = CommandResult::kFailure;
  }
  return result;
}

CommandResult CheckReferences(const std::vector<DocumentFile>& documents,
                              const Configuration& configuration) {
  CommandResult result = CommandResult::kSuccess;
  for (const DocumentFile& document : documents) {
    const std::string name = document.name.substr(document.name.find('/') + 1);
    const auto profile = configuration.profiles.find(ProfileName(name));
    const bool is_profile = document.name == "profiles/" + name &&
                            profile != configuration.profiles.end();
    if (!is_profile)
      continue;
    const std::string& service = profile->second.service;
    if (configuration.services.count(ServiceName(service)) > 0)
      continue;
    result = ReportFaults(
        document.path.string(),
        {{"/service", "no service '" + service + "' is published"}});
  }
  return result;
}

}  // namespace buckthornpath
