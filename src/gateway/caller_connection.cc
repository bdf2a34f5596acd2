/** @file caller_connection.cc HTTP connection of a caller (server side). */

#include "gateway/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <iterator>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/socket_option.h"
#include "kernel/socket_state.h"

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

/** Size of one read from a caller. */
constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

/** Limit of pipelined bytes that are read while a request is in progress. */
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kUnavailable = 503;

/** Seconds after which a caller may return that was refused for lack of room:
 * the time in which stalled requests are refused. */
constexpr const char* kNoRoomRetryAfter = "1.000";

/** Memory of one parsed header field beside its text. */
constexpr std::size_t kFieldOverhead = 96;

/** @return HTTP status for a request that cannot be parsed. */
unsigned StatusForError(const boost::system::error_code& error) {
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

std::string FormatChunkSize(std::size_t size) {
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
      input_signal(this->socket.get_executor()),
      input_share(context.BufferedBytes()),
      header_share(context.BufferedBytes()),
      idle_since(Clock::now()),
      advanced_at(this->idle_since) {
  SetConnectionOptions(this->socket);
}

asio::awaitable<void> CallerConnection::Run() {
  while (this->is_persistent) {
    const bool is_read = co_await this->ReadRequest();
    // A request is not executed if its response could not be sent.
    if (!is_read || !this->socket.is_open())
      break;
    this->is_busy = true;
    co_await this->context.Serve(*this);
    this->disconnect_handler = nullptr;
    this->cut_off_handler = nullptr;
    this->is_busy = false;
    this->idle_since = Clock::now();
    this->advanced_at = this->idle_since;
    this->request = {};
    this->header_share.ReleaseAll();
  }
  this->Close();
}

void CallerConnection::Close() {
  // Closing a socket with unread input sends a TCP reset, which may discard
  // the response before the caller has read it.
  boost::system::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  std::array<char, kReadBytes> unread{};
  this->socket.non_blocking(true, ignored);
  this->socket.read_some(asio::buffer(unread), ignored);
  this->socket.close(ignored);
  this->is_disconnected = true;
}

void CallerConnection::BeginRequest(const CallerLimits& limits) {
  this->parser.emplace();
  this->parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  this->parser->body_limit(limits.body_bytes);
  this->parser->eager(true);
  this->parser->get().body() = SharedBytes(this->context.BufferedBytes());
  this->header_bytes = 0;
  this->received_at = {};
  this->is_continue_sent = false;
}

bool CallerConnection::ReserveWith(const std::function<bool()>& reserve) {
  while (!reserve()) {
    if (!this->context.MakeRoom(*this))
      return false;
  }
  return true;
}

bool CallerConnection::ReserveHeader(std::size_t consumed) {
  if (consumed == 0)
    return true;
  this->header_bytes += consumed;
  const auto& fields = this->parser->get().base();
  const auto count =
      static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
  const std::size_t size = this->header_bytes + count * kFieldOverhead;
  return this->ReserveWith([this, size] {
    return this->header_share.TryTake(size - this->header_share.Taken());
  });
}

bool CallerConnection::ReserveInput() {
  const std::size_t wanted = this->input.size() + kReadBytes;
  if (wanted <= std::max(this->input.capacity(), kReadBytes))
    return true;
  const std::size_t grown = std::max(wanted, 2 * this->input.size());
  if (grown <= this->input_share.Taken())
    return true;
  return this->input_share.TryTake(grown - this->input_share.Taken());
}

unsigned CallerConnection::ParseInput(std::size_t max_body_bytes,
                                      std::size_t& consumed) {
  if (this->input.size() == 0)
    return 0;
  if (this->received_at == Clock::time_point{})
    this->received_at = Clock::now();
  SharedBytes& body = this->parser->get().body();
  const bool is_in_header = !this->parser->is_header_done();
  std::size_t most = max_body_bytes;
  if (!is_in_header && this->parser->content_length())
    most = std::min<std::size_t>(*this->parser->content_length(), most);
  if (!this->ReserveWith(
          [&] { return body.TryReserve(this->input.size(), most); }))
    return kUnavailable;
  boost::system::error_code error;
  consumed = this->parser->put(this->input.data(), error);
  this->input.consume(consumed);
  if (error && error != http::error::need_more)
    return StatusForError(error);
  if (consumed > 0)
    this->advanced_at = Clock::now();
  if (this->parser->is_header_done() &&
      IsFramingAmbiguous(this->parser->get().base()))
    return kBadRequest;
  if (is_in_header && !this->ReserveHeader(consumed - body.Size()))
    return kUnavailable;
  // No line of a header or trailer is that long.
  if (consumed == 0 && this->input.size() >= kMaxPipelinedBytes)
    return kHeaderTooLarge;
  return 0;
}

asio::awaitable<bool> CallerConnection::ReadRequest() {
  const CallerLimits limits = this->context.Limits();
  this->BeginRequest(limits);
  unsigned refusal = 0;
  while (refusal == 0 && !this->parser->is_done()) {
    std::size_t consumed = 0;
    refusal = this->ParseInput(limits.body_bytes, consumed);
    if (refusal != 0 || this->parser->is_done() || consumed > 0)
      continue;
    if (this->is_disconnected)
      co_return false;
    co_await this->SendContinue();
    if (this->parser &&
        !this->ReserveWith([this] { return this->ReserveInput(); }))
      refusal = kUnavailable;
    if (refusal == 0 && this->parser) {
      this->StartRead();
      co_await this->input_signal.Wait();
    }
    // Another request may have needed the room meanwhile.
    if (!this->parser)
      refusal = kUnavailable;
  }
  if (refusal != 0) {
    this->parser.reset();
    this->header_share.ReleaseAll();
    co_await this->RejectRequest(refusal);
    co_return false;
  }
  this->request = this->parser->release();
  this->parser.reset();
  this->is_persistent = this->request.keep_alive();
  this->StartRead();
  co_return true;
}

void CallerConnection::RefuseUnread() {
  this->parser.reset();
  this->header_share.ReleaseAll();
  this->input_signal.Set();
}

UnreadRequest CallerConnection::Unread() const {
  UnreadRequest unread;
  if (this->parser)
    unread.held_bytes =
        this->parser->get().body().Reserved() + this->header_share.Taken();
  unread.begun_at = this->received_at == Clock::time_point{}
                        ? this->idle_since
                        : this->received_at;
  unread.advanced_at = this->advanced_at;
  return unread;
}

asio::awaitable<void> CallerConnection::SendContinue() {
  if (!this->parser->is_header_done() || this->is_continue_sent ||
      !beast::iequals(this->parser->get()[http::field::expect],
                      "100-continue")) {
    co_return;
  }
  this->is_continue_sent = true;
  co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

asio::awaitable<void> CallerConnection::RejectRequest(unsigned status) {
  ProcessMetrics().Add("requests_unread_total",
                       "status=\"" + std::to_string(status) + "\"");
  this->is_persistent = false;
  HeaderFieldList fields;
  if (status == kUnavailable)
    fields.emplace_back("Retry-After", kNoRoomRetryAfter);
  co_await this->Send(status, fields, std::string());
}

boost::system::error_code CallerConnection::ReadArrived() {
  boost::system::error_code error;
  this->socket.non_blocking(true, error);
  const std::size_t size =
      this->socket.read_some(this->input.prepare(kReadBytes), error);
  this->input.commit(size);
  return error == asio::error::would_block ? boost::system::error_code()
                                           : error;
}

void CallerConnection::StartRead() {
  if (this->is_reading || this->is_disconnected ||
      this->input.size() >= kMaxPipelinedBytes || !this->ReserveInput()) {
    return;
  }
  this->is_reading = true;
  // Memory for the bytes is prepared once they have arrived: memory prepared
  // before is invalid if input is consumed meanwhile.
  this->socket.async_wait(
      asio::socket_base::wait_read,
      [self =
           this->shared_from_this()](const boost::system::error_code& waited) {
        self->is_reading = false;
        const boost::system::error_code error =
            waited ? waited : self->ReadArrived();
        const bool was_closing_idle =
            std::exchange(self->is_closing_idle, false);
        if (was_closing_idle && error == asio::error::operation_aborted) {
          self->FinishClosingIdle();
          return;
        }
        if (error) {
          self->is_disconnected = true;
          if (auto handler = std::exchange(self->disconnect_handler, nullptr))
            handler();
        }
        self->input_signal.Set();
        if (!error && self->is_busy)
          self->StartRead();
      });
}

void CallerConnection::CloseIfTimedOut(Clock::time_point now) {
  if (this->is_busy || this->is_disconnected)
    return;
  const CallerLimits limits = this->context.Limits();
  // A request that was sent within the idle limit may still be in transit.
  const milliseconds timeout = limits.idle_timeout + limits.header_timeout;
  if (this->received_at == Clock::time_point{}) {
    if (now - this->idle_since > timeout)
      this->CloseIfIdle();
  } else if (now - this->received_at > timeout) {
    ProcessMetrics().Add("requests_unread_total",
                         "status=\"" + std::to_string(kRequestTimeout) + "\"");
    this->Abort();
  }
}

bool CallerConnection::HasPendingInput() const {
  boost::system::error_code ignored;
  return this->input.size() > 0 || this->received_at != Clock::time_point{} ||
         this->socket.available(ignored) > 0;
}

void CallerConnection::CloseIfIdle() {
  if (this->is_busy || this->HasPendingInput())
    return;
  if (!this->is_reading) {
    this->Abort();
    return;
  }
  // Bytes may have been read whose handler has not run yet. A cancelled read
  // tells: it either delivers them or is aborted.
  this->is_closing_idle = true;
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
}

void CallerConnection::FinishClosingIdle() {
  if (this->HasPendingInput())
    this->StartRead();
  else
    this->Abort();
}

bool CallerConnection::HasCallerLeft() {
  this->is_disconnected = this->is_disconnected || HasInputEnded(this->socket);
  return this->is_disconnected;
}

void CallerConnection::SetDisconnectHandler(std::function<void()> handler) {
  this->disconnect_handler = std::move(handler);
}

void CallerConnection::SetCutOffHandler(std::function<void()> handler) {
  this->cut_off_handler = std::move(handler);
}

void CallerConnection::CutOff() {
  if (auto handler = std::exchange(this->cut_off_handler, nullptr))
    handler();
}

std::string CallerConnection::FormatHead(unsigned status,
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
  if (!this->is_persistent)
    text += "Connection: close\r\n";
  return text;
}

asio::awaitable<void> CallerConnection::Write(std::string bytes) {
  if (this->is_disconnected)
    co_return;
  const auto [error, size] = co_await asio::async_write(
      this->socket, asio::buffer(bytes), kAwaitResult);
  if (!error || this->is_disconnected)
    co_return;
  this->is_disconnected = true;
  if (auto handler = std::exchange(this->disconnect_handler, nullptr))
    handler();
}

asio::awaitable<void> CallerConnection::Send(unsigned status,
                                             const HeaderFieldList& fields,
                                             std::string body) {
  if (this->context.IsDraining())
    this->is_persistent = false;
  std::string bytes = this->FormatHead(status, fields);
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (this->request.method() != http::verb::head)
    bytes += body;
  co_await this->Write(std::move(bytes));
}

asio::awaitable<void> CallerConnection::BeginStream(
    unsigned status,
    const HeaderFieldList& fields,
    std::string_view chunk) {
  if (this->context.IsDraining())
    this->is_persistent = false;
  std::string bytes = this->FormatHead(status, fields);
  bytes += "Transfer-Encoding: chunked\r\n\r\n";
  if (!chunk.empty())
    bytes.append(FormatChunkSize(chunk.size())).append(chunk).append("\r\n");
  co_await this->Write(std::move(bytes));
}

asio::awaitable<void> CallerConnection::SendChunk(std::string_view chunk) {
  if (chunk.empty())
    co_return;
  std::string bytes = FormatChunkSize(chunk.size());
  bytes.append(chunk).append("\r\n");
  co_await this->Write(std::move(bytes));
}

asio::awaitable<void> CallerConnection::EndStream() {
  co_await this->Write("0\r\n\r\n");
}

void CallerConnection::Abort() {
  this->is_persistent = false;
  this->is_disconnected = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->input_signal.Set();
}

}  // namespace buckthornpath
