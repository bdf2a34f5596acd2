/** @file raw_connection.h A TCP connection for partial requests. */

#ifndef TEST_HARNESS_RAW_CONNECTION_H_
#define TEST_HARNESS_RAW_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "kernel/http_type.h"
#include "kernel/socket_address.h"

namespace buckthornpath {

/** A TCP connection without Nagle's algorithm, to send a request in parts. */
class RawConnection {
 public:
  explicit RawConnection(const SocketAddress& address);

  void Send(const std::string& bytes);

  /**
   * Reads the header of one response and discards its body.
   * @return The header; empty if the connection ended within it.
   */
  std::string ReadHead();

 private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket;
  std::string received;
};

/** @return The bytes of an HTTP/1.1 request. */
std::string FormatRequest(const HttpRequest& request);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_RAW_CONNECTION_H_
