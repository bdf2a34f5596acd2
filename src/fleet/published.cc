/** @file published.cc Parsing of published configuration documents. */

#include <xxhash.h>

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "fleet/published_type.h"
#include "table/published_table.h"

namespace buckthornpath {

namespace {

/** Parses a document; its name has to be the one in the index. */
template <class Document>
Document ParseNamedDocument(const nlohmann::json& object,
                            std::span<const FieldRow<Document>> rows,
                            const std::string& name) {
  std::vector<DocumentFault> faults;
  Document document = ReadDocument(object, rows, "", faults);
  if (faults.empty() && document.name != name) {
    faults.push_back(
        {"/name", "must be '" + name + "', the name in the index"});
  }
  if (!faults.empty())
    throw InvalidDocument(std::move(faults));
  return document;
}

/** A larger document would exceed the control-traffic limit of a node. */
constexpr std::size_t kMaxDocumentBytes = std::size_t{32} * 1024;

void CheckSize(const std::string& text) {
  if (text.size() > kMaxDocumentBytes) {
    throw InvalidDocument(
        "", "has " + std::to_string(text.size()) + " bytes; at most " +
                std::to_string(kMaxDocumentBytes) +
                " are allowed, split it into several documents");
  }
}

/** Sorts the entries by name. @throws InvalidDocument If a name is repeated. */
void SortEntries(Index& index) {
  std::sort(
      index.entries.begin(), index.entries.end(),
      [](const IndexEntry& a, const IndexEntry& b) { return a.name < b.name; });
  const auto duplicate =
      std::adjacent_find(index.entries.begin(), index.entries.end(),
                         [](const IndexEntry& a, const IndexEntry& b) {
                           return a.name == b.name;
                         });
  if (duplicate != index.entries.end())
    throw InvalidDocument("/documents",
                          "'" + duplicate->name + "' is listed more than once");
}

}  // namespace

Rank Profile::RankValue() const {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    if (kRankNames.at(i) == this->rank)
      return static_cast<Rank>(i);
  }
  return Rank::kStandard;
}

std::span<const FieldRow<Profile>> ProfileRows() {
  return kProfileRows;
}

std::span<const FieldRow<Organisation>> OrganisationRows() {
  return kOrganisationRows;
}

std::vector<std::string> PublishedModel::AdapterNames() const {
  std::vector<std::string> names;
  std::istringstream text(this->adapters);
  for (std::string name; std::getline(text, name, ',');) {
    if (!name.empty())
      names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::span<const FieldRow<PublishedModel>> PublishedModelRows() {
  return kPublishedModelRows;
}

std::span<const FieldRow<Service>> ServiceRows() {
  return kServiceRows;
}

Index ParseIndex(const std::string& text) {
  const nlohmann::json object = ParseJsonWithComments(text);
  try {
    Index index;
    index.version.revision = object.at("revision").get<std::uint64_t>();
    for (const nlohmann::json& item : object.at("documents")) {
      index.entries.push_back(
          {item.at("name").get<std::string>(),
           Revision{item.at("revision").get<std::uint64_t>()},
           item.at("digest").get<std::string>()});
    }
    SortEntries(index);
    index.version.digest = IndexDigest(index);
    return index;
  } catch (const nlohmann::json::exception& error) {
    throw InvalidDocument("", error.what());
  }
}

void AddDocument(Configuration& configuration,
                 const IndexEntry& entry,
                 const std::string& text) {
  const auto slash = entry.name.find('/');
  const std::string kind = entry.name.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : entry.name.substr(slash + 1);
  const nlohmann::json object = ParseJsonWithComments(text);
  if (kind == "profiles") {
    configuration.profiles[ProfileName(name)] =
        ParseNamedDocument(object, ProfileRows(), name);
  } else if (kind == "organisations") {
    configuration.organisations[OrganisationId(name)] =
        ParseNamedDocument(object, OrganisationRows(), name);
  } else if (kind == "services") {
    configuration.services[ServiceName(name)] =
        ParseNamedDocument(object, ServiceRows(), name);
  } else if (kind == "models") {
    configuration.models[ModelName(name)] =
        ParseNamedDocument(object, PublishedModelRows(), name);
  } else {
    throw InvalidDocument("", "unknown kind of document '" + kind + "'");
  }
}

ConfigurationPtr BuildConfiguration(const Index& index,
                                    const DocumentTexts& texts) {
  auto configuration = std::make_shared<Configuration>();
  configuration->revision = Revision{index.version.revision};
  configuration->index = index;
  std::vector<DocumentFault> faults;
  for (const IndexEntry& entry : index.entries) {
    const std::shared_ptr<const std::string>& text = texts.at(entry.digest);
    configuration->texts.emplace(entry.digest, text);
    try {
      CheckSize(*text);
      AddDocument(*configuration, entry, *text);
    } catch (const InvalidDocument& refused) {
      for (const DocumentFault& fault : refused.Faults())
        faults.push_back({entry.name + fault.path, fault.reason});
    }
  }
  if (!faults.empty())
    throw InvalidDocument(std::move(faults));
  return configuration;
}

std::uint64_t IndexDigest(const Index& index) {
  std::string text;
  for (const IndexEntry& entry : index.entries)
    text += entry.name + '\0' + entry.digest + '\0';
  return XXH3_64bits(text.data(), text.size());
}

std::string FormatDigest(std::uint64_t digest) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << digest;
  return text.str();
}

std::string DocumentDigest(const std::string& text) {
  return FormatDigest(XXH3_64bits(text.data(), text.size()));
}

}  // namespace buckthornpath
