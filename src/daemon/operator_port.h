/** @file operator_port.h What operators read from and ask of a process. */

#ifndef SRC_DAEMON_OPERATOR_PORT_H_
#define SRC_DAEMON_OPERATOR_PORT_H_

#include <functional>

#include "kernel/http_server.h"
#include "kernel/role.h"

namespace buckthornpath {

/** Serves /status, /metrics and /drain. */
class OperatorPort {
 public:
  /** @param drain Called when an operator asks for a drain. */
  OperatorPort(const RoleContext& context,
               Role& role,
               std::function<void()> drain);

  void Start() { this->server.Start(); }

 private:
  asio::awaitable<void> Serve(HttpExchange& exchange);

  Role& role;
  std::function<void()> drain;
  HttpServer server;
};

}  // namespace buckthornpath

#endif  // SRC_DAEMON_OPERATOR_PORT_H_
