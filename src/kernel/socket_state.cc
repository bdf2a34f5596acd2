/** @file socket_state.cc State of a TCP connection as the kernel knows it. */

#include "kernel/socket_state.h"

#include <sys/socket.h>

#include <cerrno>

namespace buckthornpath {

bool HasInputEnded(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t size =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size >= 0)
    return size == 0;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

}  // namespace buckthornpath
