/** @file dialogue_connection.cc A connection that carries messages. */

#include "wire/dialogue_connection.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "wire/codec.h"

namespace buckthornpath {

namespace {

using asio::experimental::awaitable_operators::operator||;

constexpr auto kAwaitResult = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kMaxFrameBytes = 80 * 1024 * 1024;

/** Longest time that one message may take to leave. */
constexpr std::chrono::milliseconds kSendTimeout{5000};

void ThrowIf(boost::system::error_code error, const char* step) {
  if (error)
    throw DialogueLost(std::string(step) + ": " + error.message());
}

asio::awaitable<void> Expire(std::chrono::milliseconds time) {
  co_await SleepFor(time);
}

}  // namespace

DialogueConnection::DialogueConnection(asio::ip::tcp::socket socket)
    : socket(std::move(socket)) {
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<std::unique_ptr<DialogueConnection>>
DialogueConnection::Connect(SocketAddress address,
                            std::chrono::milliseconds timeout) {
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  auto result =
      co_await (socket.async_connect(address, kAwaitResult) || Expire(timeout));
  if (result.index() == 1)
    throw DialogueLost("connect: timeout");
  ThrowIf(std::get<0>(std::get<0>(result)), "connect");
  co_return std::make_unique<DialogueConnection>(std::move(socket));
}

asio::awaitable<std::string> DialogueConnection::ReceiveFrame() {
  std::array<unsigned char, 4> header{};
  auto [header_error, header_size] = co_await asio::async_read(
      this->socket, asio::buffer(header), kAwaitResult);
  ThrowIf(header_error, "receive");
  const std::uint32_t length = boost::endian::load_big_u32(header.data());
  if (length > kMaxFrameBytes)
    throw DialogueLost("receive: frame too long");
  std::string bytes(length, '\0');
  auto [error, size] = co_await asio::async_read(
      this->socket, asio::buffer(bytes), kAwaitResult);
  ThrowIf(error, "receive");
  co_return bytes;
}

asio::awaitable<Message> DialogueConnection::Receive(
    std::chrono::milliseconds timeout) {
  while (true) {
    auto result = co_await (this->ReceiveFrame() || Expire(timeout));
    if (result.index() == 1)
      throw DialogueLost("receive: silent");
    try {
      co_return DecodeMessage(std::get<0>(result));
    } catch (const MalformedMessage& fault) {
      ProcessMetrics().Add("malformed_messages_total");
      LogLine(LogLevel::kWarning, "malformed_message",
              {{"reason", fault.what()}});
    }
  }
}

asio::awaitable<void> DialogueConnection::Send(Message message) {
  const std::string bytes = EncodeMessage(message);
  std::array<unsigned char, 4> header{};
  boost::endian::store_big_u32(header.data(),
                               static_cast<std::uint32_t>(bytes.size()));
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(header),
                                                     asio::buffer(bytes)};
  auto result =
      co_await (asio::async_write(this->socket, buffers, kAwaitResult) ||
                Expire(kSendTimeout));
  if (result.index() == 1)
    throw DialogueLost("send: timeout");
  ThrowIf(std::get<0>(std::get<0>(result)), "send");
}

void DialogueConnection::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace buckthornpath
