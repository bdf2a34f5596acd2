/** @file configuration_store.h The configuration in force in a process. */

#ifndef SRC_FLEET_CONFIGURATION_STORE_H_
#define SRC_FLEET_CONFIGURATION_STORE_H_

#include "fleet/published_type.h"
#include "kernel/lock_order.h"

namespace buckthornpath {

/** Holds the configuration in force; its revision never falls. */
class ConfigurationStore {
 public:
  /** @return The configuration in force; never null. */
  ConfigurationPtr InForce() const;

  /**
   * Puts a configuration in force if its revision is higher.
   * @return True if it is in force now.
   */
  bool Adopt(ConfigurationPtr next);

 private:
  mutable OrderedMutex mutex{LockRank::kConfiguration};
  ConfigurationPtr in_force = std::make_shared<Configuration>();
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_CONFIGURATION_STORE_H_
