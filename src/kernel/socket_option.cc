/** @file socket_option.cc Socket options of TCP connections. */

#include "kernel/socket_option.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace buckthornpath {

namespace {

/** Idle time before the first keep-alive probe, and between probes. */
constexpr int kKeepAliveSeconds = 1;

/** Unanswered probes after which a connection fails. */
constexpr int kKeepAliveProbes = 2;

/** Maximum time for which sent data may remain unacknowledged. */
constexpr unsigned kUserTimeoutMs = 2500;

void SetOption(int socket, int level, int name, unsigned value) {
  // A platform without the option keeps its default; the time-outs of the code
  // that uses the connection still apply.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  const int handle = socket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

}  // namespace buckthornpath
