/** @file attempt_result.h Result of one attempt to forward a request. */

#ifndef SRC_GATEWAY_ATTEMPT_RESULT_H_
#define SRC_GATEWAY_ATTEMPT_RESULT_H_

#include <optional>

#include "buckthornpath/endpoint_selector.h"

namespace buckthornpath {

/** Result of one attempt to forward a request. */
enum class AttemptResult {
  kAnswered,     ///< The caller has received a complete response.
  kNoCapacity,   ///< No endpoint had capacity in time; nothing was sent.
  kWithheld,     ///< Endpoint unusable or caller gone; nothing was sent.
  kQuarantined,  ///< The request is in quarantine; nothing was sent.
  kDraining,     ///< The process ends before the deadline; nothing was sent.
  kUnreachable,  ///< No connection could be opened; nothing was sent.
  kNotExecuted,  ///< The endpoint states that it did not run the request.
  kFailed,       ///< The endpoint ran the request and sent a 5xx status.
  kBroken,       ///< The request was sent; the response is incomplete.
  kStalled,      ///< Given up, as the standby attempt has begun.
};

/** Log name of an attempt's result, and the result for its endpoint if it says
 * anything about it. */
struct AttemptResultRow {
  const char* name;
  std::optional<EndpointResult> endpoint_result;
};

const AttemptResultRow& RowOf(AttemptResult result);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ATTEMPT_RESULT_H_
