/** @file endpoint_connection.cc HTTP connection to an endpoint. */

#include "gateway/endpoint_connection.h"

#include <sys/socket.h>

#include <boost/beast/http/write.hpp>
#include <utility>

#include "gateway/cancellable_timer.h"
#include "gateway/wake_signal.h"
#include "kernel/socket_option.h"

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Size of one read from an endpoint; an event of a stream is far smaller. */
constexpr std::size_t kReadBytes = std::size_t{4} * 1024;

/** Limit of the size of a response header. */
constexpr std::uint32_t kHeaderBytes = std::uint32_t{64} * 1024;

/** Limit of input that is not parsed yet, such as a trailer without an end. */
constexpr std::size_t kMaxBufferedBytes = std::size_t{128} * 1024;

}  // namespace

EndpointConnection::EndpointConnection(const asio::any_io_executor& executor)
    : socket(executor), executor(executor), buffer(kMaxBufferedBytes) {}

asio::awaitable<EndpointConnection::ErrorCode> EndpointConnection::Connect(
    SocketAddress address,
    std::chrono::milliseconds timeout) {
  this->address = address;
  CancellableTimer timer(this->executor);
  timer.Set(Clock::now() + timeout, [this] { this->Close(); });
  const auto [error] =
      co_await this->socket.async_connect(address, kAwaitResult);
  timer.Cancel();
  if (error)
    co_return error;
  if (!this->socket.is_open())
    co_return asio::error::operation_aborted;
  SetConnectionOptions(this->socket);
  this->opened_at = Clock::now();
  co_return ErrorCode();
}

asio::awaitable<EndpointConnection::ErrorCode> EndpointConnection::Send(
    const ForwardRequest& request) {
  const auto [error, size] =
      co_await http::async_write(this->socket, request, kAwaitResult);
  co_return error;
}

asio::awaitable<EndpointConnection::ErrorCode> EndpointConnection::ReadHead(
    bool is_head_request) {
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    const ErrorCode error = co_await this->ReadNextHead(is_head_request);
    if (error || !IsInterimResponse(this->Head()))
      co_return error;
  }
  co_return http::error::bad_status;
}

asio::awaitable<EndpointConnection::ErrorCode> EndpointConnection::ReadNextHead(
    bool is_head_request) {
  this->parser.emplace();
  this->parser->header_limit(kHeaderBytes);
  this->parser->body_limit(boost::none);
  this->parser->skip(is_head_request);
  HeadScanner scanner;
  std::size_t size = scanner.FindEnd(this->Buffered());
  while (size == 0) {
    if (this->buffer.size() > kHeaderBytes)
      co_return http::error::header_limit;
    const ErrorCode error = co_await this->ReadFromSocket();
    if (error)
      co_return error;
    size = scanner.FindEnd(this->Buffered());
  }
  if (HasFoldedLine(this->Buffered().substr(0, size)))
    co_return http::error::bad_obs_fold;
  const ErrorCode error = this->ParseBuffered();
  if (error)
    co_return error;
  // The parser adds the fields of a trailer to those that it holds.
  this->head = this->parser->get();
  this->parser->eager(true);
  co_return CheckResponseHead(this->Head(), is_head_request);
}

asio::awaitable<EndpointConnection::ErrorCode> EndpointConnection::ReadBody(
    std::string& chunk) {
  // Body bytes that arrived with the head are returned without another read.
  if (this->parser->get().body().empty() && !this->parser->is_done()) {
    const ErrorCode error = co_await this->ReadMore();
    if (error)
      co_return error;
  }
  chunk = std::exchange(this->parser->get().body(), std::string());
  co_return ErrorCode();
}

EndpointConnection::ErrorCode EndpointConnection::ParseBuffered() {
  ErrorCode error;
  const std::size_t used = this->parser->put(this->buffer.data(), error);
  this->buffer.consume(used);
  return error == http::error::need_more ? ErrorCode() : error;
}

asio::awaitable<EndpointConnection::ErrorCode> EndpointConnection::ReadMore() {
  if (this->buffer.size() > 0) {
    const std::size_t size_before = this->buffer.size();
    const ErrorCode error = this->ParseBuffered();
    if (error || this->buffer.size() != size_before || this->parser->is_done())
      co_return error;
  }
  const ErrorCode error = co_await this->ReadFromSocket();
  if (error == asio::error::eof) {
    ErrorCode end_error;
    this->parser->put_eof(end_error);
    co_return end_error;
  }
  if (error)
    co_return error;
  co_return this->ParseBuffered();
}

asio::awaitable<EndpointConnection::ErrorCode>
EndpointConnection::ReadFromSocket() {
  if (this->buffer.size() + kReadBytes > this->buffer.max_size())
    co_return http::error::buffer_overflow;
  const auto [error, size] = co_await this->socket.async_read_some(
      this->buffer.prepare(kReadBytes), kAwaitResult);
  this->buffer.commit(size);
  co_return error;
}

std::string_view EndpointConnection::Buffered() const {
  const auto bytes = this->buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

bool EndpointConnection::IsReusable() const {
  if (!this->socket.is_open() || this->buffer.size() > 0)
    return false;
  // Without a parser, the connection has carried no request yet.
  return !this->parser ||
         (this->parser->is_done() && this->parser->keep_alive() &&
          !this->parser->need_eof());
}

bool EndpointConnection::IsIdle() {
  char byte = 0;
  const ssize_t size =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void EndpointConnection::Close() {
  ErrorCode ignored;
  this->socket.close(ignored);
}

}  // namespace buckthornpath
