/** @file socket_option.cc Options that every connection of a process gets. */

#include "kernel/socket_option.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace buckthornpath {

namespace {

/** Seconds of silence before a probe, and between probes. */
constexpr int kProbeSeconds = 1;

/** Probes without an answer after which a connection fails. */
constexpr int kProbeCount = 2;

/** Milliseconds that sent data may stay without acknowledgement. */
constexpr unsigned kUnacknowledgedMs = 2500;

void SetOption(int socket, int level, int name, unsigned value) {
  // A platform without the option keeps its default; time-outs of the callers
  // still hold.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  const int handle = socket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

}  // namespace buckthornpath
