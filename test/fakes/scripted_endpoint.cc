/** @file scripted_endpoint.cc Fake endpoint that runs a script of a test. */

#include "fakes/scripted_endpoint.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <sstream>

namespace buckthornpath {

namespace {

namespace http = boost::beast::http;

/** Limit of a request header, above that of any caller. */
constexpr std::uint32_t kHeaderBytes = std::uint32_t{64} * 1024;

std::string FormatChunk(const std::string& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

}  // namespace

std::string ScriptedCall::Field(const std::string& name) const {
  return std::string(this->message[name]);
}

bool ScriptedCall::Send(const std::string& bytes) {
  boost::system::error_code error;
  boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
  return !error;
}

void ScriptedCall::DiscardBody(std::size_t limit) {
  std::string bytes(std::min(limit, this->unread_bytes), '\0');
  boost::system::error_code ignored;
  this->unread_bytes -=
      boost::asio::read(this->socket, boost::asio::buffer(bytes), ignored);
}

void ScriptedCall::Answer(unsigned status,
                          const std::string& body,
                          const std::string& more_fields) {
  this->Send("HTTP/1.1 " + std::to_string(status) +
             " X\r\nBuckthornpath-Request-Id: " + this->Id() +
             "\r\nBuckthornpath-Response-Seal: seal\r\n" + more_fields +
             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body);
}

void ScriptedCall::BeginEvents() {
  this->Send("HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + this->Id() +
             "\r\nBuckthornpath-Response-Seal: seal\r\n"
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
}

void ScriptedCall::Event(int id) {
  this->Send(FormatChunk("id: " + std::to_string(id) + "\ndata: d" +
                         std::to_string(id) + "\n\n"));
}

void ScriptedCall::EndEvents() {
  this->Send("0\r\n\r\n");
}

void ScriptedCall::Close(bool reset) {
  boost::system::error_code ignored;
  if (reset)
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->socket.close(ignored);
}

bool ScriptedCall::WaitForClose(std::chrono::milliseconds timeout) {
  pollfd descriptor{this->socket.native_handle(), POLLIN, 0};
  if (poll(&descriptor, 1, static_cast<int>(timeout.count())) <= 0)
    return false;
  char byte = 0;
  return recv(this->socket.native_handle(), &byte, 1, MSG_PEEK) <= 0;
}

ScriptedEndpoint::ScriptedEndpoint(const SocketAddress& address,
                                   EndpointScript script)
    : script(std::move(script)), address(address), acceptor(this->io, address) {
  this->thread = std::thread([this] { this->AcceptConnections(); });
}

ScriptedEndpoint::~ScriptedEndpoint() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
    this->recovered.notify_all();
  }
  shutdown(this->acceptor.native_handle(), SHUT_RDWR);
  this->thread.join();
  for (Connection& connection : this->connections) {
    shutdown(connection.socket.native_handle(), SHUT_RDWR);
    connection.thread.join();
  }
}

void ScriptedEndpoint::SetScript(EndpointScript next) {
  const std::lock_guard lock(this->mutex);
  this->script = std::move(next);
}

void ScriptedEndpoint::StopReadingBodies() {
  // A small buffer keeps a caller writing while the script runs.
  constexpr int kReceiveBufferBytes = 4096;
  this->acceptor.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  this->reads_bodies = false;
}

std::vector<ScriptedCall::Message> ScriptedEndpoint::Received() {
  const std::lock_guard lock(this->mutex);
  return this->received;
}

std::size_t ScriptedEndpoint::CountOf(const std::string& request_id) {
  std::size_t count = 0;
  for (const auto& message : this->Received()) {
    if (message["Buckthornpath-Request-Id"] == request_id)
      ++count;
  }
  return count;
}

void ScriptedEndpoint::Crash() {
  const std::lock_guard lock(this->mutex);
  this->is_crashed = true;
  shutdown(this->acceptor.native_handle(), SHUT_RDWR);
  for (Connection& connection : this->connections)
    shutdown(connection.socket.native_handle(), SHUT_RDWR);
}

void ScriptedEndpoint::Recover() {
  const std::lock_guard lock(this->mutex);
  this->is_crashed = false;
  this->recovered.notify_all();
}

bool ScriptedEndpoint::WaitForRecovery() {
  std::unique_lock lock(this->mutex);
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->recovered.wait(
      lock, [this] { return !this->is_crashed || this->is_stopping; });
  if (this->is_stopping)
    return false;
  this->acceptor = boost::asio::ip::tcp::acceptor(this->io, this->address);
  return true;
}

void ScriptedEndpoint::AcceptConnections() {
  while (!this->is_stopping) {
    boost::system::error_code error;
    auto socket = this->acceptor.accept(error);
    if (error) {
      if (!this->WaitForRecovery())
        return;
      continue;
    }
    const std::lock_guard lock(this->mutex);
    ++this->accepted;
    Connection& connection = this->connections.emplace_back(std::move(socket));
    connection.thread = std::thread(
        [this, &connection] { this->ServeConnection(connection.socket); });
  }
}

void ScriptedEndpoint::ServeConnection(boost::asio::ip::tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  while (!this->is_stopping) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(kHeaderBytes);
    parser.body_limit(boost::none);
    boost::system::error_code error;
    if (this->reads_bodies)
      http::read(socket, buffer, parser, error);
    else
      http::read_header(socket, buffer, parser, error);
    if (error)
      return;
    std::size_t unread_bytes = parser.content_length_remaining().value_or(0);
    unread_bytes -= std::min(unread_bytes, buffer.size());
    ScriptedCall::Message message = parser.release();
    EndpointScript current;
    {
      const std::lock_guard lock(this->mutex);
      this->received.push_back(message);
      current = this->script;
    }
    ScriptedCall call(std::move(message), socket, unread_bytes);
    current(call);
    if (!socket.is_open())
      return;
  }
}

}  // namespace buckthornpath
