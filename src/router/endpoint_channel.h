/** @file endpoint_channel.h A router's connection to an endpoint process. */

#ifndef SRC_ROUTER_ENDPOINT_CHANNEL_H_
#define SRC_ROUTER_ENDPOINT_CHANNEL_H_

#include <chrono>
#include <map>
#include <memory>
#include <vector>

#include "kernel/lock_order.h"
#include "kernel/socket_address.h"
#include "wire/message_connection.h"

namespace buckthornpath {

/** A connection to an endpoint process that has sent its Hello. */
struct EndpointChannel {
  std::unique_ptr<MessageConnection> connection;
  Hello hello;
  std::chrono::steady_clock::time_point hello_received_at;

  /** @return Age of the incarnation now, by the router's clock. */
  std::chrono::milliseconds IncarnationAge() const;
};

/**
 * Connects to an endpoint process and waits for its Hello.
 * @param timeout Time limit for each of the two steps.
 * @throws ConnectionLost If either fails.
 */
asio::awaitable<EndpointChannel> OpenChannel(SocketAddress address,
                                             std::chrono::milliseconds timeout);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_ENDPOINT_CHANNEL_H_
