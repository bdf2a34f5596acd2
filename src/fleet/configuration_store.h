/** @file configuration_store.h The active configuration of a process. */

#ifndef SRC_FLEET_CONFIGURATION_STORE_H_
#define SRC_FLEET_CONFIGURATION_STORE_H_

#include <deque>
#include <optional>

#include "fleet/published_type.h"
#include "kernel/lock_order.h"

namespace buckthornpath {

/** A published index that was rejected as invalid. */
struct RefusedIndex {
  IndexVersion version;
  std::vector<DocumentFault> faults;  ///< Paths start with document names.
};

/**
 * Holds the active configuration. Thread-safe. The configuration is replaced
 * only by one with a greater revision or, at the same revision, a greater
 * digest, so that all processes converge on the same one of two contents that
 * were published under one revision.
 */
class ConfigurationStore {
 public:
  /** @return The active configuration; never null, empty before the first. */
  ConfigurationPtr Active() const;

  /**
   * Activates a configuration if its version is greater than the active one's.
   * @return True if it was activated.
   */
  bool Activate(ConfigurationPtr next);

  /** Records a rejected index, which the status report shows. */
  void Refuse(RefusedIndex refused);

  /** @return True if the index is newer than the active one and not rejected.
   */
  bool ShouldFetch(const IndexVersion& version) const;

  /** @return The index rejected last, unless a newer one was activated since.
   */
  std::optional<RefusedIndex> Refused() const;

  /** @return The index with a version, if it is among the recently active. */
  std::optional<Index> FindRecent(const IndexVersion& version) const;

 private:
  mutable OrderedMutex mutex{LockRank::kConfiguration};
  ConfigurationPtr active = std::make_shared<Configuration>();
  std::deque<ConfigurationPtr> recent;
  std::optional<RefusedIndex> refused;
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_CONFIGURATION_STORE_H_
