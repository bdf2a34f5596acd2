/** @file call_cancel.h Cancels a call at its endpoint. */

#ifndef SRC_ROUTER_CALL_CANCEL_H_
#define SRC_ROUTER_CALL_CANCEL_H_

#include "router/call_session.h"

namespace buckthornpath {

/**
 * Asks the endpoint process that the ticket names to cancel the call, again
 * until it replies or recovery_timeout has passed, and sends the caller the
 * outcome.
 * @throws HttpError If the caller has disconnected.
 */
asio::awaitable<void> CancelCall(const SessionContext& context,
                                 const CallerRequest& request,
                                 HttpExchange& exchange);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CALL_CANCEL_H_
