/** @file message_connection.h A connection that carries messages. */

#ifndef SRC_WIRE_MESSAGE_CONNECTION_H_
#define SRC_WIRE_MESSAGE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>

#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"
#include "wire/message_type.h"

namespace buckthornpath {

/**
 * Thrown if a connection cannot be opened, has ended, receives nothing for too
 * long or violates the protocol.
 */
class ConnectionLost : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/**
 * Sends and receives messages, each prefixed with its length as a four-byte
 * big-endian integer. One coroutine may read while another writes, both on the
 * connection's strand.
 */
class MessageConnection {
 public:
  explicit MessageConnection(asio::ip::tcp::socket socket);
  ~MessageConnection();
  MessageConnection(const MessageConnection&) = delete;
  MessageConnection& operator=(const MessageConnection&) = delete;

  /**
   * Connects to a process.
   * @throws ConnectionLost If the connection fails or exceeds the timeout.
   */
  static asio::awaitable<std::unique_ptr<MessageConnection>> Connect(
      SocketAddress address,
      std::chrono::milliseconds timeout);

  /**
   * Reads the next message; a malformed one is counted, logged and skipped.
   * @param timeout Maximum time until the next message is complete.
   * @throws ConnectionLost If the connection ends, the timeout passes or a
   *     message is longer than 80 MiB.
   */
  asio::awaitable<Message> Receive(std::chrono::milliseconds timeout);

  /**
   * Sends a message.
   * @throws ConnectionLost If the connection has ended or the peer does not
   *     accept the message within 5 s.
   */
  asio::awaitable<void> Send(Message message);

  /** Closes the connection; a waiting Receive() throws ConnectionLost. */
  void Close();

  /** @return True if the connection is open and has no unread data. */
  bool IsIdle();

 private:
  class Deadline;

  asio::awaitable<std::string> ReceiveFrame();

  /** Reads until at least `size` bytes are buffered. */
  asio::awaitable<void> FillBuffer(std::size_t size);

  asio::ip::tcp::socket socket;
  std::string receive_buffer;  ///< Bytes received but not yet decoded.
  std::unique_ptr<Deadline> receive_deadline;
  std::unique_ptr<Deadline> send_deadline;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_MESSAGE_CONNECTION_H_
