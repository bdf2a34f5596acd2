/** @file fault_proxy.cc TCP proxy that injects faults. */

#include "harness/fault_proxy.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <cerrno>
#include <optional>
#include <stdexcept>

namespace buckthornpath {

namespace {

constexpr std::size_t kHeaderBytes = 4;

/** Receive timeout, after which a thread checks whether it has to stop. */
constexpr timeval kReceiveTimeout{0, 20000};

std::size_t IndexOf(Direction direction) {
  return direction == Direction::kToEndpoint ? 0 : 1;
}

/** Interval at which a proxy that is down looks whether it still is. */
constexpr std::chrono::milliseconds kDownPollInterval{5};

/** Interval at which held data looks whether it is released. */
constexpr std::chrono::milliseconds kHoldPollInterval{1};

/** Maximum size of one read of ProxyUnit::kBytes. */
constexpr std::size_t kMaxReadBytes = std::size_t{16} * 1024;

void SetReceiveTimeout(int socket) {
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout,
             sizeof(kReceiveTimeout));
}

/** @return False if the connection ended or a stop was requested. */
bool ReadAll(int socket,
             char* bytes,
             std::size_t size,
             const std::stop_token& stop) {
  std::size_t done = 0;
  while (done < size) {
    const ssize_t got = recv(socket, bytes + done, size - done, 0);
    if (got > 0) {
      done += static_cast<std::size_t>(got);
      continue;
    }
    const bool is_retryable = got < 0 && (errno == EAGAIN || errno == EINTR);
    if (!is_retryable || stop.stop_requested())
      return false;
  }
  return true;
}

std::optional<std::string> ReadFrame(int socket, const std::stop_token& stop) {
  std::string frame(kHeaderBytes, '\0');
  if (!ReadAll(socket, frame.data(), kHeaderBytes, stop))
    return std::nullopt;
  const std::uint32_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(frame.data()));
  frame.resize(kHeaderBytes + length);
  if (!ReadAll(socket, frame.data() + kHeaderBytes, length, stop))
    return std::nullopt;
  return frame;
}

std::optional<std::string> ReadBytes(int socket, const std::stop_token& stop) {
  std::string bytes(kMaxReadBytes, '\0');
  if (!ReadAll(socket, bytes.data(), 1, stop))
    return std::nullopt;
  const ssize_t more =
      recv(socket, bytes.data() + 1, bytes.size() - 1, MSG_DONTWAIT);
  bytes.resize(1 + static_cast<std::size_t>(std::max<ssize_t>(more, 0)));
  return bytes;
}

std::optional<std::string> ReadUnit(ProxyUnit unit,
                                    int socket,
                                    const std::stop_token& stop) {
  return unit == ProxyUnit::kFrame ? ReadFrame(socket, stop)
                                   : ReadBytes(socket, stop);
}

void SendAll(int socket, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent =
        send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0)
      return;
    done += static_cast<std::size_t>(sent);
  }
}

int ConnectTo(const SocketAddress& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (connect(socket, address.data(), static_cast<socklen_t>(address.size())) !=
      0) {
    close(socket);
    return -1;
  }
  return socket;
}

}  // namespace

/** A connection from a router and its connection to the endpoint process. */
struct FaultProxy::ConnectionPair {
  explicit ConnectionPair(int router, int endpoint)
      : sockets{router, endpoint} {}
  ~ConnectionPair() {
    for (const int socket : this->sockets)
      close(socket);
  }
  ConnectionPair(const ConnectionPair&) = delete;
  ConnectionPair& operator=(const ConnectionPair&) = delete;

  int Source(Direction direction) const {
    return this->sockets.at(IndexOf(direction));
  }
  int Sink(Direction direction) const {
    return this->sockets.at(1 - IndexOf(direction));
  }
  void Cut() const {
    for (const int socket : this->sockets)
      shutdown(socket, SHUT_RDWR);
  }

  std::array<int, 2> sockets;  ///< To the router and to the endpoint.
  std::array<std::atomic<bool>, 2> is_dropping{};
  std::atomic<bool> is_released = false;  ///< Not held back.
  std::array<unsigned, 2> forwarded{};
  std::array<std::string, 2> held_back;  ///< To be sent after the next message.
};

FaultProxy::FaultProxy(const SocketAddress& listen,
                       SocketAddress target,
                       ProxyUnit unit)
    : address(listen), target(std::move(target)), unit(unit) {
  this->Listen();
  this->acceptor = std::jthread(
      [this](const std::stop_token& stop) { this->AcceptAll(stop); });
}

void FaultProxy::Listen() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(socket, this->address.data(),
           static_cast<socklen_t>(this->address.size())) != 0 ||
      ::listen(socket, SOMAXCONN) != 0) {
    close(socket);
    throw std::runtime_error("fault proxy: cannot listen on its address");
  }
  SetReceiveTimeout(socket);
  this->listener = socket;
}

