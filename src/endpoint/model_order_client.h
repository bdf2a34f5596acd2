/** @file model_order_client.h HTTP client for the state and the orders of a
 * model engine. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_CLIENT_H_
#define SRC_ENDPOINT_MODEL_ORDER_CLIENT_H_

#include "endpoint/model_order_type.h"
#include "kernel/boot_clock.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** @throws HttpError If the engine does not answer or has no such resource. */
asio::awaitable<EngineState> FetchEngineState(SocketAddress engine);

/**
 * Sends an order unless its lifetime has passed. An HTTP error gives a reply
 * with OrderOutcome::kFailed.
 * @param lifetime_start Start of the order's lifetime.
 */
asio::awaitable<OrderReply> SendOrder(SocketAddress engine,
                                      ModelOrder order,
                                      BootClock::time_point lifetime_start);

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_CLIENT_H_
