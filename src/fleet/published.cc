/** @file published.cc Reading of published documents. */

#include <xxhash.h>

#include <iomanip>
#include <sstream>

#include "fleet/published_type.h"
#include "table/published_table.h"

namespace buckthornpath {

namespace {

/** Reads a document whose name must be the one the index gives it. */
template <class Document>
Document ReadNamed(const nlohmann::json& object,
                   std::span<const FieldRow<Document>> rows,
                   const std::string& name) {
  std::vector<DocumentFault> faults;
  Document document = ReadDocument(object, rows, "", faults);
  if (faults.empty() && document.name != name) {
    faults.push_back({"/name", "must be '" + name + "' as in the index"});
  }
  if (!faults.empty())
    throw DocumentRefused(std::move(faults));
  return document;
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

std::span<const FieldRow<Service>> ServiceRows() {
  return kServiceRows;
}

Index ParseIndex(const std::string& text) {
  const nlohmann::json object = ParseJsonWithComments(text);
  try {
    Index index;
    index.revision = Revision{object.at("revision").get<std::uint64_t>()};
    for (const nlohmann::json& item : object.at("documents")) {
      index.entries.push_back(
          {item.at("name").get<std::string>(),
           Revision{item.at("revision").get<std::uint64_t>()},
           item.at("digest").get<std::string>()});
    }
    return index;
  } catch (const nlohmann::json::exception& error) {
    throw DocumentRefused("", error.what());
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
        ReadNamed(object, ProfileRows(), name);
  } else if (kind == "organisations") {
    configuration.organisations[OrganisationId(name)] =
        ReadNamed(object, OrganisationRows(), name);
  } else if (kind == "services") {
    configuration.services[ServiceName(name)] =
        ReadNamed(object, ServiceRows(), name);
  } else {
    throw DocumentRefused("", "unknown kind of document '" + kind + "'");
  }
  configuration.entries[entry.name] = entry;
}

std::string DocumentDigest(const std::string& text) {
  std::ostringstream digest;
  digest << std::hex << std::setw(16) << std::setfill('0')
         << XXH3_64bits(text.data(), text.size());
  return digest.str();
}

}  // namespace buckthornpath
