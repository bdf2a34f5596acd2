/** @file http_server.cc HTTP/1.1 server based on Boost.Beast. */

#include "kernel/http_server.h"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <vector>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/pending_accept.h"
#include "kernel/scoped_count.h"

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

/** Maximum time of one write to a peer. */
constexpr std::chrono::seconds kWriteTimeout{30};

http::response<http::string_body> ToBeast(const HttpResponse& response) {
  http::response<http::string_body> result(http::int_to_status(response.status),
                                           11);
  for (const auto& [name, value] : response.headers.Fields()) {
    result.set(name, value);
  }
  result.body() = response.body;
  return result;
}

HttpRequest FromBeast(http::request<http::string_body>&& request) {
  HttpRequest result;
  result.method = std::string(request.method_string());
  result.target = std::string(request.target());
  for (const auto& field : request) {
    result.headers.Append(std::string(field.name_string()),
                          std::string(field.value()));
  }
  result.body = std::move(request.body());
  return result;
}

class BeastExchange final : public HttpExchange {
 public:
  /** @param draining If true, the connection closes after the response. */
  BeastExchange(beast::tcp_stream& stream,
                HttpRequest request,
                bool keep_alive,
                const std::atomic<bool>& draining)
      : stream(stream),
        received(std::move(request)),
        keep_alive(keep_alive),
        draining(draining) {}

  const HttpRequest& request() const override { return this->received; }

  asio::awaitable<void> Send(HttpResponse response) override {
    auto message = ToBeast(response);
    message.keep_alive(this->UpdateKeepAlive());
    message.prepare_payload();
    this->response_started = true;
    this->response_complete = true;
    co_await this->Write(message);
  }

  asio::awaitable<void> BeginStream(HttpResponse head) override {
    http::response<http::empty_body> message(http::int_to_status(head.status),
                                             11);
    for (const auto& [name, value] : head.headers.Fields()) {
      message.set(name, value);
    }
    message.chunked(true);
    message.keep_alive(this->UpdateKeepAlive());
    this->response_started = true;
    http::response_serializer<http::empty_body> serializer(message);
    this->stream.expires_after(kWriteTimeout);
    auto [error, size] = co_await http::async_write_header(
        this->stream, serializer, kAwaitResult);
    if (error)
      throw HttpError("write failed: " + error.message());
  }

  asio::awaitable<void> WriteChunk(std::string_view data) override {
    this->stream.expires_after(kWriteTimeout);
    auto [error, size] = co_await asio::async_write(
        this->stream, http::make_chunk(asio::buffer(data)), kAwaitResult);
    if (error)
      throw HttpError("write failed: " + error.message());
  }

  asio::awaitable<void> EndStream() override {
    this->stream.expires_after(kWriteTimeout);
    auto [error, size] = co_await asio::async_write(
        this->stream, http::make_chunk_last(), kAwaitResult);
    if (error)
      throw HttpError("write failed: " + error.message());
    this->response_complete = true;
  }

  bool HasStartedResponse() const override { return this->response_started; }

  /** @return True if the connection can carry another request. */
  bool CanContinue() const {
    return this->response_complete && this->keep_alive;
  }

 private:
  bool UpdateKeepAlive() {
    this->keep_alive = this->keep_alive && !this->draining;
    return this->keep_alive;
  }

  template <class Message>
  asio::awaitable<void> Write(Message& message) {
    this->stream.expires_after(kWriteTimeout);
    auto [error, size] =
        co_await http::async_write(this->stream, message, kAwaitResult);
    if (error)
      throw HttpError("write failed: " + error.message());
  }

  beast::tcp_stream& stream;
  HttpRequest received;
  bool keep_alive;
  const std::atomic<bool>& draining;
  bool response_started = false;
  bool response_complete = false;
};

using ScopedAtomicCount = ScopedCount<std::atomic<std::size_t>>;

/** Maximum time and number of bytes for which LingerBeforeClose() reads. */
constexpr std::chrono::milliseconds kMaxLingerTime{2000};
constexpr std::size_t kMaxLingerBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t kLingerBufferBytes = std::size_t{64} * 1024;

