/** @file configuration_store.cc The configuration in force in a process. */

#include "fleet/configuration_store.h"

namespace buckthornpath {

ConfigurationPtr ConfigurationStore::InForce() const {
  const OrderedLock lock(this->mutex);
  return this->in_force;
}

bool ConfigurationStore::Adopt(ConfigurationPtr next) {
  const OrderedLock lock(this->mutex);
  if (next->revision <= this->in_force->revision)
    return false;
  this->in_force = std::move(next);
  return true;
}

}  // namespace buckthornpath
