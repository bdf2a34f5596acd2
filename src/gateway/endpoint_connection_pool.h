/** @file endpoint_connection_pool.h Pool of connections to endpoints. */

#ifndef SRC_GATEWAY_ENDPOINT_CONNECTION_POOL_H_
#define SRC_GATEWAY_ENDPOINT_CONNECTION_POOL_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "buckthornpath/strong_id_type.h"
#include "gateway/endpoint_connection.h"

namespace buckthornpath {

/**
 * Connection pool. Holds the idle connections of each endpoint, reuses the most
 * recent one first, and counts all open connections.
 */
class EndpointConnectionPool {
 public:
  using Clock = EndpointConnection::Clock;

  /** Idle time limit for requests that can be sent again: any open connection
   * is reused. */
  static constexpr std::chrono::milliseconds kUnlimitedIdleTime{
      std::chrono::hours(1)};

  explicit EndpointConnectionPool(asio::any_io_executor executor)
      : executor(std::move(executor)) {}

  /**
   * Takes an idle connection out of the pool.
   * @param address Present address of the endpoint; connections to another one
   *     are closed.
   * @param max_idle_time Connections idle for longer stay in the pool.
   * @return A connection that is still open, or null if there is none.
   */
  std::unique_ptr<EndpointConnection> TakeIdle(
      const EndpointId& endpoint,
      const SocketAddress& address,
      std::chrono::milliseconds max_idle_time,
      Clock::time_point now);

  /** @return A connection that is not yet open but is counted as open. */
  std::unique_ptr<EndpointConnection> CreateConnection(
      const EndpointId& endpoint);

  /**
   * @return Idle time up to which reuse of a connection is considered safe.
   * Endpoints and middleboxes may drop idle connections without notice.
   */
  std::chrono::milliseconds SafeIdleTime() const {
    return this->safe_idle_time;
  }

  /**
   * Records the result of a request on a reused connection.
   * @param idle Idle time of the connection before the request.
   * @param failed True if the connection failed before a response arrived.
   */
  void RecordReuse(std::chrono::milliseconds idle, bool failed);

  /** Returns a connection to the pool, or closes it if it can't be reused. */
  void Release(const EndpointId& endpoint,
               std::unique_ptr<EndpointConnection> connection,
               bool reusable,
               Clock::time_point now);

  /** @return Number of open connections of this process to an endpoint. */
  std::size_t OpenCount(const EndpointId& endpoint) const;

  /** @return True if the pool holds an idle connection to an endpoint. */
  bool HasIdle(const EndpointId& endpoint) const;

  /** Closes idle connections that their endpoints are about to close. */
  void CloseExpired(Clock::time_point now);

  /** Closes the idle connections to an endpoint that is no longer used. */
  void CloseIdle(const EndpointId& endpoint);

 private:
  struct Entry {
    std::vector<std::unique_ptr<EndpointConnection>> idle;  ///< Oldest first.
    std::size_t open = 0;
  };

  asio::any_io_executor executor;
  std::unordered_map<EndpointId, Entry> entries;
  std::chrono::milliseconds safe_idle_time = std::chrono::seconds(4);
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENDPOINT_CONNECTION_POOL_H_
