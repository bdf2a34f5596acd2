/** @file http_client.cc HTTP/1.1 client based on Boost.Beast. */

#include "kernel/http_client.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "kernel/response_check.h"
#include "kernel/socket_option.h"

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;

/** Maximum size of a response head. */
constexpr std::uint32_t kMaxHeadBytes = std::uint32_t{8} * 1024;

/** Maximum size of a body that HttpFetch() reads. */
constexpr std::size_t kMaxFetchBodyBytes = std::size_t{64} * 1024 * 1024;

http::request<http::string_body> ToBeast(const HttpRequest& request,
                                         const SocketAddress& address) {
  http::request<http::string_body> result;
  result.method_string(request.method);
  result.target(request.target);
  result.version(11);
  result.set(http::field::host, FormatSocketAddress(address));
  for (const auto& [name, value] : request.headers.Fields()) {
    result.set(name, value);
  }
  result.body() = request.body;
  result.prepare_payload();
  return result;
}

void ThrowOnError(beast::error_code error, const char* step) {
  if (error)
    throw HttpError(std::string(step) + ": " + error.message());
}

}  // namespace

struct HttpResponseStream::State {
  using Clock = std::chrono::steady_clock;

  State(asio::any_io_executor executor, const HttpTimeouts& timeouts)
      : stream(executor) {
    if (timeouts.total)
      this->deadline = Clock::now() + *timeouts.total;
  }

  /** Limits the next step of the exchange. */
  void ExpireAfter(std::chrono::milliseconds timeout) {
    this->stream.expires_at(std::min(Clock::now() + timeout, this->deadline));
  }

  std::string_view Buffered() const {
    const auto bytes = this->buffer.data();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
  }

  /** Reads the head of the next response, interim or final. */
  asio::awaitable<void> ReadNextHead() {
    this->parser.emplace();
    this->parser->header_limit(kMaxHeadBytes);
    this->parser->body_limit(boost::none);
    HeadScanner scanner;
    std::size_t size = scanner.FindEnd(this->Buffered());
    while (size == 0) {
      if (this->buffer.size() > kMaxHeadBytes)
        throw HttpError("read head: too large");
      auto [error, received] = co_await this->stream.async_read_some(
          this->buffer.prepare(kReadBufferBytes), kAwaitResult);
      ThrowOnError(error, "read head");
      this->buffer.commit(received);
      size = scanner.FindEnd(this->Buffered());
    }
    if (HasFoldedLine(this->Buffered().substr(0, size)))
      throw HttpError("read head: folded field line");
    beast::error_code error;
    this->buffer.consume(this->parser->put(this->buffer.data(), error));
    ThrowOnError(error, "read head");
    ThrowOnError(CheckResponseHead(this->parser->get(), false), "read head");
  }

  /** Reads the head of the final response to a request. */
  asio::awaitable<void> ReadFinalHead(const http::fields& request) {
    int interim = 0;
    co_await this->ReadNextHead();
    while (IsInterimResponse(this->parser->get())) {
      if (++interim > kMaxInterimResponses)
        throw HttpError("read head: too many interim responses");
      co_await this->ReadNextHead();
    }
    if (!HasAcceptedCodings(this->parser->get(), false, request))
      throw HttpError("read head: content coding that was not asked for");
    this->head.status = this->parser->get().result_int();
    for (const auto& field : this->parser->get()) {
      this->head.headers.Append(std::string(field.name_string()),
                                std::string(field.value()));
    }
  }

  Clock::time_point deadline = Clock::time_point::max();

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::buffer_body>> parser;
  HttpResponse head;
};

HttpResponseStream::HttpResponseStream(std::unique_ptr<State> state)
    : state(std::move(state)) {}

HttpResponseStream::~HttpResponseStream() = default;

const HttpResponse& HttpResponseStream::head() const {
  return this->state->head;
}

asio::awaitable<std::unique_ptr<HttpResponseStream>> HttpResponseStream::Open(
    SocketAddress address,
    HttpRequest request,
    HttpTimeouts timeouts,
    SendGuard may_send) {
  auto state =
      std::make_unique<State>(co_await asio::this_coro::executor, timeouts);
  beast::tcp_stream& stream = state->stream;
  state->ExpireAfter(timeouts.connect);
  auto [connect_error] = co_await stream.async_connect(address, kAwaitResult);
  if (connect_error)
    throw HttpRequestNotSent("connect: " + connect_error.message());
  SetConnectionOptions(stream.socket());
  const auto message = ToBeast(request, address);
  state->ExpireAfter(timeouts.step);
  if (may_send && !may_send())
    throw HttpRequestNotSent("not to be sent");
  auto [write_error, written] =
      co_await http::async_write(stream, message, kAwaitResult);
  ThrowOnError(write_error, "write");
  state->ExpireAfter(timeouts.step);
  co_await state->ReadFinalHead(message);
  co_return std::unique_ptr<HttpResponseStream>(
      new HttpResponseStream(std::move(state)));
}

asio::awaitable<std::optional<std::string>> HttpResponseStream::ReadSome(
    std::chrono::milliseconds timeout) {
  auto& parser = *this->state->parser;
  if (parser.is_done())
    co_return std::nullopt;
  std::array<char, kReadBufferBytes> chunk{};
  parser.get().body().data = chunk.data();
  parser.get().body().size = chunk.size();
  parser.get().body().more = true;
  this->state->ExpireAfter(timeout);
  auto [error, size] = co_await http::async_read_some(
      this->state->stream, this->state->buffer, parser, kAwaitResult);
  if (error && error != http::error::need_buffer)
    ThrowOnError(error, "read body");
  const std::size_t filled = chunk.size() - parser.get().body().size;
  if (filled == 0 && parser.is_done())
    co_return std::nullopt;
  co_return std::string(chunk.data(), filled);
}

asio::awaitable<HttpResponse> HttpFetch(SocketAddress address,
                                        HttpRequest request,
                                        HttpTimeouts timeouts,
                                        SendGuard may_send) {
  auto stream = co_await HttpResponseStream::Open(
      address, std::move(request), timeouts, std::move(may_send));
  HttpResponse response = stream->head();
  while (auto chunk = co_await stream->ReadSome(timeouts.step)) {
    response.body += *chunk;
    if (response.body.size() > kMaxFetchBodyBytes) {
      throw HttpError("body too large");
    }
  }
  co_return response;
}

}  // namespace buckthornpath
