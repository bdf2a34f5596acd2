/** @file index_delta.cc Differences between two published indices. */

#include "fleet/index_delta.h"

#include <map>

#include "kernel/cbor.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

std::map<std::string, IndexEntry> EntriesByName(const Index& index) {
  std::map<std::string, IndexEntry> entries;
  for (const IndexEntry& entry : index.entries)
    entries.emplace(entry.name, entry);
  return entries;
}

}  // namespace

std::string EncodeIndexDelta(const Index& from, const Index& to) {
  std::map<std::string, IndexEntry> unmatched = EntriesByName(from);
  json changed = json::array();
  for (const IndexEntry& entry : to.entries) {
    const auto known = unmatched.find(entry.name);
    if (known == unmatched.end() || known->second.digest != entry.digest) {
      changed.push_back({entry.name, static_cast<std::uint64_t>(entry.revision),
                         entry.digest});
    }
    if (known != unmatched.end())
      unmatched.erase(known);
  }
  json removed = json::array();
  for (const auto& [name, entry] : unmatched)
    removed.push_back(name);
  std::string bytes;
  json::to_cbor(json::array({to.version.revision, std::move(changed),
                             std::move(removed)}),
                nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

Index ApplyIndexDelta(const Index& from, const std::string& delta) {
  try {
    const json parsed = ParseCbor(delta);
    std::map<std::string, IndexEntry> entries = EntriesByName(from);
    for (const json& item : parsed.at(1)) {
      const auto name = item.at(0).get<std::string>();
      entries[name] = {name, Revision{item.at(1).get<std::uint64_t>()},
                       item.at(2).get<std::string>()};
    }
    for (const json& name : parsed.at(2))
      entries.erase(name.get<std::string>());
    Index index;
    index.version.revision = parsed.at(0).get<std::uint64_t>();
    for (auto& [name, entry] : entries)
      index.entries.push_back(std::move(entry));
    index.version.digest = IndexDigest(index);
    return index;
  } catch (const json::exception& error) {
    throw InvalidDocument("/delta", error.what());
  }
}

}  // namespace buckthornpath
