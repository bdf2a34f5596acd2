/** @file dialogue_connection.h A connection that carries messages. */

#ifndef SRC_WIRE_DIALOGUE_CONNECTION_H_
#define SRC_WIRE_DIALOGUE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>

#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"
#include "wire/message_type.h"

namespace buckthornpath {

/** The connection ended, was silent for too long or broke the protocol. */
class DialogueLost : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/**
 * Sends and receives messages, each after its length in four bytes. One
 * coroutine may read while another writes, both on the connection's strand.
 */
class DialogueConnection {
 public:
  explicit DialogueConnection(asio::ip::tcp::socket socket);

  /**
   * Connects to a process.
   * @throws DialogueLost If that fails or takes too long.
   */
  static asio::awaitable<std::unique_ptr<DialogueConnection>> Connect(
      SocketAddress address,
      std::chrono::milliseconds timeout);

  /**
   * Reads the next message; a malformed one is counted, logged and skipped.
   * @param timeout Longest silence.
   * @throws DialogueLost If the connection ends or stays silent.
   */
  asio::awaitable<Message> Receive(std::chrono::milliseconds timeout);

  /** Sends a message. @throws DialogueLost If the connection has ended. */
  asio::awaitable<void> Send(Message message);

  /** Ends the connection; a waiting Receive() throws. */
  void Close();

 private:
  asio::awaitable<std::string> ReceiveFrame();

  asio::ip::tcp::socket socket;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_DIALOGUE_CONNECTION_H_
