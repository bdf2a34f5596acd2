/** @file socket_state.h State of a TCP connection as the kernel knows it. */

#ifndef SRC_KERNEL_SOCKET_STATE_H_
#define SRC_KERNEL_SOCKET_STATE_H_

#include <boost/asio/ip/tcp.hpp>

namespace buckthornpath {

/**
 * Looks at the input of a connection without reading it or waiting. Shows an
 * end that the event loop has not handled yet.
 * @return True if the input has ended or failed with nothing unread before it.
 */
bool HasInputEnded(boost::asio::ip::tcp::socket& socket);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_SOCKET_STATE_H_
