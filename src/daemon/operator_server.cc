/** @file operator_server.cc HTTP interface of a process for operators. */

#include "daemon/operator_server.h"

#include "kernel/bodiless_port.h"
#include "kernel/metrics.h"

namespace buckthornpath {

OperatorServer::OperatorServer(const RoleContext& context,
                               Role& role,
                               std::function<void()> on_drain)
    : role(role),
      on_drain(std::move(on_drain)),
      server(context.pool,
             ParseSocketAddress(context.settings.operator_address),
             BodilessPortLimits(),
             [this](HttpExchange& exchange) { return this->Serve(exchange); }) {
}

asio::awaitable<void> OperatorServer::Serve(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  HttpResponse response;
  if (request.method == "GET" && request.Path() == "/status") {
    response.headers.Append("Content-Type", "application/json");
    response.body = this->role.Status().dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
  } else if (request.method == "GET" && request.Path() == "/metrics") {
    response.headers.Append("Content-Type", "text/plain; version=0.0.4");
    response.body = ProcessMetrics().Render();
  } else if (request.method == "POST" && request.Path() == "/drain") {
    response.status = 202;
    this->on_drain();
  } else if (request.method == "POST" && request.Path() == "/quarantine/lift") {
    const std::string segment = request.QueryParameter("segment").value_or("");
    response.status = this->role.LiftQuarantine(segment) ? 202 : 404;
  } else {
    response.status = 404;
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace buckthornpath
