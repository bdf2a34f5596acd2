/** @file domain_evacuation.cc Failure domains that operators have evacuated. */

#include "buckthornpath/domain_evacuation.h"

namespace buckthornpath {

bool DomainEvacuations::Begin(const FailureDomainId& domain, TimePoint now) {
  // Endpoints without a failure domain can't be evacuated with one.
  return !domain.str().empty() &&
         this->begun_at.try_emplace(domain, now).second;
}

std::optional<std::chrono::milliseconds> DomainEvacuations::End(
    const FailureDomainId& domain,
    TimePoint now) {
  const auto found = this->begun_at.find(domain);
  if (found == this->begun_at.end())
    return std::nullopt;
  const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - found->second);
  this->begun_at.erase(found);
  return lasted;
}

}  // namespace buckthornpath
