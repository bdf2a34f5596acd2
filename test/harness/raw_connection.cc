/** @file raw_connection.cc A TCP connection for partial requests. */

#include "harness/raw_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <sstream>

namespace buckthornpath {

namespace asio = boost::asio;

RawConnection::RawConnection(const SocketAddress& address) : socket(this->io) {
  this->socket.connect(address);
  this->socket.set_option(asio::ip::tcp::no_delay(true));
}

void RawConnection::Send(const std::string& bytes) {
  asio::write(this->socket, asio::buffer(bytes));
}

std::string RawConnection::ReadHead() {
  constexpr std::string_view kLength = "Content-Length: ";
  boost::system::error_code error;
  const std::size_t size = asio::read_until(
      this->socket, asio::dynamic_buffer(this->received), "\r\n\r\n", error);
  std::string head = this->received.substr(0, size);
  this->received.erase(0, size);
  const auto field = head.find(kLength);
  if (field == std::string::npos)
    return head;
  const std::size_t length =
      std::strtoull(head.c_str() + field + kLength.size(), nullptr, 10);
  if (this->received.size() < length) {
    asio::read(this->socket, asio::dynamic_buffer(this->received),
               asio::transfer_exactly(length - this->received.size()), error);
  }
  this->received.erase(0, length);
  return head;
}

std::string FormatRequest(const HttpRequest& request) {
  std::ostringstream text;
  text << request.method << " " << request.target << " HTTP/1.1\r\n"
       << "Host: test\r\n"
       << "Content-Length: " << request.body.size() << "\r\n";
  for (const auto& [name, value] : request.headers.Fields())
    text << name << ": " << value << "\r\n";
  text << "\r\n" << request.body;
  return text.str();
}

}  // namespace buckthornpath
