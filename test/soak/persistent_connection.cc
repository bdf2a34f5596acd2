/** @file persistent_connection.cc Connection that a caller keeps open. */

#include "soak/persistent_connection.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/write.hpp>

namespace buckthornpath {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

}  // namespace

PersistentConnection::PersistentConnection(const SocketAddress& address)
    : socket(this->io) {
  this->socket.connect(address);
}

bool PersistentConnection::Exchange(const std::string& bytes,
                                    milliseconds timeout,
                                    CallOutcome& outcome,
                                    milliseconds gap) {
  ErrorCode error;
  asio::write(this->socket, asio::buffer(bytes), error);
  Parser parser;
  parser.eager(true);
  while (!error && !outcome.has_timed_out && !parser.is_done()) {
    const auto remaining = std::chrono::ceil<milliseconds>(
        outcome.sent_at + timeout - Clock::now());
    this->ReadSome(parser, error, std::clamp(remaining, milliseconds(0), gap),
                   outcome);
  }
  if (parser.is_header_done()) {
    outcome.status = parser.get().result_int();
    outcome.body = parser.get().body();
    outcome.is_complete = !error && parser.is_done();
  }
  return outcome.is_complete && parser.keep_alive();
}

void PersistentConnection::ReadSome(Parser& parser,
                                    ErrorCode& error,
                                    milliseconds limit,
                                    CallOutcome& outcome) {
  pollfd readable{this->socket.native_handle(), POLLIN, 0};
  if (poll(&readable, 1, static_cast<int>(limit.count())) <= 0) {
    outcome.has_timed_out = true;
    return;
  }
  constexpr std::size_t kReadBytes = 4096;
  this->buffer.commit(
      this->socket.read_some(this->buffer.prepare(kReadBytes), error));
  if (error == asio::error::eof && parser.is_header_done()) {
    parser.put_eof(error);
    return;
  }
  while (!error && this->buffer.size() > 0 && !parser.is_done()) {
    const std::size_t used = parser.put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error == http::error::need_more)
      error = {};
    if (used == 0)
      break;
  }
}

}  // namespace buckthornpath
