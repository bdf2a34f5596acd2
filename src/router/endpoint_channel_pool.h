/** @file endpoint_channel_pool.h Idle connections to endpoint processes. */

#ifndef SRC_ROUTER_ENDPOINT_CHANNEL_POOL_H_
#define SRC_ROUTER_ENDPOINT_CHANNEL_POOL_H_

#include <deque>
#include <optional>
#include <unordered_map>

#include "kernel/lock_order.h"
#include "router/endpoint_channel.h"

namespace buckthornpath {

/** Pool of idle connections, limited per endpoint process and in total. */
class EndpointChannelPool {
 public:
  /** @return A usable idle connection, or nothing if there is none. */
  std::optional<EndpointChannel> Take(const SocketAddress& address);

  /**
   * Adds a connection whose last call has ended. At an endpoint's limit its
   * oldest connection is dropped; at the total limit the new one is.
   */
  void Put(const SocketAddress& address, EndpointChannel channel);

  /** Drops all connections to an address. */
  void Drop(const SocketAddress& address);

  /** @return Number of idle connections. */
  std::size_t Size() const;

 private:
  struct IdleChannel {
    EndpointChannel channel;
    std::chrono::steady_clock::time_point since;
  };

  mutable OrderedMutex mutex{LockRank::kConnectionPool};
  std::unordered_map<std::string, std::deque<IdleChannel>> idle;
  std::size_t size = 0;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_ENDPOINT_CHANNEL_POOL_H_
