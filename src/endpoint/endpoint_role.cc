/** @file endpoint_role.cc The role that serves an engine or a plain service. */

#include <memory>

#include "endpoint/call_server.h"
#include "endpoint/model_order_controller.h"
#include "fleet/fleet_state.h"
#include "kernel/role.h"

namespace buckthornpath {

namespace {

class EndpointRole final : public Role {
 public:
  explicit EndpointRole(const RoleContext& context)
      : fleet(context),
        server(context, this->fleet),
        orders(context,
               this->fleet,
               static_cast<std::uint32_t>(this->server.ThisIncarnation())) {}

  void Start() override {
    this->fleet.Start();
    this->server.Start();
    this->orders.Start();
  }

  void BeginDrain() override {
    this->server.BeginDrain();
    this->orders.Stop();
    this->fleet.AnnounceLeave();
  }

  std::vector<std::string> InFlight() const override {
    return this->server.InFlight();
  }

  void StopAccepting() override { this->server.StopAccepting(); }

  std::size_t OpenExchanges() const override {
    return this->server.OpenExchanges() +
           (this->orders.IsSendingOrder() ? 1 : 0);
  }

  nlohmann::json Status() const override {
    nlohmann::json status = this->fleet.Status();
    status["role"] = "endpoint";
    status["running"] = this->server.Admission().Running();
    status["queued"] = this->server.Admission().Queued();
    status["load"] = this->server.Admission().Status();
    status["outcomes"] = this->server.OutcomeCount();
    status["orders"] = this->orders.Status();
    return status;
  }

 private:
  FleetState fleet;
  CallServer server;
  ModelOrderController orders;
};

const RoleFactory kEndpointRole(
    "endpoint",
    "Runs calls at the local model engine or plain service",
    [](const RoleContext& context) {
      return std::make_unique<EndpointRole>(context);
    });

}  // namespace

}  // namespace buckthornpath
