/** @file retry_after.h Time after which a refused caller should return. */

#ifndef BUCKTHORNPATH_RETRY_AFTER_H_
#define BUCKTHORNPATH_RETRY_AFTER_H_

#include <chrono>
#include <optional>

namespace buckthornpath {

/** What is known when a request is refused. */
struct RefusalOutlook {
  /** Rest of the quarantine of its prompt. */
  std::optional<std::chrono::milliseconds> quarantine;
  /** Time until the version of its stream may be proven; see
   * version_history.h. */
  std::optional<std::chrono::milliseconds> proof;
  /** No endpoint is known that it may ever be sent to. */
  bool is_in_vain = false;
  /** Time until the first endpoint of the service wants requests again, if
   * none may be used now. */
  std::optional<std::chrono::milliseconds> endpoint_return;
  /** Nothing may be used until an operator ends an evacuation. */
  bool is_evacuated = false;
  /** Estimated wait of the request in the queue of its service. */
  std::chrono::milliseconds queue_wait{};
  double refused_share = 0;  ///< Of the service's requests, 0 to 1.
  std::chrono::milliseconds time_left{};  ///< Until the caller's deadline.
  /** From 0 to 1, evenly distributed over callers; the same for a request at
   * all gateways. */
  double spread = 0;
};

/**
 * Handles callers that are refused at the same moment: they return when there
 * will be capacity, spread over the time that it takes to serve them, and early
 * enough before their deadline to be served. Does no I/O.
 * @return Time for the Retry-After field.
 */
std::chrono::milliseconds RetryAfterFor(const RefusalOutlook& outlook);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_RETRY_AFTER_H_
