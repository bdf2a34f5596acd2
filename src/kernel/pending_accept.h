/** @file pending_accept.h Accepts the connections that wait at a port. */

#ifndef SRC_KERNEL_PENDING_ACCEPT_H_
#define SRC_KERNEL_PENDING_ACCEPT_H_

#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace buckthornpath {

/**
 * Accepts the connections that the kernel has completed, then closes the
 * acceptor. Closing it alone would reset them with the requests that they
 * carry.
 * @param make_executor Returns the executor of the next connection.
 * @param start Takes over a connection.
 */
template <typename MakeExecutor, typename Start>
void AcceptPendingAndClose(boost::asio::ip::tcp::acceptor& acceptor,
                           MakeExecutor make_executor,
                           Start start) {
  boost::system::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    boost::asio::ip::tcp::socket socket(make_executor());
    acceptor.accept(socket, error);
    if (!error)
      start(std::move(socket));
  }
  acceptor.close(error);
}

}  // namespace buckthornpath

#endif  // SRC_KERNEL_PENDING_ACCEPT_H_
