/** @file endpoint_crash_probe.h Tells a crashed endpoint from a lost
 * connection. */

#ifndef SRC_GATEWAY_ENDPOINT_CRASH_PROBE_H_
#define SRC_GATEWAY_ENDPOINT_CRASH_PROBE_H_

#include <map>
#include <vector>

#include "buckthornpath/endpoint_selector.h"
#include "buckthornpath/segment_quarantine.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

struct GatewayState;

/**
 * Connects to endpoints whose connection broke before an answer. One that
 * refuses connections has crashed: the selector avoids it, and the requests
 * that it had not answered are recorded in the quarantine. Not thread-safe.
 */
class EndpointCrashProbe {
 public:
  explicit EndpointCrashProbe(GatewayState& state) : state(state) {}

  /** Checks an endpoint that has not answered a request. One check at a time
   * covers all requests of an endpoint. */
  void Check(const EndpointHandle& endpoint, const RequestSignature& request);

  /** Checks an endpoint whose stream broke, which no prompt is blamed for. */
  void Check(const EndpointHandle& endpoint);

 private:
  using Requests = std::vector<RequestSignature>;

  asio::awaitable<void> Run(EndpointHandle endpoint);

  /** @return True if the endpoint refuses a connection. */
  asio::awaitable<bool> IsRefused(const EndpointState& endpoint);
  void RecordCrash(EndpointState& endpoint, const Requests& requests);

  GatewayState& state;
  std::map<EndpointId, Requests> running;  ///< Checks that have not ended.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENDPOINT_CRASH_PROBE_H_
