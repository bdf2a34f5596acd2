/** @file socket_address.h IP address and port. */

#ifndef SRC_KERNEL_SOCKET_ADDRESS_H_
#define SRC_KERNEL_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

namespace buckthornpath {

using SocketAddress = boost::asio::ip::tcp::endpoint;

/**
 * Parses "127.0.0.1:8000" or "[::1]:8000".
 * @throws std::invalid_argument If the text is no IP address and port.
 */
SocketAddress ParseSocketAddress(const std::string& text);

/**
 * Parses an address that another process publishes for connections to it.
 * @throws std::invalid_argument As ParseSocketAddress(), or if the port is 0.
 */
SocketAddress ParsePublishedAddress(const std::string& text);

/** @return The addresses of a comma-separated list, not validated. */
std::vector<std::string> SplitAddresses(const std::string& list);

/** @return "127.0.0.1:8000" or "[::1]:8000". */
std::string FormatSocketAddress(const SocketAddress& address);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_SOCKET_ADDRESS_H_
