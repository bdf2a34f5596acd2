/** @file publication_soak.h Published changes under faults of the store. */

#ifndef TEST_SOAK_PUBLICATION_SOAK_H_
#define TEST_SOAK_PUBLICATION_SOAK_H_

#include <chrono>
#include <cstdint>

#include "soak/soak_run.h"

namespace buckthornpath {

/** Parameters of a run. All else comes from the seed. */
struct PublicationSoakPlan {
  std::uint64_t seed = 1;
  std::chrono::milliseconds length = std::chrono::seconds(25);
};

/**
 * Starts 2 to 6 gateways in 1 to 3 failure domains. The operator changes
 * routes, and endpoints leave and start again, while the store and the links to
 * it fail, the store comes back from copies, and gateways are killed, paused
 * and stopped. The checks are in publication_history.h.
 */
SoakResult RunPublicationSoak(const PublicationSoakPlan& plan);

}  // namespace buckthornpath

#endif  // TEST_SOAK_PUBLICATION_SOAK_H_
