/** @file replay_endpoint.h Endpoints of replays, known by their numbers. */

#ifndef TEST_HARNESS_REPLAY_ENDPOINT_H_
#define TEST_HARNESS_REPLAY_ENDPOINT_H_

#include <cstddef>

#include "buckthornpath/endpoint_selector.h"

namespace buckthornpath {

/** @return The failure domain of a gateway or endpoint; there are five. */
FailureDomainId ReplayDomain(std::size_t number);

EndpointId ReplayEndpointId(std::size_t number);

/** @return The number of an endpoint that ReplayEndpointId() has named. */
std::size_t ReplayEndpointNumber(const EndpointId& id);

EndpointEntry ReplayEntry(const ServiceName& service,
                          std::size_t number,
                          std::size_t slots);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_REPLAY_ENDPOINT_H_