unsigned StatusOfFault(HttpFault fault) {
  constexpr std::array<unsigned, 6> kStatuses = {400, 431, 413, 408, 429, 500};
  return kStatuses.at(static_cast<std::size_t>(fault));
}

/** @return The fault that an error while reading a request stands for. */
HttpFault FaultFromReadError(beast::error_code error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return HttpFault::kHeaderTooLarge;
  }
  return error == http::error::body_limit ? HttpFault::kBodyTooLarge
                                          : HttpFault::kMalformed;
}

/**
 * Cancels the reads of a socket after a time limit and leaves it open, so that
 * a response can still be sent.
 */
class ReadDeadline {
 public:
  ReadDeadline(asio::ip::tcp::socket& socket, std::chrono::milliseconds time)
      : timer(socket.get_executor(), time) {
    this->timer.async_wait(
        [&socket, weak_expired = std::weak_ptr<bool>(this->expired)](
            const boost::system::error_code& error) {
          const auto flag = weak_expired.lock();
          if (error || !flag)
            return;
          *flag = true;
          beast::error_code ignored;
          socket.cancel(ignored);
        });
  }

  bool HasExpired() const { return *this->expired; }

 private:
  std::shared_ptr<bool> expired = std::make_shared<bool>(false);
  asio::steady_timer timer;
};

/**
 * Reads and discards what the peer still sends after an error response. Closing
 * the connection at once could lose the response before the peer has read it.
 */
asio::awaitable<void> LingerBeforeClose(beast::tcp_stream& stream) {
  beast::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream.expires_never();
  const ReadDeadline deadline(stream.socket(), kMaxLingerTime);
  std::vector<char> discarded(kLingerBufferBytes);
  for (std::size_t total = 0; total < kMaxLingerBytes;) {
    auto [error, size] =
        co_await stream.async_read_some(asio::buffer(discarded), kAwaitResult);
    if (error)
      co_return;
    total += size;
  }
}

