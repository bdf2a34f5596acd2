/** @file byte_connection.h Sends bytes that no client library would send. */

#ifndef TEST_HARNESS_BYTE_CONNECTION_H_
#define TEST_HARNESS_BYTE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "kernel/socket_address.h"

namespace buckthornpath {

/** A TCP connection without a protocol. */
class ByteConnection {
 public:
  explicit ByteConnection(const SocketAddress& address);

  /** Sends bytes; does nothing once the other side has closed. */
  void Send(std::string_view bytes);

  /** Ends the sending side only. */
  void EndSending();

  /** @return All bytes until the other side closes. */
  std::string ReadToEnd();

  /** @return The next bytes; empty once the other side has closed. */
  std::string ReadSome();

 private:
  boost::asio::ip::tcp::iostream stream;
};

/** What a raw HTTP response says. */
struct RawAnswer {
  unsigned status = 0;  ///< Zero if there was no response.
  std::string head;
  std::string body;
};

/** Splits a response. */
RawAnswer ParseRawAnswer(const std::string& bytes);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_BYTE_CONNECTION_H_
