/** @file operator_port.h HTTP interface of a process for operators. */

#ifndef SRC_DAEMON_OPERATOR_PORT_H_
#define SRC_DAEMON_OPERATOR_PORT_H_

#include <functional>

#include "kernel/http_server.h"
#include "kernel/role.h"

namespace buckthornpath {

/**
 * HTTP server for operators: `GET /status` in JSON, `GET /metrics` in the text
 * format of Prometheus, and `POST /drain`. Others get status 404.
 */
class OperatorPort {
 public:
  /** @param drain Called on `POST /drain`, possibly more than once. */
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
