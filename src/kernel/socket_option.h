/** @file socket_option.h Options that every connection of a process gets. */

#ifndef SRC_KERNEL_SOCKET_OPTION_H_
#define SRC_KERNEL_SOCKET_OPTION_H_

#include <boost/asio/ip/tcp.hpp>

namespace buckthornpath {

/**
 * Turns off the delay of small segments and makes a connection whose other
 * end has fallen silent fail within seconds.
 */
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_SOCKET_OPTION_H_
