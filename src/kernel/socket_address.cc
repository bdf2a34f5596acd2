/** @file socket_address.cc IP address and port. */

#include "kernel/socket_address.h"

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace buckthornpath {

SocketAddress ParseSocketAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("no port in address '" + text + "'");
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last) {
    throw std::invalid_argument("invalid port in address '" + text + "'");
  }
  boost::system::error_code code;
  const auto ip = boost::asio::ip::make_address(host, code);
  if (code) {
    throw std::invalid_argument("invalid IP address in '" + text + "'");
  }
  return {ip, port};
}

SocketAddress ParsePublishedAddress(const std::string& text) {
  SocketAddress address = ParseSocketAddress(text);
  if (address.port() == 0)
    throw std::invalid_argument("port of address '" + text + "' is 0");
  return address;
}

std::vector<std::string> SplitAddresses(const std::string& list) {
  std::vector<std::string> addresses;
  std::istringstream stream(list);
  for (std::string address; std::getline(stream, address, ',');)
    addresses.push_back(address);
  return addresses;
}

std::string FormatSocketAddress(const SocketAddress& address) {
  std::ostringstream text;
  text << address;
  return text.str();
}

}  // namespace buckthornpath
