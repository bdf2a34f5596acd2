/** @file router_role.cc The role on an entry VM. */

#include <atomic>
#include <memory>

#include "fleet/configuration_client.h"
#include "fleet/member_list.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/role.h"
#include "router/call_session.h"

namespace buckthornpath {

namespace {

class RouterRole final : public Role {
 public:
  explicit RouterRole(const RoleContext& context)
      : context(context),
        mint(context.settings.ticket_secret),
        placement(context.settings, this->members, this->mint),
        configuration_client(
            this->configuration,
            ParseSocketAddress(context.settings.configuration_address),
            context.settings.configuration_wait),
        server(
            context.pool,
            ParseSocketAddress(context.settings.caller_address),
            LimitsOf(context.settings),
            [this](HttpExchange& exchange) { return this->Serve(exchange); }) {}

  void Start() override {
    const Settings& settings = this->context.settings;
    this->context.pool.Spawn(this->configuration_client.Follow());
    this->context.pool.Spawn(FollowVmList(
        this->members, ParseSocketAddress(settings.vm_list_address),
        settings.vm_list_interval));
    this->server.Start();
  }

  void BeginDrain() override {
    this->draining = true;
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
    return {
        {"role", "router"},
        {"configuration_revision",
         static_cast<std::uint64_t>(this->configuration.InForce()->revision)},
        {"members", this->members.All().size()},
        {"in_flight", this->in_flight.Size()},
        {"draining", this->draining.load()}};
  }

 private:
  static HttpLimits LimitsOf(const Settings& settings) {
    HttpLimits limits;
    limits.body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
    return limits;
  }

  asio::awaitable<void> Serve(HttpExchange& exchange) {
    std::optional<Problem> refused;
    try {
      co_await this->ServeCounted(exchange);
    } catch (const RequestRefused& refusal) {
      refused = refusal.Reason();
    }
    if (!refused)
      co_return;
    ProcessMetrics().Add("refusals_total", "type=\"" + refused->type + "\"");
    co_await exchange.Send(ProblemResponse(*refused));
  }

  asio::awaitable<void> ServeCounted(HttpExchange& exchange) {
    // Counted before the check, so that a drain sees every call let through.
    InFlightCalls::Mark mark(this->in_flight, exchange.request().target);
    if (this->draining) {
      Problem problem;
      problem.type = "router_draining";
      problem.retry_after = std::chrono::seconds(1);
      throw RequestRefused(std::move(problem));
    }
    const auto begun = std::chrono::steady_clock::now();
    CallerRequest request = ReadCallerRequest(
        exchange.request(), *this->configuration.InForce(), this->mint);
    const SessionContext session{this->context.settings, this->placement,
                                 this->mint, mark};
    if (request.action == CallerAction::kMintTicket) {
      HttpResponse response;
      response.status = 201;
      response.headers.Set("Content-Type", "application/json");
      nlohmann::json body;
      body["ticket"] = co_await MintTicketFor(session, request);
      response.body = body.dump();
      co_await exchange.Send(std::move(response));
      co_return;
    }
    const std::string label = "rank=\"" + request.profile.rank + "\"";
    ProcessMetrics().Add("requests_total", label);
    CallSession call(session, std::move(request), exchange);
    co_await call.Run();
    ProcessMetrics().Observe("request_seconds", label,
                             std::chrono::steady_clock::now() - begun);
  }

  RoleContext context;
  ConfigurationStore configuration;
  MemberList members;
  TicketMint mint;
  Placement placement;
  ConfigurationClient configuration_client;
  InFlightCalls in_flight;
  std::atomic<bool> draining = false;
  HttpServer server;
};

const RoleFactory kRouterRole(
    "router",
    "Takes callers' requests and carries them to endpoint processes",
    [](const RoleContext& context) {
      return std::make_unique<RouterRole>(context);
    });

}  // namespace

}  // namespace buckthornpath
