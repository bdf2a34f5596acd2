/** @file configuration_store.cc The active configuration of a process. */

#include "fleet/configuration_store.h"

namespace buckthornpath {

namespace {

/** Recently active indices, kept as bases of deltas for peers. */
constexpr std::size_t kRecentIndices = 16;

}  // namespace

ConfigurationPtr ConfigurationStore::InForce() const {
  const OrderedLock lock(this->mutex);
  return this->in_force;
}

bool ConfigurationStore::Adopt(ConfigurationPtr next) {
  const OrderedLock lock(this->mutex);
  if (next->index.stamp <= this->in_force->index.stamp)
    return false;
  this->in_force = std::move(next);
  this->recent.push_back(this->in_force);
  if (this->recent.size() > kRecentIndices)
    this->recent.pop_front();
  if (this->refused && this->refused->stamp < this->in_force->index.stamp)
    this->refused.reset();
  return true;
}

void ConfigurationStore::Refuse(RefusedIndex refused) {
  const OrderedLock lock(this->mutex);
  this->refused = std::move(refused);
}

bool ConfigurationStore::ShouldFetch(const IndexStamp& stamp) const {
  const OrderedLock lock(this->mutex);
  if (this->refused && this->refused->stamp == stamp)
    return false;
  return stamp > this->in_force->index.stamp;
}

std::optional<RefusedIndex> ConfigurationStore::Refused() const {
  const OrderedLock lock(this->mutex);
  return this->refused;
}

std::optional<Index> ConfigurationStore::FindRecent(
    const IndexStamp& stamp) const {
  const OrderedLock lock(this->mutex);
  for (const ConfigurationPtr& configuration : this->recent) {
    if (configuration->index.stamp == stamp)
      return configuration->index;
  }
  return std::nullopt;
}

}  // namespace buckthornpath
