/** @file endpoint_role.cc The role beside an engine or a plain service. */

#include <memory>

#include "endpoint/dialogue_server.h"
#include "fleet/configuration_client.h"
#include "fleet/member_list.h"
#include "kernel/role.h"

namespace buckthornpath {

namespace {

class EndpointRole final : public Role {
 public:
  explicit EndpointRole(const RoleContext& context)
      : context(context),
        configuration_client(
            this->configuration,
            ParseSocketAddress(context.settings.configuration_address),
            context.settings.configuration_wait),
        server(context, this->configuration) {}

  void Start() override {
    const Settings& settings = this->context.settings;
    this->context.pool.Spawn(this->configuration_client.Follow());
    this->context.pool.Spawn(FollowVmList(
        this->members, ParseSocketAddress(settings.vm_list_address),
        settings.vm_list_interval));
    this->server.Start();
  }

  void BeginDrain() override { this->server.BeginDrain(); }

  std::vector<std::string> InFlight() const override {
    return this->server.InFlight();
  }

  void StopAccepting() override { this->server.StopAccepting(); }

  std::size_t OpenExchanges() const override {
    return this->server.OpenExchanges();
  }

  nlohmann::json Status() const override {
    return {
        {"role", "endpoint"},
        {"configuration_revision",
         static_cast<std::uint64_t>(this->configuration.InForce()->revision)},
        {"members", this->members.All().size()},
        {"incarnation",
         static_cast<std::uint64_t>(this->server.ThisIncarnation())},
        {"running", this->server.Calls().Running()},
        {"queued", this->server.Calls().Queued()},
        {"outcomes", this->server.Outcomes()}};
  }

 private:
  RoleContext context;
  ConfigurationStore configuration;
  MemberList members;
  ConfigurationClient configuration_client;
  DialogueServer server;
};

const RoleFactory kEndpointRole(
    "endpoint",
    "Runs calls at the model engine or plain service beside it",
    [](const RoleContext& context) {
      return std::make_unique<EndpointRole>(context);
    });

}  // namespace

}  // namespace buckthornpath
