/** @file message_connection.cc A connection that carries messages. */

#include "wire/message_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "wire/message_codec.h"

namespace buckthornpath {

namespace {

using asio::experimental::awaitable_operators::operator||;

constexpr std::size_t kHeaderBytes = 4;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
constexpr std::uint32_t kMaxFrameBytes = 80 * 1024 * 1024;

/** Time limit for sending a message and for its acknowledgement by TCP. */
constexpr std::chrono::milliseconds kSendTimeout{5000};

void ThrowOnError(boost::system::error_code error, const char* step) {
  if (error)
    throw ConnectionLost(std::string(step) + ": " + error.message());
}

void RecordMalformedMessage(const char* reason) {
  ProcessMetrics().Add("malformed_messages_total");
  LogLine(LogLevel::kWarning, "malformed_message", {{"reason", reason}});
}

asio::awaitable<void> WaitForTimeout(std::chrono::milliseconds time_limit) {
  co_await SleepFor(time_limit);
}

}  // namespace

/** Closes a socket if an operation on it exceeds its time limit. */
class MessageConnection::Deadline {
 public:
  explicit Deadline(asio::ip::tcp::socket& socket)
      : socket(socket), timer(socket.get_executor()) {}
  ~Deadline() { *this->active_operation = 0; }
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  /**
   * Starts the time limit of an operation.
   * @param executor Strand of the coroutine that waits for the operation.
   */
  void Begin(const asio::any_io_executor& executor,
             std::chrono::milliseconds time_limit) {
    const std::uint64_t operation = ++this->last_operation;
    *this->active_operation = operation;
    this->has_expired = false;
    this->timer.expires_after(time_limit);
    this->timer.async_wait(asio::bind_executor(
        executor, [this, operation,
                   active_operation = this->active_operation](auto error) {
          if (error || *active_operation != operation)
            return;
          this->has_expired = true;
          boost::system::error_code ignored;
          this->socket.close(ignored);
        }));
  }

  /** Ends the operation. @return True if its time limit was exceeded. */
  bool End() {
    *this->active_operation = 0;
    this->timer.cancel();
    return this->has_expired;
  }

 private:
  asio::ip::tcp::socket& socket;
  asio::steady_timer timer;
  std::uint64_t last_operation = 0;
  /**
   * Number of the operation in progress, or 0. Shared with the timer handlers,
   * which may run after this object is destroyed.
   */
  std::shared_ptr<std::uint64_t> active_operation =
      std::make_shared<std::uint64_t>(0);
  bool has_expired = false;
};

MessageConnection::MessageConnection(asio::ip::tcp::socket socket)
    : socket(std::move(socket)),
      receive_deadline(std::make_unique<Deadline>(this->socket)),
      send_deadline(std::make_unique<Deadline>(this->socket)) {
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto unacknowledged = static_cast<int>(kSendTimeout.count());
  setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &unacknowledged, sizeof(unacknowledged));
}

MessageConnection::~MessageConnection() = default;

asio::awaitable<std::unique_ptr<MessageConnection>> MessageConnection::Connect(
    SocketAddress address,
    std::chrono::milliseconds timeout) {
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  auto result = co_await (socket.async_connect(address, kAwaitResult) ||
                          WaitForTimeout(timeout));
  if (result.index() == 1)
    throw ConnectionLost("connect: timeout");
  ThrowOnError(std::get<0>(std::get<0>(result)), "connect");
  co_return std::make_unique<MessageConnection>(std::move(socket));
}

asio::awaitable<void> MessageConnection::FillBuffer(std::size_t size) {
  while (this->receive_buffer.size() < size) {
    std::array<char, kReadBufferBytes> read_buffer{};
    auto [error, bytes_read] = co_await this->socket.async_read_some(
        asio::buffer(read_buffer), kAwaitResult);
    ThrowOnError(error, "receive");
    this->receive_buffer.append(read_buffer.data(), bytes_read);
  }
}

asio::awaitable<std::string> MessageConnection::ReceiveFrame() {
  co_await this->FillBuffer(kHeaderBytes);
  const std::uint32_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(this->receive_buffer.data()));
  if (length > kMaxFrameBytes) {
    RecordMalformedMessage("frame too long");
    throw ConnectionLost("receive: frame too long");
  }
  co_await this->FillBuffer(kHeaderBytes + length);
  std::string bytes = this->receive_buffer.substr(kHeaderBytes, length);
  this->receive_buffer.erase(0, kHeaderBytes + length);
  co_return bytes;
}

asio::awaitable<Message> MessageConnection::Receive(
    std::chrono::milliseconds timeout) {
  const auto executor = co_await asio::this_coro::executor;
  while (true) {
    this->receive_deadline->Begin(executor, timeout);
    std::string bytes;
    std::string failure;
    try {
      bytes = co_await this->ReceiveFrame();
    } catch (const ConnectionLost& error) {
      failure = error.what();
    }
    if (this->receive_deadline->End())
      throw ConnectionLost("receive: silent");
    if (!failure.empty())
      throw ConnectionLost(failure);
    try {
      co_return DecodeMessage(bytes);
    } catch (const MalformedMessage& error) {
      RecordMalformedMessage(error.what());
    }
  }
}

asio::awaitable<void> MessageConnection::Send(Message message) {
  const std::string bytes = EncodeMessage(message);
  std::array<unsigned char, kHeaderBytes> header{};
  boost::endian::store_big_u32(header.data(),
                               static_cast<std::uint32_t>(bytes.size()));
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(header),
                                                     asio::buffer(bytes)};
  const auto executor = co_await asio::this_coro::executor;
  this->send_deadline->Begin(executor, kSendTimeout);
  auto [error, size] =
      co_await asio::async_write(this->socket, buffers, kAwaitResult);
  if (this->send_deadline->End())
    throw ConnectionLost("send: timeout");
  ThrowOnError(error, "send");
}

bool MessageConnection::IsIdle() {
  if (!this->socket.is_open() || !this->receive_buffer.empty())
    return false;
  char byte = 0;
  const ssize_t bytes_read =
      recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes_read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void MessageConnection::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace buckthornpath
