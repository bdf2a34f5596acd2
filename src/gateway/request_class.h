/** @file request_class.h Classification and admission of requests. */

#ifndef SRC_GATEWAY_REQUEST_CLASS_H_
#define SRC_GATEWAY_REQUEST_CLASS_H_

#include <optional>

#include "buckthornpath/routing_table.h"
#include "buckthornpath/segment_quarantine.h"
#include "gateway/caller_connection.h"
#include "gateway/platform_adapter.h"

namespace buckthornpath {

/** Status and reason with which the gateway itself refuses a request. */
struct Refusal {
  unsigned status = 0;
  const char* reason = "";  ///< Name in the response body, logs and metrics.
};

/** Result of classifying a request by its header and the configuration. */
struct RequestClass {
  CallerMetadata metadata;
  const Route* route = nullptr;  ///< Valid as long as its routing table.
  ServiceName service;
  OrganisationId organisation;  ///< Empty if the route needs no key.
  int priority = 0;             ///< 0 is the most urgent.
  RequestSignature signature;   ///< Set if the request is admitted.

  /** @return True if the request names no prompt: a plain service serves it. */
  bool IsPlain() const { return this->metadata.segments.empty(); }
};

/**
 * Finds a request's route, organisation and service. Does no I/O except a log
 * line for a malformed request.
 * @param table Current configuration; null before the first is known.
 * @param[out] result Classification, in part if the request is refused.
 * @return Empty if the request is admitted.
 */
std::optional<Refusal> ClassifyRequest(const PlatformAdapter& adapter,
                                       const RoutingTable* table,
                                       const CallerRequest& request,
                                       RequestClass& result);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_REQUEST_CLASS_H_
