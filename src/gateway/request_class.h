/** @file request_class.h What a request is and whether it may go on. */

#ifndef SRC_GATEWAY_REQUEST_CLASS_H_
#define SRC_GATEWAY_REQUEST_CLASS_H_

#include <optional>

#include "buckthornpath/routing_table.h"
#include "gateway/caller_connection.h"
#include "gateway/platform_adapter.h"

namespace buckthornpath {

/** A final answer of the gateway's own, and why. */
struct Refusal {
  unsigned status = 0;
  const char* reason = "";  ///< Name for the answer's body, log and metrics.
};

/** What a request is, by its header and the configuration in force. */
struct RequestClass {
  CallerFacts facts;
  const Route* route = nullptr;  ///< Lives as long as its table.
  ServiceName service;
  OrganisationId organisation;  ///< Empty if the route needs no key.
  int priority = 0;             ///< 0 is the most urgent.
};

/**
 * Finds a request's route, organisation and service. Pure: no I/O.
 * @param table Configuration in force; null before the first is known.
 * @param found Gets what is known of the request, also if it is refused.
 * @return Nothing if the request may go on.
 */
std::optional<Refusal> ClassifyRequest(const PlatformAdapter& adapter,
                                       const RoutingTable* table,
                                       const CallerMessage& message,
                                       RequestClass& found);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_REQUEST_CLASS_H_
