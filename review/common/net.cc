/** @file net.cc Sockets and HTTP/1.1 messages of the stand-ins. */

#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

namespace review {

namespace {

constexpr int kBacklog = 512;

sockaddr_in ToNative(const Address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

int MillisecondsUntil(TimePoint until) {
  const auto left = std::chrono::ceil<milliseconds>(until - Clock::now());
  return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 60000));
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  this->Close();
  this->fd = std::exchange(other.fd, -1);
  return *this;
}

Socket Socket::Listen(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = ToNative(address);
  if (bind(socket.fd, reinterpret_cast<const sockaddr*>(&native),
           sizeof(native)) != 0 ||
      listen(socket.fd, kBacklog) != 0)
    socket.Close();
  return socket;
}

Socket Socket::Connect(const Address& address, milliseconds timeout) {
  Socket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in native = ToNative(address);
  const int result = connect(
      socket.fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  if (result != 0 && errno != EINPROGRESS) {
    socket.Close();
    return socket;
  }
  pollfd wait{socket.fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&wait, 1, static_cast<int>(timeout.count())) <= 0 ||
      getsockopt(socket.fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    socket.Close();
    return socket;
  }
  fcntl(socket.fd, F_SETFL, fcntl(socket.fd, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(socket.fd);
  return socket;
}

Socket Socket::Accept() const {
  Socket accepted(accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC));
  if (accepted.IsOpen())
    SetNoDelay(accepted.fd);
  return accepted;
}

bool Socket::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool Socket::Receive(std::string& buffer, TimePoint until) const {
  pollfd wait{this->fd, POLLIN, 0};
  if (poll(&wait, 1, MillisecondsUntil(until)) <= 0)
    return false;
  char bytes[16384];
  const ssize_t size = recv(this->fd, bytes, sizeof(bytes), 0);
  if (size <= 0)
    return false;
  buffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool Socket::HasInputBy(TimePoint until) const {
  pollfd wait{this->fd, POLLIN, 0};
  return poll(&wait, 1, MillisecondsUntil(until)) > 0;
}

bool Socket::IsClosedBy(TimePoint until) const {
  char byte = 0;
  return this->HasInputBy(until) && recv(this->fd, &byte, 1, MSG_PEEK) <= 0;
}

void Socket::Shutdown() const {
  shutdown(this->fd, SHUT_RDWR);
}

void Socket::Close() {
  if (this->fd >= 0)
    close(this->fd);
  this->fd = -1;
}

std::string Message::Field(const std::string& name) const {
  for (const auto& [field, value] : this->fields) {
    if (strcasecmp(field.c_str(), name.c_str()) == 0)
      return value;
  }
  return "";
}

std::string Message::Word(std::size_t index) const {
  std::size_t begin = 0;
  for (; index > 0 && begin != std::string::npos; --index) {
    begin = this->start_line.find(' ', begin);
    if (begin != std::string::npos)
      ++begin;
  }
  if (begin == std::string::npos)
    return "";
  return this->start_line.substr(begin,
                                 this->start_line.find(' ', begin) - begin);
}

ReadResult MessageReader::Fill(TimePoint until) {
  if (this->socket.Receive(this->buffer, until))
    return ReadResult::kComplete;
  return Clock::now() >= until ? ReadResult::kTimeout : ReadResult::kEnded;
}

ReadResult MessageReader::ReadLine(std::string& line, TimePoint until) {
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n")) == std::string::npos) {
    const ReadResult result = this->Fill(until);
    if (result != ReadResult::kComplete)
      return result;
  }
  line = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 2);
  return ReadResult::kComplete;
}

ReadResult MessageReader::ReadHead(Message& message, TimePoint until) {
  ReadResult result = this->ReadLine(message.start_line, until);
  std::string line;
  while (result == ReadResult::kComplete) {
    result = this->ReadLine(line, until);
    if (result != ReadResult::kComplete || line.empty())
      break;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      return ReadResult::kEnded;
    const std::size_t value =
        std::min(line.find_first_not_of(' ', colon + 1), line.size());
    message.fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return result;
}

ReadResult MessageReader::ReadSized(std::string& body,
                                    std::size_t size,
                                    TimePoint until) {
  while (true) {
    const std::size_t part = std::min(size, this->buffer.size());
    body.append(this->buffer, 0, part);
    this->buffer.erase(0, part);
    size -= part;
    if (size == 0)
      return ReadResult::kComplete;
    const ReadResult result = this->Fill(until);
    if (result != ReadResult::kComplete)
      return result;
  }
}

ReadResult MessageReader::ReadChunks(std::string& body, TimePoint until) {
  while (true) {
    std::string line;
    ReadResult result = this->ReadLine(line, until);
    if (result != ReadResult::kComplete)
      return result;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size > 0)
      result = this->ReadSized(body, size, until);
    if (result == ReadResult::kComplete)
      result = this->ReadLine(line, until);
    if (result != ReadResult::kComplete || size == 0)
      return result;
  }
}

ReadResult MessageReader::Read(Message& message,
                               bool is_response,
                               TimePoint until) {
  message = {};
  const ReadResult result = this->ReadHead(message, until);
  if (result != ReadResult::kComplete)
    return result;
  if (message.Field("Transfer-Encoding") == "chunked")
    return this->ReadChunks(message.body, until);
  const std::string length = message.Field("Content-Length");
  if (!length.empty())
    return this->ReadSized(message.body,
                           std::strtoul(length.c_str(), nullptr, 10), until);
  if (!is_response)
    return ReadResult::kComplete;
  while (this->Fill(until) == ReadResult::kComplete) {
  }
  message.body = std::exchange(this->buffer, "");
  return Clock::now() >= until ? ReadResult::kTimeout : ReadResult::kComplete;
}

std::string QueryParameter(const std::string& target, const std::string& name) {
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string part = target.substr(
        begin + 1, end == std::string::npos ? end : end - begin - 1);
    if (part.starts_with(name + "="))
      return part.substr(name.size() + 1);
    begin = end;
  }
  return "";
}

}  // namespace review
