/** @file caller_connection.cc HTTP connection of a caller (server side). */

#include "gateway/caller_connection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/socket_option.h"

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

/** Size of one read from a caller. */
constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

/** Limit of pipelined bytes that are read while a request is in progress. */
constexpr std::size_t kMostBytesAhead = std::size_t{64} * 1024;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;

/** @return HTTP status for a request that cannot be parsed. */
unsigned StatusOfFault(const boost::system::error_code& error) {
  if (error == http::error::header_limit)
    return kHeaderTooLarge;
  return error == http::error::body_limit ? kBodyTooLarge : kBadRequest;
}

/** @return True if the body length is given more than once, or with a transfer
 * coding other than chunked; such requests allow request smuggling. */
bool IsFramingAmbiguous(const http::fields& header) {
  const auto codings = header.count(http::field::transfer_encoding);
  if (codings == 0)
    return header.count(http::field::content_length) > 1;
  return codings > 1 || header.count(http::field::content_length) > 0 ||
         !beast::iequals(header[http::field::transfer_encoding], "chunked");
}

std::string ChunkSize(std::size_t size) {
  constexpr int kHexadecimal = 16;
  std::array<char, 2 * sizeof(size)> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), size, kHexadecimal);
  return std::string(digits.data(), end) + "\r\n";
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   CallerServerContext& context)
    : socket(std::move(socket)),
      context(context),
      arrived(this->socket.get_executor()),
      idle_since(Clock::now()) {
  SetConnectionOptions(this->socket);
}

asio::awaitable<void> CallerConnection::Run() {
  while (this->keeps_open) {
    const bool is_read = co_await this->ReadRequest();
    // A request is not executed if its response could not be sent.
    if (!is_read || !this->socket.is_open())
      break;
    this->is_busy = true;
    co_await this->context.Serve(*this);
    this->on_gone = nullptr;
    this->is_busy = false;
    this->idle_since = Clock::now();
    this->message = {};
  }
  this->Close();
}

void CallerConnection::Close() {
  // Closing a socket with unread input sends a TCP reset, which may discard
  // the response before the caller has read it.
  boost::system::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  std::array<char, kReadBytes> rest{};
  this->socket.non_blocking(true, ignored);
  this->socket.read_some(asio::buffer(rest), ignored);
  this->socket.close(ignored);
  this->is_gone = true;
}

asio::awaitable<bool> CallerConnection::ReadRequest() {
  const CallerLimits limits = this->context.Limits();
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);
  parser.eager(true);
  this->received_at = {};
  this->is_continue_sent = false;
  while (!parser.is_done()) {
    std::size_t used = 0;
    boost::system::error_code error;
    if (this->input.size() > 0) {
      if (this->received_at == Clock::time_point{})
        this->received_at = Clock::now();
      used = parser.put(this->input.data(), error);
      this->input.consume(used);
    }
    if (error && error != http::error::need_more) {
      co_await this->RefuseUnread(StatusOfFault(error));
      co_return false;
    }
    if (parser.is_header_done() && IsFramingAmbiguous(parser.get().base())) {
      co_await this->RefuseUnread(kBadRequest);
      co_return false;
    }
    if (parser.is_done() || used > 0)
      continue;
    if (this->is_gone)
      co_return false;
    co_await this->SendContinue(parser);
    this->ArmRead();
    co_await this->arrived.Wait();
  }
  this->message = parser.release();
  this->keeps_open = this->message.keep_alive();
  this->ArmRead();
  co_return true;
}

