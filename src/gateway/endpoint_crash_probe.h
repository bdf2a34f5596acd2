/** @file endpoint_crash_probe.h Tells a crashed endpoint from a lost
 * connection. */

#ifndef SRC_GATEWAY_ENDPOINT_CRASH_PROBE_H_
#define SRC_GATEWAY_ENDPOINT_CRASH_PROBE_H_

#include <map>
#include <vector>

#include "buckthornpath/endpoint_selector.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

struct GatewayState;

/**
 * Connects to endpoints whose connection broke before an answer. One that
 * refuses connections has crashed: the selector avoids it, and the prompts that
 * it was working on are recorded in the quarantine. Not thread-safe.
 */
class EndpointCrashProbe {
 public:
  explicit EndpointCrashProbe(GatewayState& state) : state(state) {}

  /** Checks an endpoint that has not answered on a prompt. One check at a time
   * covers all prompts of an endpoint. */
  void Check(const EndpointHandle& endpoint,
             const std::vector<PromptSegment>& segments);

 private:
  using Prompts = std::vector<std::vector<PromptSegment>>;

  asio::awaitable<void> Run(EndpointHandle endpoint);

  /** @return True if the endpoint refuses a connection. */
  asio::awaitable<bool> IsRefused(const EndpointState& endpoint);
  void RecordCrash(EndpointState& endpoint, const Prompts& prompts);

  GatewayState& state;
  std::map<EndpointId, Prompts> running;  ///< Checks that have not ended.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENDPOINT_CRASH_PROBE_H_
