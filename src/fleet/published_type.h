/** @file published_type.h Documents that operators publish. */

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
#include "wire/index_stamp_type.h"

namespace buckthornpath {

/** How a kind of work is treated. */
struct Profile {
  std::string name;
  std::string service;
  std::string rank;
  bool repeatable = false;
  std::chrono::milliseconds deadline{};  ///< Until the first byte.
  std::int64_t minimum_share_percent = 0;
  std::int64_t load_multiple_percent = 0;

  Rank RankValue() const;
};

/** A customer whose calls are kept apart from those of others. */
struct Organisation {
  std::string name;
  std::string credential_sha256;  ///< Lower-case hexadecimal.
  std::int64_t weight = 1;
};

/** A group of endpoints that do the same work. */
struct Service {
  std::string name;
  std::string kind;  ///< "model" or "plain".
  std::string model;
  std::int64_t loads_per_minute = 1;  ///< Limit of the weight store.

  bool IsModel() const { return this->kind == "model"; }
};

/** A model that some replicas of a service are to hold. */
struct PublishedModel {
  std::string name;
  std::string service;
  std::string model;  ///< Name that engines know it by.
  std::string version;
  std::string adapters;  ///< Names separated by commas.
  std::int64_t share = 1;
  std::int64_t minimum_replicas = 0;

  /** @return Names of the adapters in their order. */
  std::vector<std::string> AdapterNames() const;
};

/** One line of the published index. */
struct IndexEntry {
  std::string name;  ///< Such as "profiles/counter".
  Revision revision{};
  std::string digest;  ///< XXH3-64 of the document's bytes, hexadecimal.
};

/** The published index: names the revision of every document. */
struct Index {
  IndexStamp stamp;
  std::vector<IndexEntry> entries;  ///< In the order of their names.
};

/** Bytes of documents by digest. */
using DocumentTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/** All documents in force together. */
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
 * Reads the published index.
 * @throws DocumentRefused With every fault.
 */
Index ParseIndex(const std::string& text);

/**
 * Adds a document to a configuration. A pure function of its arguments, so
 * that all processes accept or refuse alike.
 * @param entry Entry of the index that names the document.
 * @throws DocumentRefused With every fault; the configuration is unchanged.
 */
void AddDocument(Configuration& configuration,
                 const IndexEntry& entry,
                 const std::string& text);

/**
 * Builds a configuration from an index and all documents that it names.
 * @throws DocumentRefused With every fault of every document.
 */
ConfigurationPtr BuildConfiguration(const Index& index,
                                    const DocumentTexts& texts);

/** @return The digest of an index: of its names and their digests. */
std::uint64_t DigestOf(const Index& index);

/** @return A digest in hexadecimal. */
std::string FormatDigest(std::uint64_t digest);

/** @return The digest under which the index names a document. */
std::string DocumentDigest(const std::string& text);

}  // namespace buckthornpath

#endif  // SRC_FLEET_PUBLISHED_TYPE_H_
