/** @file socket_option.h Socket options of TCP connections. */

#ifndef SRC_KERNEL_SOCKET_OPTION_H_
#define SRC_KERNEL_SOCKET_OPTION_H_

#include <boost/asio/ip/tcp.hpp>

namespace buckthornpath {

/**
 * Disables Nagle's algorithm and enables TCP keep-alive with a user timeout, so
 * that a connection to an unresponsive peer fails within seconds.
 */
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_SOCKET_OPTION_H_
