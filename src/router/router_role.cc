/** @file router_role.cc The router role, which runs on an entry VM. */

#include <array>
#include <atomic>
#include <memory>

#include "fleet/fleet_state.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/role.h"
#include "router/call_cancel.h"
#include "router/call_session.h"

namespace buckthornpath {

namespace {

/** @return The problem response for a request that could not be read. */
HttpResponse HttpFaultResponse(HttpFault fault, bool references_call) {
  constexpr std::array<const char*, 6> kTypes = {
      "request_malformed", "header_too_large",     "body_too_large",
      "request_too_slow",  "too_many_connections", "internal_error"};
  Problem problem;
  problem.type = kTypes.at(static_cast<std::size_t>(fault));
  if (fault == HttpFault::kTooManyConnections)
    problem.retry_after = std::chrono::seconds(1);
  if (references_call)
    problem.outcome = Outcome::kUnknown;
  return ProblemResponse(problem);
}

class RouterRole final : public Role {
 public:
  explicit RouterRole(const RoleContext& context)
      : context(context),
        fleet(context),
        ticket_codec(context.settings.ticket_secret),
        placement(context.settings, this->fleet.Members(), this->ticket_codec),
        retries(context.settings),
        server(
            context.pool,
            ParseSocketAddress(context.settings.caller_address),
            MakeHttpLimits(context.settings),
            [this](HttpExchange& exchange) { return this->Serve(exchange); }) {}

  void Start() override {
    this->fleet.Start();
    this->server.Start();
  }

  void BeginDrain() override {
    this->draining = true;
    this->fleet.AnnounceLeave();
    this->server.BeginDrain();
  }

  std::vector<std::string> InFlight() const override {
    return this->in_flight.Names();
  }

  void StopAccepting() override { this->server.Close(); }

  std::size_t OpenExchanges() const override {
    return this->server.OpenExchanges();
  }

  nlohmann::json Status() const override {
    nlohmann::json status = this->fleet.Status();
    status["role"] = "router";
    status["in_flight"] = this->in_flight.Size();
    status["draining"] = this->draining.load();
    return status;
  }

 private:
  static HttpLimits MakeHttpLimits(const Settings& settings) {
    HttpLimits limits;
    limits.body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
    limits.header_bytes = static_cast<std::size_t>(settings.max_header_bytes);
    limits.connections = static_cast<std::size_t>(settings.max_connections);
    limits.read_timeout = settings.read_timeout;
    limits.make_fault_response = HttpFaultResponse;
    return limits;
  }

  asio::awaitable<void> Serve(HttpExchange& exchange) {
    std::optional<Problem> refused;
    try {
      co_await this->ServeCounted(exchange);
    } catch (const RequestRefused& refusal) {
      refused = refusal.Reason();
      // Only the endpoint process knows the outcome of an existing call.
      if (ReferencesCall(exchange.request()))
        refused->outcome = Outcome::kUnknown;
    }
    if (!refused)
      co_return;
    ProcessMetrics().Add("refusals_total", "type=\"" + refused->type + "\"");
    co_await exchange.Send(ProblemResponse(*refused));
  }

  asio::awaitable<void> ServeCounted(HttpExchange& exchange) {
    // Counted before the check, so that a drain waits for each admitted call.
    InFlightCalls::ScopedCall mark(this->in_flight, exchange.request().target);
    if (this->draining || !this->fleet.IsReady()) {
      Problem problem;
      problem.type = this->draining ? "router_draining" : "no_configuration";
      problem.retry_after = std::chrono::seconds(1);
      throw RequestRefused(std::move(problem));
    }
    const auto started_at = std::chrono::steady_clock::now();
    CallerRequest request = ReadCallerRequest(
        exchange.request(), *this->fleet.Active(), this->ticket_codec);
    const SessionContext session{this->context.settings,
                                 this->placement,
                                 this->ticket_codec,
                                 this->fleet.Members(),
                                 this->retries,
                                 this->pool,
                                 mark};
    if (request.action == CallerAction::kIssueTicket) {
      HttpResponse response;
      response.status = 201;
      response.headers.Append("Content-Type", "application/json");
      nlohmann::json body;
      body["ticket"] = co_await IssueTicketForRequest(session, request);
      response.body = body.dump();
      co_await exchange.Send(std::move(response));
      co_return;
    }
    if (request.action == CallerAction::kCancel) {
      co_await CancelCall(session, request, exchange);
      co_return;
    }
    const std::string label = "rank=\"" + request.profile.rank + "\"";
    ProcessMetrics().Add("requests_total", label);
    CallSession call(session, std::move(request), exchange);
    co_await call.Run();
    ProcessMetrics().Observe("request_seconds", label,
                             std::chrono::steady_clock::now() - started_at);
  }

  RoleContext context;
  FleetState fleet;
  TicketCodec ticket_codec;
  EndpointChannelPool pool;
  Placement placement;
  RetryLimiter retries;
  InFlightCalls in_flight;
  std::atomic<bool> draining = false;
  HttpServer server;
};

const RoleFactory kRouterRole(
    "router",
    "Accepts callers' requests and forwards them to endpoint processes",
    [](const RoleContext& context) {
      return std::make_unique<RouterRole>(context);
    });

}  // namespace

}  // namespace buckthornpath
