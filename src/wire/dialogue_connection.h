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
  ~DialogueConnection();
  DialogueConnection(const DialogueConnection&) = delete;
  DialogueConnection& operator=(const DialogueConnection&) = delete;

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

  /** @return True if it is open and nothing has arrived. */
  bool IsQuiet();

 private:
  class Deadline;

  asio::awaitable<std::string> ReceiveFrame();

  /** Reads until a number of bytes is pending. */
  asio::awaitable<void> Fill(std::size_t size);

  asio::ip::tcp::socket socket;
  std::string pending;  ///< Received and not yet decoded.
  std::unique_ptr<Deadline> receive_deadline;
  std::unique_ptr<Deadline> send_deadline;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_DIALOGUE_CONNECTION_H_
