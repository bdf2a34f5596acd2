/** @file load_metrics.h Metrics of placing and waiting. */

#ifndef SRC_GATEWAY_LOAD_METRICS_H_
#define SRC_GATEWAY_LOAD_METRICS_H_

#include "gateway/endpoint_reservation.h"
#include "gateway/gateway_state.h"

namespace buckthornpath {

/** Counts the prompt of a request for which a place was reserved: tokens that
 * the endpoint has cached and those it has to prefill, and whether another
 * endpoint in normal use has the shared part cached though this one has not. */
void CountPlacement(const EndpointReservation& reservation,
                    std::span<const PromptSegment> prompt);

/** Counts a waiting request that was given up, as it could not start in time
 * any more. */
void CountGivenUp(const ServiceName& service);

/** Sets the gauges of all services: waiting requests and prefill backlog. */
void ReportLoad(const GatewayState& state);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_LOAD_METRICS_H_
