/** @file call_cancel.h Stops a call at its endpoint. */

#ifndef SRC_ROUTER_CALL_CANCEL_H_
#define SRC_ROUTER_CALL_CANCEL_H_

#include "router/call_session.h"

namespace buckthornpath {

/**
 * Asks the endpoint process of a ticket to stop its call and answers the caller
 * with the outcome. @throws HttpError If the caller is gone.
 */
asio::awaitable<void> CancelCall(const SessionContext& context,
                                 const CallerRequest& request,
                                 HttpExchange& exchange);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CALL_CANCEL_H_
