/** @file operator_server.h HTTP interface of a process for operators. */

#ifndef SRC_DAEMON_OPERATOR_SERVER_H_
#define SRC_DAEMON_OPERATOR_SERVER_H_

#include <functional>

#include "kernel/http_server.h"
#include "kernel/role.h"

namespace buckthornpath {

/**
 * HTTP server for operators: `GET /status` in JSON, `GET /metrics` in the text
 * format of Prometheus, `POST /drain`, and `POST
 * /quarantine/lift?segment=<id>`. Others get status 404.
 */
class OperatorServer {
 public:
  /** @param on_drain Called on `POST /drain`, possibly more than once. */
  OperatorServer(const RoleContext& context,
                 Role& role,
                 std::function<void()> on_drain);

  void Start() { this->server.Start(); }

 private:
  asio::awaitable<void> Serve(HttpExchange& exchange);

  Role& role;
  std::function<void()> on_drain;
  HttpServer server;
};

}  // namespace buckthornpath

#endif  // SRC_DAEMON_OPERATOR_SERVER_H_
