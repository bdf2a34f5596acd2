/** @file configuration_store.h The configuration in force in a process. */

#ifndef SRC_FLEET_CONFIGURATION_STORE_H_
#define SRC_FLEET_CONFIGURATION_STORE_H_

#include <deque>
#include <optional>

#include "fleet/published_type.h"
#include "kernel/lock_order.h"

namespace buckthornpath {

/** An index that was read and not accepted. */
struct RefusedIndex {
  IndexStamp stamp;
  std::vector<DocumentFault> faults;  ///< Paths begin with the document.
};

/**
 * Holds the configuration in force. It only ever moves to a greater revision
 * or, under one revision, to a greater digest, so that all processes settle on
 * the same of two contents.
 */
class ConfigurationStore {
 public:
  /** @return The configuration in force; never null. */
  ConfigurationPtr InForce() const;

  /**
   * Puts a configuration in force if its stamp is greater.
   * @return True if it is in force now.
   */
  bool Adopt(ConfigurationPtr next);

  /** Remembers an index that was not accepted, for operators. */
  void Refuse(RefusedIndex refused);

  /** @return True if the index is neither in force nor refused nor older. */
  bool Wants(const IndexStamp& stamp) const;

  /** @return The index refused last, unless a greater one was accepted. */
  std::optional<RefusedIndex> Refused() const;

  /** @return A recent index, if it is still held. */
  std::optional<Index> Recent(const IndexStamp& stamp) const;

 private:
  mutable OrderedMutex mutex{LockRank::kConfiguration};
  ConfigurationPtr in_force = std::make_shared<Configuration>();
  std::deque<ConfigurationPtr> recent;
  std::optional<RefusedIndex> refused;
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_CONFIGURATION_STORE_H_