void FaultProxy::SetDown(bool down) {
  if (down) {
    shutdown(this->listener, SHUT_RDWR);
    this->CutAll();
  }
  this->is_down = down;
}

FaultProxy::~FaultProxy() {
  this->acceptor.request_stop();
  this->acceptor.join();
  this->CutAll();
  this->relays.clear();
  close(this->listener);
}

void FaultProxy::AcceptAll(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (this->is_down) {
      // The acceptor alone closes the socket and opens another one.
      close(this->listener.exchange(-1));
      while (this->is_down && !stop.stop_requested())
        std::this_thread::sleep_for(kDownPollInterval);
      this->Listen();
    }
    const int router = accept(this->listener, nullptr, nullptr);
    if (router < 0)
      continue;
    const int endpoint = this->refusing ? -1 : ConnectTo(this->target);
    if (endpoint < 0) {
      close(router);
      continue;
    }
    ++this->accepted;
    SetReceiveTimeout(router);
    SetReceiveTimeout(endpoint);
    auto connection = std::make_shared<ConnectionPair>(router, endpoint);
    {
      const std::lock_guard lock(this->mutex);
      std::erase_if(this->connections,
                    [](const auto& old) { return old.expired(); });
      this->connections.push_back(connection);
    }
    for (const Direction direction :
         {Direction::kToEndpoint, Direction::kToRouter}) {
      this->relays.emplace_back(
          [this, connection, direction](const std::stop_token& stop_relay) {
            this->Relay(stop_relay, connection, direction);
          });
    }
  }
}

void FaultProxy::Relay(const std::stop_token& stop,
                       const std::shared_ptr<ConnectionPair>& connection,
                       Direction direction) {
  while (auto frame =
             ReadUnit(this->unit, connection->Source(direction), stop)) {
    const auto delay = this->CurrentFaults().delay;
    if (delay.count() > 0)
      std::this_thread::sleep_for(delay);
    this->AwaitRelease(stop, *connection, direction);
    if (!connection->is_dropping.at(IndexOf(direction)))
      this->ForwardFrame(*connection, direction, std::move(*frame));
  }
  this->AwaitRelease(stop, *connection, direction);
  if (!connection->is_dropping.at(IndexOf(direction)))
    shutdown(connection->Sink(direction), SHUT_WR);
}

void FaultProxy::AwaitRelease(const std::stop_token& stop,
                              const ConnectionPair& connection,
                              Direction direction) const {
  while (direction == Direction::kToRouter && this->is_holding &&
         !connection.is_released && !stop.stop_requested())
    std::this_thread::sleep_for(kHoldPollInterval);
}

void FaultProxy::Hold() {
  for (const auto& connection : this->OpenConnections())
    connection->is_released = false;
  this->is_holding = true;
}

void FaultProxy::ReleaseOpen() {
  for (const auto& connection : this->OpenConnections())
    connection->is_released = true;
}

void FaultProxy::ForwardFrame(ConnectionPair& connection,
                              Direction direction,
                              std::string frame) {
  const FrameFaults current = this->CurrentFaults();
  const unsigned count = ++connection.forwarded.at(IndexOf(direction));
  std::string& held_back = connection.held_back.at(IndexOf(direction));
  if (current.reorder_every > 0 && count % current.reorder_every == 0 &&
      held_back.empty()) {
    held_back = std::move(frame);
    return;
  }
  const int sink = connection.Sink(direction);
  SendAll(sink, frame);
  if (current.duplicate_every > 0 && count % current.duplicate_every == 0)
    SendAll(sink, frame);
  SendAll(sink, held_back);
  held_back.clear();
}

FrameFaults FaultProxy::CurrentFaults() {
  const std::lock_guard lock(this->mutex);
  return this->faults;
}

void FaultProxy::SetFrameFaults(FrameFaults next) {
  const std::lock_guard lock(this->mutex);
  this->faults = next;
}

std::vector<std::shared_ptr<FaultProxy::ConnectionPair>>
FaultProxy::OpenConnections() {
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<ConnectionPair>> open;
  for (const auto& weak : this->connections) {
    if (auto connection = weak.lock())
      open.push_back(std::move(connection));
  }
  return open;
}

void FaultProxy::CutAll() {
  for (const auto& connection : this->OpenConnections())
    connection->Cut();
}

void FaultProxy::CutDirection(Direction direction) {
  for (const auto& connection : this->OpenConnections()) {
    connection->is_dropping.at(IndexOf(direction)) = true;
    shutdown(connection->Sink(direction), SHUT_WR);
  }
}

void FaultProxy::SilenceOpen(Direction direction) {
  for (const auto& connection : this->OpenConnections())
    connection->is_dropping.at(IndexOf(direction)) = true;
}

void FaultProxy::SilenceOpen() {
  this->SilenceOpen(Direction::kToEndpoint);
  this->SilenceOpen(Direction::kToRouter);
}

}  // namespace buckthornpath
