/** @file entry_confirmation.h Waits for word that entries are current. */

#ifndef SRC_GATEWAY_ENTRY_CONFIRMATION_H_
#define SRC_GATEWAY_ENTRY_CONFIRMATION_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "gateway/endpoint_connection.h"
#include "gateway/gateway_state.h"

namespace buckthornpath {

/**
 * Waits, for a short time at most, until the entries in force confirm that the
 * endpoint of a connection is the process that its entry describes, or the
 * store cannot be read.
 * @param is_ended Ends the wait.
 */
asio::awaitable<void> AwaitConfirmedEntry(
    GatewayState& state,
    EndpointConnection::Clock::time_point opened_at,
    std::function<bool()> is_ended);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENTRY_CONFIRMATION_H_
