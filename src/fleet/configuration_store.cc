/** @file configuration_store.cc The configuration in force in a process. */

#include "fleet/configuration_store.h"

#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

/** Indices kept so that peers can be sent only what changed since. */
constexpr std::size_t kRecentIndices = 16;

/** Reports two contents under one revision. */
void ReportConflict(const IndexStamp& kept, const IndexStamp& dropped) {
  ProcessMetrics().Add("configuration_conflicts_total");
  LogLine(LogLevel::kError, "configuration_conflict",
          {{"revision", kept.revision},
           {"kept", FormatDigest(kept.digest)},
           {"dropped", FormatDigest(dropped.digest)}});
}

}  // namespace

ConfigurationPtr ConfigurationStore::InForce() const {
  const OrderedLock lock(this->mutex);
  return this->in_force;
}

bool ConfigurationStore::Adopt(ConfigurationPtr next) {
  ConfigurationPtr before;
  {
    const OrderedLock lock(this->mutex);
    before = this->in_force;
    if (next->index.stamp <= before->index.stamp)
      return false;
    this->in_force = next;
    this->recent.push_back(next);
    if (this->recent.size() > kRecentIndices)
      this->recent.pop_front();
    if (this->refused && this->refused->stamp < next->index.stamp)
      this->refused.reset();
  }
  if (before->index.stamp.revision == next->index.stamp.revision)
    ReportConflict(next->index.stamp, before->index.stamp);
  return true;
}

void ConfigurationStore::Refuse(RefusedIndex refused) {
  const OrderedLock lock(this->mutex);
  this->refused = std::move(refused);
}

bool ConfigurationStore::Wants(const IndexStamp& stamp) const {
  const OrderedLock lock(this->mutex);
  if (this->refused && this->refused->stamp == stamp)
    return false;
  return stamp > this->in_force->index.stamp;
}

std::optional<RefusedIndex> ConfigurationStore::Refused() const {
  const OrderedLock lock(this->mutex);
  return this->refused;
}

std::optional<Index> ConfigurationStore::Recent(const IndexStamp& stamp) const {
  const OrderedLock lock(this->mutex);
  for (const ConfigurationPtr& configuration : this->recent) {
    if (configuration->index.stamp == stamp)
      return configuration->index;
  }
  return std::nullopt;
}

}  // namespace buckthornpath
