/** @file published_type.h Configuration documents published by operators. */

#ifndef SRC_FLEET_PUBLISHED_TYPE_H_
#define SRC_FLEET_PUBLISHED_TYPE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "buckthornpath/rank_type.h"
#include "buckthornpath/strong_id_type.h"
#include "kernel/field_table.h"
#include "wire/index_version_type.h"

namespace buckthornpath {

/** Scheduling and retry policy for a kind of request. */
struct Profile {
  std::string name;
  std::string service;
  std::string rank;
  bool repeatable = false;
  std::chrono::milliseconds deadline{};  ///< For the first byte.
  std::int64_t minimum_share_percent = 0;
  std::int64_t load_multiple_percent = 0;

  /** @return The priority class named by `rank`; kStandard if it is unknown. */
  Rank RankValue() const;
};

/** A customer whose calls are isolated from those of others. */
struct Organisation {
  std::string name;
  std::string credential_sha256;  ///< Lower-case hexadecimal.
  std::int64_t weight = 1;
};

/** A group of interchangeable endpoints. */
struct Service {
  std::string name;
  std::string kind;  ///< "model" or "plain".
  std::string model;
  std::int64_t loads_per_minute = 1;  ///< Limit set by the weight store.

  bool IsModel() const { return this->kind == "model"; }
};

/** A model that some replicas of a service have to load. */
struct PublishedModel {
  std::string name;
  std::string service;
  std::string model;  ///< Its name at the engines.
  std::string version;
  std::string adapters;  ///< Names separated by commas.
  std::int64_t share = 1;
  std::int64_t minimum_replicas = 0;

  /** @return Names of the adapters, sorted. */
  std::vector<std::string> AdapterNames() const;
};

/** An entry of the published index. */
struct IndexEntry {
  std::string name;  ///< Such as "profiles/counter".
  Revision revision{};
  std::string digest;  ///< XXH3-64 of the document's bytes, hexadecimal.
};

/** The published index: names the revision of every document. */
struct Index {
  IndexVersion version;
  std::vector<IndexEntry> entries;  ///< Sorted by name.
};

/** Documents as published, by digest. */
using DocumentTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/** The documents of one index, parsed. */
struct Configuration {
  Revision revision{};
  Index index;
  DocumentTexts texts;
  std::map<ProfileName, Profile> profiles;
  std::map<OrganisationId, Organisation> organisations;
  std::map<ServiceName, Service> services;
  std::map<ModelName, PublishedModel> models;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

std::span<const FieldRow<Profile>> ProfileRows();
std::span<const FieldRow<Organisation>> OrganisationRows();
std::span<const FieldRow<Service>> ServiceRows();
std::span<const FieldRow<PublishedModel>> PublishedModelRows();

/**
 * Parses the published index.
 * @throws InvalidDocument If it is malformed.
 */
Index ParseIndex(const std::string& text);

/**
 * Parses a document and adds it to a configuration. The result depends on the
 * arguments alone, so that all processes accept or reject the same documents.
 * @param entry Entry of the index that names the document.
 * @throws InvalidDocument With all faults; the configuration is unchanged.
 */
void AddDocument(Configuration& configuration,
                 const IndexEntry& entry,
                 const std::string& text);

/**
 * Builds a configuration from an index and all documents that it names.
 * @throws InvalidDocument With all faults of all documents.
 */
ConfigurationPtr BuildConfiguration(const Index& index,
                                    const DocumentTexts& texts);

/** @return XXH3-64 of the names and digests of an index's entries. */
std::uint64_t IndexDigest(const Index& index);

/** @return A digest as 16 hexadecimal digits. */
std::string FormatDigest(std::uint64_t digest);

/** @return XXH3-64 of a document in hexadecimal, as the index lists it. */
std::string DocumentDigest(const std::string& text);

}  // namespace buckthornpath

#endif  // SRC_FLEET_PUBLISHED_TYPE_H_
