/** @file configuration_store.cc The active configuration of a process. */

#include "fleet/configuration_store.h"

namespace buckthornpath {

namespace {

/** Recently active indices, kept as bases of deltas for peers. */
constexpr std::size_t kRecentIndices = 16;

}  // namespace

ConfigurationPtr ConfigurationStore::Active() const {
  const OrderedLock lock(this->mutex);
  return this->active;
}

bool ConfigurationStore::Activate(ConfigurationPtr next) {
  const OrderedLock lock(this->mutex);
  if (next->index.version <= this->active->index.version)
    return false;
  this->active = std::move(next);
  this->recent.push_back(this->active);
  if (this->recent.size() > kRecentIndices)
    this->recent.pop_front();
  if (this->refused && this->refused->version < this->active->index.version)
    this->refused.reset();
  return true;
}

void ConfigurationStore::Refuse(RefusedIndex refused) {
  const OrderedLock lock(this->mutex);
  this->refused = std::move(refused);
}

bool ConfigurationStore::ShouldFetch(const IndexVersion& version) const {
  const OrderedLock lock(this->mutex);
  if (this->refused && this->refused->version == version)
    return false;
  return version > this->active->index.version;
}

std::optional<RefusedIndex> ConfigurationStore::Refused() const {
  const OrderedLock lock(this->mutex);
  return this->refused;
}

std::optional<Index> ConfigurationStore::FindRecent(
    const IndexVersion& version) const {
  const OrderedLock lock(this->mutex);
  for (const ConfigurationPtr& configuration : this->recent) {
    if (configuration->index.version == version)
      return configuration->index;
  }
  return std::nullopt;
}

}  // namespace buckthornpath
