/** @file byte_connection.h A TCP connection for malformed HTTP. */

#ifndef TEST_HARNESS_BYTE_CONNECTION_H_
#define TEST_HARNESS_BYTE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "kernel/socket_address.h"

namespace buckthornpath {

/** A TCP connection on which a test writes and reads plain bytes. */
class ByteConnection {
 public:
  explicit ByteConnection(const SocketAddress& address);

  /** Writes bytes; does nothing once the peer has closed the connection. */
  void Send(std::string_view bytes);

  /** Shuts down the sending side only. */
  void EndSending();

  /** @return All bytes until the peer closes the connection. */
  std::string ReadToEnd();

  /** @return The next bytes; empty once the peer has closed. */
  std::string ReadSome();

 private:
  boost::asio::ip::tcp::iostream stream;
};

/** The parts of a raw HTTP response. */
struct RawAnswer {
  unsigned status = 0;  ///< Zero if there was no whole header.
  std::string head;
  std::string body;
};

/** Splits a response into its status, header and body. */
RawAnswer ParseRawAnswer(const std::string& bytes);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_BYTE_CONNECTION_H_