/** @return True if the peer has disconnected and cannot be answered. */
bool IsPeerDisconnected(beast::error_code error) {
  return error == http::error::end_of_stream ||
         error == asio::error::connection_reset ||
         error == asio::error::operation_aborted ||
         error == asio::error::broken_pipe;
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(WorkerPool& pool,
        const SocketAddress& address,
        HttpLimits limits,
        HttpHandler handler)
      : pool(pool),
        acceptor(pool.NewStrand(), address),
        limits(std::move(limits)),
        handler(std::move(handler)) {}

  asio::awaitable<void> AcceptConnections() {
    auto self = this->shared_from_this();
    while (!this->closed) {
      auto [error, socket] = co_await this->acceptor.async_accept(
          this->pool.NewStrand(), kAwaitResult);
      if (!error) {
        this->StartConnection(asio::ip::tcp::socket(std::move(socket)));
      } else if (!this->closed) {
        co_await SleepFor(std::chrono::milliseconds(10));
      }
    }
  }

  /** Stops accepting; runs on the strand of the acceptor. */
  void StopAccepting() {
    this->closed = true;
    AcceptPendingAndClose(
        this->acceptor, [this] { return this->pool.NewStrand(); },
        [this](asio::ip::tcp::socket socket) {
          this->StartConnection(std::move(socket));
        });
  }

  void StartConnection(asio::ip::tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->pool.Spawn(this->ServeConnection(beast::tcp_stream(std::move(socket)),
                                           this->shared_from_this()));
  }

  /** Serves the requests of one connection, one after another. */
  asio::awaitable<void> ServeConnection(beast::tcp_stream stream,
                                        std::shared_ptr<State> self) {
    const ScopedAtomicCount connection_count(self->open_connections);
    if (self->open_connections > self->limits.connections) {
      co_await self->Refuse(stream, HttpFault::kTooManyConnections, false);
      co_return;
    }
    beast::flat_buffer buffer;
    while (true) {
      if (!co_await self->WaitForRequest(stream, buffer))
        break;
      const ScopedAtomicCount exchange_count(self->open_exchanges);
      http::request_parser<http::string_body> parser;
      parser.header_limit(
          static_cast<std::uint32_t>(self->limits.header_bytes));
      parser.body_limit(self->limits.body_bytes);
      if (!co_await self->ReadRequest(stream, buffer, parser))
        co_return;
      const bool keep_alive = parser.get().keep_alive();
      BeastExchange exchange(stream, FromBeast(parser.release()), keep_alive,
                             self->draining);
      co_await self->Handle(exchange);
      if (!exchange.CanContinue())
        break;
    }
    beast::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  /**
   * Waits for the first bytes of a request.
   * @return False if the connection is to be closed.
   */
  asio::awaitable<bool> WaitForRequest(beast::tcp_stream& stream,
                                       beast::flat_buffer& buffer) {
    if (buffer.size() > 0)
      co_return true;
    stream.expires_after(this->limits.idle_timeout);
    auto [error, size] = co_await stream.async_read_some(
        buffer.prepare(this->limits.header_bytes), kAwaitResult);
    buffer.commit(size);
    co_return !error;
  }

  /** @return False if the connection is to be closed. */
  asio::awaitable<bool> ReadRequest(
      beast::tcp_stream& stream,
      beast::flat_buffer& buffer,
      http::request_parser<http::string_body>& parser) {
    stream.expires_never();
    const ReadDeadline deadline(stream.socket(), this->limits.read_timeout);
    auto [error, size] =
        co_await http::async_read(stream, buffer, parser, kAwaitResult);
    if (!error)
      co_return true;
    // The call of an idempotency key may have run on another connection.
    const bool may_have_run = parser.get().count("Idempotency-Key") > 0;
    if (deadline.HasExpired()) {
      co_await this->Refuse(stream, HttpFault::kTooSlow, may_have_run);
    } else if (!IsPeerDisconnected(error)) {
      co_await this->Refuse(stream, FaultFromReadError(error), may_have_run);
    }
    co_return false;
  }

  HttpResponse FaultResponse(HttpFault fault, bool may_have_run) const {
    if (this->limits.make_fault_response)
      return this->limits.make_fault_response(fault, may_have_run);
    return {StatusOfFault(fault), {}, ""};
  }

  /**
   * Sends an error response to a request that was not read completely. The
   * connection is to be closed afterwards.
   */
  asio::awaitable<void> Refuse(beast::tcp_stream& stream,
                               HttpFault fault,
                               bool may_have_run) {
    ProcessMetrics().Add(
        "http_faults_total",
        "status=\"" + std::to_string(StatusOfFault(fault)) + "\"");
    BeastExchange exchange(stream, {}, false, this->draining);
    co_await exchange.Send(this->FaultResponse(fault, may_have_run));
    co_await LingerBeforeClose(stream);
  }

  asio::awaitable<void> Handle(BeastExchange& exchange) {
    std::string fault;
    try {
      co_await this->handler(exchange);
    } catch (const std::exception& error) {
      fault = error.what();
    }
    if (fault.empty())
      co_return;
    LogLine(LogLevel::kInfo, "exchange_failed",
            {{"target", exchange.request().target}, {"reason", fault}});
    if (exchange.HasStartedResponse())
      co_return;
    co_await exchange.Send(
        this->FaultResponse(HttpFault::kHandlerFailed, true));
  }

  WorkerPool& pool;
  asio::ip::tcp::acceptor acceptor;
  HttpLimits limits;
  HttpHandler handler;
  std::atomic<bool> closed = false;
  std::atomic<bool> draining = false;
  std::atomic<std::size_t> open_exchanges = 0;
  std::atomic<std::size_t> open_connections = 0;
};

HttpServer::HttpServer(WorkerPool& pool,
                       const SocketAddress& address,
                       HttpLimits limits,
                       HttpHandler handler)
    : state(std::make_shared<State>(pool,
                                    address,
                                    std::move(limits),
                                    std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Start() {
  WorkerPool::SpawnOn(this->state->acceptor.get_executor(),
                      this->state->AcceptConnections());
}

void HttpServer::BeginDrain() {
  this->state->draining = true;
}

std::size_t HttpServer::OpenExchanges() const {
  return this->state->open_exchanges;
}

void HttpServer::Close() {
  asio::post(this->state->acceptor.get_executor(),
             [self = this->state] { self->StopAccepting(); });
}

SocketAddress HttpServer::Address() const {
  return this->state->acceptor.local_endpoint();
}

}  // namespace buckthornpath
