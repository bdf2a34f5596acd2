/** @file domain_evacuation.h Failure domains that operators have evacuated. */

#ifndef BUCKTHORNPATH_DOMAIN_EVACUATION_H_
#define BUCKTHORNPATH_DOMAIN_EVACUATION_H_

#include <chrono>
#include <map>
#include <optional>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/**
 * Failure domains whose endpoints get no new requests, until each is restored.
 * The load pattern it answers: the load of a whole failure domain moves to the
 * others within one update, and returns as suddenly. The endpoints stay known,
 * with their running requests, cached segments and loads, so that a restored
 * domain is chosen by the load bound and by what is cached, not as a new one.
 * Does no I/O. Not thread-safe.
 */
class DomainEvacuations {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @return False if the domain is evacuated already, or has no name. */
  bool Begin(const FailureDomainId& domain, TimePoint now);

  /** @return How long the domain was evacuated; empty if it was not. */
  std::optional<std::chrono::milliseconds> End(const FailureDomainId& domain,
                                               TimePoint now);

  bool Contains(const FailureDomainId& domain) const {
    return this->begun_at.contains(domain);
  }

  /** @return When this process learnt of each evacuation. */
  const std::map<FailureDomainId, TimePoint>& All() const {
    return this->begun_at;
  }

 private:
  std::map<FailureDomainId, TimePoint> begun_at;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_DOMAIN_EVACUATION_H_
