/** @file net.h Sockets and HTTP/1.1 messages of the stand-ins. */

#ifndef REVIEW_COMMON_NET_H_
#define REVIEW_COMMON_NET_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

/** IPv4 address and port. */
struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
};

/** Owns a file descriptor of a socket. */
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd(fd) {}
  Socket(Socket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { this->Close(); }

  /** @return A listening socket; not open if the address is taken. */
  static Socket Listen(const Address& address);

  /** @return A connected socket; not open if the connection failed. */
  static Socket Connect(const Address& address, milliseconds timeout);

  bool IsOpen() const { return this->fd >= 0; }
  int Descriptor() const { return this->fd; }

  /** @return The next connection; not open once the socket is shut down. */
  Socket Accept() const;

  /** Sends all bytes. @return False if the connection failed. */
  bool Send(const std::string& bytes) const;

  /** Appends what has arrived, waiting until a time.
   * @return False at the end of the connection or of the time. */
  bool Receive(std::string& buffer, TimePoint until) const;

  /** @return True if bytes or the end of the connection arrive before a time.
   */
  bool HasInputBy(TimePoint until) const;

  /** @return True if the peer closes or resets the connection before a time.
   * @pre The peer sends no more bytes. */
  bool IsClosedBy(TimePoint until) const;

  /** Ends all blocking calls. */
  void Shutdown() const;
  void Close();

 private:
  int fd = -1;
};

/** A request or a response. */
struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /** @return The value of a field, compared without case; empty if absent. */
  std::string Field(const std::string& name) const;

  /** @return A word of the start line, from 0. */
  std::string Word(std::size_t index) const;
};

/** How reading a message has ended. */
enum class ReadResult {
  kComplete,
  kEnded,   ///< The connection ended before the message was complete.
  kTimeout  ///< The time is over.
};

/** Reads the messages of one connection, one after another. */
class MessageReader {
 public:
  explicit MessageReader(const Socket& socket) : socket(socket) {}

  /**
   * Reads one message. What has arrived of it is kept in `message`.
   * @param is_response A body without length then ends with the connection.
   */
  ReadResult Read(Message& message, bool is_response, TimePoint until);

 private:
  ReadResult Fill(TimePoint until);
  ReadResult ReadHead(Message& message, TimePoint until);
  ReadResult ReadSized(std::string& body, std::size_t size, TimePoint until);
  ReadResult ReadChunks(std::string& body, TimePoint until);
  ReadResult ReadLine(std::string& line, TimePoint until);

  const Socket& socket;
  std::string buffer;
};

/** @return The value of a parameter of a target's query; empty if absent. */
std::string QueryParameter(const std::string& target, const std::string& name);

}  // namespace review

#endif  // REVIEW_COMMON_NET_H_
