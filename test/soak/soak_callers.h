/** @file soak_callers.h Callers and endpoints of the soak. */

#ifndef TEST_SOAK_SOAK_CALLERS_H_
#define TEST_SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "harness/gateway_fleet.h"
#include "soak/soak_history.h"

namespace buckthornpath {

/** Shortest pause between requests of a caller that was turned away, and
 * between faults. */
inline constexpr std::chrono::milliseconds kShortestPause{50};

/**
 * @param is_sick True while the endpoint breaks off what may be repeated.
 * @return An endpoint that works a little, and now and then breaks off.
 */
EndpointScript SoakEndpoint(SoakHistory& history,
                            const std::atomic<bool>& is_sick,
                            const std::string& name,
                            std::uint64_t seed);

/** Sends requests on a connection that is kept until the gateway closes it. */
void CallUntil(const std::atomic<bool>& is_over,
               const GatewayFleet& fleet,
               SoakHistory& history,
               std::size_t gateway,
               std::size_t caller);

/** Sends long requests and leaves before their end. */
void LeaveUntil(const std::atomic<bool>& is_over,
                const GatewayFleet& fleet,
                SoakHistory& history,
                std::size_t gateway);

}  // namespace buckthornpath

#endif  // TEST_SOAK_SOAK_CALLERS_H_
