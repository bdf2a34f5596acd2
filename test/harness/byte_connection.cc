/** @file byte_connection.cc A TCP connection for malformed HTTP. */

#include "harness/byte_connection.h"

#include <cstdlib>
#include <iterator>
#include <stdexcept>

#include "harness/caller.h"

namespace buckthornpath {

ByteConnection::ByteConnection(const SocketAddress& address) {
  this->stream.expires_after(kCallerTimeout);
  this->stream.connect(address);
  if (!this->stream)
    throw std::runtime_error("cannot connect to the address under test");
}

void ByteConnection::Send(std::string_view bytes) {
  this->stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  this->stream.flush();
}

void ByteConnection::EndSending() {
  boost::system::error_code ignored;
  this->stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                                 ignored);
}

std::string ByteConnection::ReadToEnd() {
  this->stream.clear();
  return {std::istreambuf_iterator<char>(this->stream), {}};
}

std::string ByteConnection::ReadSome() {
  this->stream.clear();
  const int first = this->stream.get();
  if (first == std::char_traits<char>::eof())
    return "";
  std::string bytes(1, static_cast<char>(first));
  const auto more = this->stream.rdbuf()->in_avail();
  if (more > 0) {
    std::string rest(static_cast<std::size_t>(more), '\0');
    this->stream.read(rest.data(), more);
    bytes += rest;
  }
  return bytes;
}

RawAnswer ParseRawAnswer(const std::string& bytes) {
  RawAnswer response;
  constexpr std::size_t kStatusOffset = 9;  // After "HTTP/1.1 ".
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return response;
  response.head = bytes.substr(0, end);
  response.body = bytes.substr(end + 4);
  response.status = static_cast<unsigned>(
      std::strtoul(response.head.c_str() + kStatusOffset, nullptr, 10));
  return response;
}

}  // namespace buckthornpath
