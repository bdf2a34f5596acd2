/** @file endpoint_connections.h Open connections to endpoints. */

#ifndef SRC_GATEWAY_ENDPOINT_CONNECTIONS_H_
#define SRC_GATEWAY_ENDPOINT_CONNECTIONS_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "buckthornpath/strong_id_type.h"
#include "gateway/endpoint_connection.h"

namespace buckthornpath {

/** Idle connections by endpoint, newest first, and counts of all open ones. */
class EndpointConnections {
 public:
  using Clock = EndpointConnection::Clock;

  explicit EndpointConnections(asio::any_io_executor executor)
      : executor(std::move(executor)) {}

  /**
   * @param most_idle Connections idle for longer are left alone.
   * @return An idle connection that is still open, or null.
   */
  std::unique_ptr<EndpointConnection> TakeIdle(
      const EndpointId& endpoint,
      std::chrono::milliseconds most_idle,
      Clock::time_point now);

  /** @return A connection that is to be opened; it counts from now on. */
  std::unique_ptr<EndpointConnection> MakeNew(const EndpointId& endpoint);

  /**
   * Idle time up to which connections have proved to be open. An endpoint, or
   * something on the way, may drop idle ones without notice.
   */
  std::chrono::milliseconds TrustedIdleTime() const { return this->trusted; }

  /**
   * Notes what became of a request on a connection that had been idle.
   * @param broke True if the connection broke before an answer came.
   */
  void NoteReuse(std::chrono::milliseconds idle, bool broke);

  /** Takes a connection back, open or not. */
  void Return(const EndpointId& endpoint,
              std::unique_ptr<EndpointConnection> connection,
              bool reusable,
              Clock::time_point now);

  /** @return Open connections of this process to an endpoint. */
  std::size_t Open(const EndpointId& endpoint) const;

  /** @return True if an idle connection is held. */
  bool HasIdle(const EndpointId& endpoint) const;

  /** Closes connections that their endpoints would soon close. */
  void Sweep(Clock::time_point now);

  /** Closes the idle connections to an endpoint that is gone. */
  void Forget(const EndpointId& endpoint);

 private:
  struct Entry {
    std::vector<std::unique_ptr<EndpointConnection>> idle;  ///< Oldest first.
    std::size_t open = 0;
  };

  asio::any_io_executor executor;
  std::unordered_map<EndpointId, Entry> entries;
  std::chrono::milliseconds trusted = std::chrono::seconds(4);
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENDPOINT_CONNECTIONS_H_
