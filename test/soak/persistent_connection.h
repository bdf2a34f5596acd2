/** @file persistent_connection.h Connection that a caller keeps open. */

#ifndef TEST_SOAK_PERSISTENT_CONNECTION_H_
#define TEST_SOAK_PERSISTENT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>

#include "kernel/socket_address.h"
#include "soak/soak_history.h"

namespace buckthornpath {

/** HTTP connection that a caller reuses for its next request. */
class PersistentConnection {
 public:
  using Milliseconds = std::chrono::milliseconds;

  /** @throws boost::system::system_error if the connection is refused. */
  explicit PersistentConnection(const SocketAddress& address);

  /**
   * Sends a request and reads the response.
   * @param timeout Limit of the time until the response is complete.
   * @param gap Limit of the time without a byte of the response.
   * @return Whether the connection can be used for another request.
   */
  bool Exchange(const std::string& bytes,
                Milliseconds timeout,
                CallOutcome& outcome,
                Milliseconds gap = Milliseconds::max());

 private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ReadSome(Parser& parser,
                ErrorCode& error,
                Milliseconds limit,
                CallOutcome& outcome);

  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_PERSISTENT_CONNECTION_H_