asio::awaitable<void> CallerConnection::SendContinue(const Parser& parser) {
  if (!parser.is_header_done() || this->is_continue_sent ||
      !beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    co_return;
  }
  this->is_continue_sent = true;
  co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

asio::awaitable<void> CallerConnection::RefuseUnread(unsigned status) {
  ProcessMetrics().Add("requests_unread_total",
                       "status=\"" + std::to_string(status) + "\"");
  this->keeps_open = false;
  const HeaderFieldList fields;
  co_await this->Send(status, fields, std::string());
}

void CallerConnection::ArmRead() {
  if (this->is_reading || this->is_gone ||
      this->input.size() >= kMostBytesAhead) {
    return;
  }
  this->is_reading = true;
  this->socket.async_read_some(
      this->input.prepare(kReadBytes),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t size) {
        self->is_reading = false;
        self->input.commit(size);
        if (error) {
          self->is_gone = true;
          if (auto handler = std::exchange(self->on_gone, nullptr))
            handler();
        }
        self->arrived.Set();
        if (!error && self->is_busy)
          self->ArmRead();
      });
}

void CallerConnection::Sweep(Clock::time_point now) {
  if (this->is_busy || this->is_gone)
    return;
  const CallerLimits limits = this->context.Limits();
  // A request that was sent within the idle limit may still be in transit.
  const milliseconds longest = limits.idle_timeout + limits.header_timeout;
  if (this->received_at == Clock::time_point{}) {
    if (now - this->idle_since > longest)
      this->CloseIfIdle();
  } else if (now - this->received_at > longest) {
    ProcessMetrics().Add("requests_unread_total",
                         "status=\"" + std::to_string(kRequestTimeout) + "\"");
    this->BreakOff();
  }
}

bool CallerConnection::HasArrivals() const {
  boost::system::error_code ignored;
  return this->input.size() > 0 || this->received_at != Clock::time_point{} ||
         this->socket.available(ignored) > 0;
}

void CallerConnection::CloseIfIdle() {
  if (!this->is_busy && !this->HasArrivals())
    this->BreakOff();
}

void CallerConnection::OnGone(std::function<void()> handler) {
  this->on_gone = std::move(handler);
}

std::string CallerConnection::HeadText(unsigned status,
                                       const HeaderFieldList& fields) const {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += std::string(http::obsolete_reason(http::int_to_status(status)));
  text += "\r\n";
  for (const auto& [name, value] : fields) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!this->keeps_open)
    text += "Connection: close\r\n";
  return text;
}

asio::awaitable<void> CallerConnection::Write(std::string bytes) {
  if (this->is_gone)
    co_return;
  const auto [error, size] = co_await asio::async_write(
      this->socket, asio::buffer(bytes), kAwaitResult);
  if (!error || this->is_gone)
    co_return;
  this->is_gone = true;
  if (auto handler = std::exchange(this->on_gone, nullptr))
    handler();
}

asio::awaitable<void> CallerConnection::Send(unsigned status,
                                             const HeaderFieldList& fields,
                                             std::string body) {
  if (this->context.IsDraining())
    this->keeps_open = false;
  std::string bytes = this->HeadText(status, fields);
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (this->message.method() != http::verb::head)
    bytes += body;
  co_await this->Write(std::move(bytes));
}

asio::awaitable<void> CallerConnection::BeginStream(
    unsigned status,
    const HeaderFieldList& fields,
    std::string_view piece) {
  if (this->context.IsDraining())
    this->keeps_open = false;
  std::string bytes = this->HeadText(status, fields);
  bytes += "Transfer-Encoding: chunked\r\n\r\n";
  if (!piece.empty())
    bytes.append(ChunkSize(piece.size())).append(piece).append("\r\n");
  co_await this->Write(std::move(bytes));
}

asio::awaitable<void> CallerConnection::SendPiece(std::string_view piece) {
  if (piece.empty())
    co_return;
  std::string bytes = ChunkSize(piece.size());
  bytes.append(piece).append("\r\n");
  co_await this->Write(std::move(bytes));
}

asio::awaitable<void> CallerConnection::EndStream() {
  co_await this->Write("0\r\n\r\n");
}

void CallerConnection::BreakOff() {
  this->keeps_open = false;
  this->is_gone = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->arrived.Set();
}

}  // namespace buckthornpath
