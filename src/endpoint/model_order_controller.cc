/** @file model_order_controller.cc Control loop that keeps the assigned model
 * loaded in the local engine. */

#include "endpoint/model_order_controller.h"

#include <algorithm>

#include "endpoint/model_order_client.h"
#include "endpoint/model_order_schedule.h"
#include "kernel/http_client.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

const char* OutcomeText(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kSuperseded:
      return "superseded";
    default:
      return "failed";
  }
}

ModelSpec ModelSpecOf(const PublishedModel& model) {
  return {model.model, model.version, model.AdapterNames()};
}

nlohmann::json ToJson(const ModelSpec& model) {
  return {{"model", model.model},
          {"version", model.version},
          {"adapters", model.adapters}};
}

}  // namespace

ModelOrderController::ModelOrderController(const RoleContext& context,
                                           const FleetState& fleet,
                                           std::uint32_t seed)
    : context(context),
      fleet(fleet),
      self(context.settings.vm),
      policy(
          {context.settings.assignment_settle, context.settings.order_lifetime},
          BootClock::now()),
      random(seed) {}

void ModelOrderController::Start() {
  this->context.pool.Spawn(this->Run());
}

std::string ModelOrderController::State() const {
  if (this->superseded)
    return "superseded";
  return this->stopped ? "stopped" : "ordering";
}

nlohmann::json ModelOrderController::Status() const {
  const OrderedLock lock(this->engine_state_mutex);
  return {{"state", this->State()},
          {"model", this->engine_state.loaded.model},
          {"version", this->engine_state.loaded.version},
          {"adapters", this->engine_state.loaded.adapters},
          {"highest_fencing",
           static_cast<std::uint64_t>(this->engine_state.highest_fencing)}};
}

asio::awaitable<void> ModelOrderController::Run() {
  while (!this->stopped && !this->superseded) {
    std::string fault;
    try {
      co_await this->ReconcileOnce();
    } catch (const HttpError& error) {
      fault = error.what();
    }
    if (!fault.empty())
      LogLine(LogLevel::kDebug, "engine_state_fault", {{"reason", fault}});
    if (this->policy.IsSuperseded()) {
      this->superseded = true;
      LogLine(LogLevel::kError, "orders_superseded",
              {{"engine", this->context.settings.engine_address}});
    }
    co_await SleepFor(this->context.settings.order_interval);
  }
}

ModelOrderController::AssignmentInputs
ModelOrderController::ReadAssignmentInputs() const {
  AssignmentInputs inputs;
  const Settings& settings = this->context.settings;
  inputs.configuration = this->fleet.Active();
  for (const auto& [name, model] : inputs.configuration->models) {
    if (model.service != settings.service)
      continue;
    inputs.models.push_back({name, static_cast<double>(model.share),
                             static_cast<std::size_t>(model.minimum_replicas)});
  }
  bool listed = false;
  for (const Member& member : this->fleet.Members().AllMembers()) {
    if (member.service.str() != settings.service)
      continue;
    const bool is_self = member.id == this->self;
    listed = listed || is_self;
    if (member.state == MemberState::kLive) {
      inputs.replicas.push_back({member.id, member.failure_domain});
    } else if (is_self) {
      inputs.is_leaving = true;
    }
  }
  if (!listed) {
    inputs.replicas.push_back(
        {this->self, FailureDomainId(settings.failure_domain)});
  }
  return inputs;
}

std::vector<ModelAssignment> ModelOrderController::WithModelDetails(
    std::vector<ModelAssignment> assignments,
    const Configuration& configuration) {
  for (ModelAssignment& assignment : assignments) {
    const auto found = configuration.models.find(assignment.model);
    if (found == configuration.models.end())
      continue;
    const PublishedModel& model = found->second;
    assignment.model = ModelName(model.name + "\n" + model.model + "\n" +
                                 model.version + "\n" + model.adapters);
  }
  return assignments;
}

void ModelOrderController::UpdateTarget() {
  const AssignmentInputs inputs = this->ReadAssignmentInputs();
  if (inputs.models.empty() || inputs.is_leaving) {
    this->policy.ClearTarget();
    this->last_target.reset();
    return;
  }
  const auto assignments = AssignModels(inputs.models, inputs.replicas);
  auto detailed = WithModelDetails(assignments, *inputs.configuration);
  if (this->last_assignments.empty()) {
    // At the start, the other replicas are assumed to hold the models that
    // they would be assigned without this one.
    auto others = inputs.replicas;
    std::erase_if(
        others, [&](const auto& replica) { return replica.id == this->self; });
    this->last_assignments = WithModelDetails(
        AssignModels(inputs.models, others), *inputs.configuration);
  }
  for (EndpointId& id : ChangedReplicas(this->last_assignments, detailed)) {
    if (std::find(this->changed_replicas.begin(), this->changed_replicas.end(),
                  id) == this->changed_replicas.end()) {
      this->changed_replicas.push_back(std::move(id));
    }
  }
  this->last_assignments = std::move(detailed);
  const auto model =
      inputs.configuration->models.find(AssignedModel(assignments, this->self));
  if (model == inputs.configuration->models.end()) {
    this->policy.ClearTarget();
    return;
  }
  const ModelSpec target = ModelSpecOf(model->second);
  if (target == this->last_target)
    return;
  const auto service =
      inputs.configuration->services.find(ServiceName(model->second.service));
  LoadRateLimit rate_limit{inputs.configuration->revision, 1};
  if (service != inputs.configuration->services.end())
    rate_limit.loads_per_minute = service->second.loads_per_minute;
  const double jitter = std::uniform_real_distribution<>()(this->random);
  const auto delay =
      LoadDelay(rate_limit, this->changed_replicas, this->self, jitter);
  this->LogAssignment(inputs, target, this->changed_replicas.size(), delay);
  this->policy.SetTarget(target, delay, BootClock::now());
  this->last_target = target;
  this->last_revision = inputs.configuration->revision;
}

void ModelOrderController::LogAssignment(const AssignmentInputs& inputs,
                                         const ModelSpec& target,
                                         std::size_t changed_count,
                                         std::chrono::milliseconds delay) {
  const auto counts = DivideReplicas(inputs.models, inputs.replicas.size());
  nlohmann::json models = nlohmann::json::array();
  for (std::size_t i = 0; i < inputs.models.size(); ++i) {
    models.push_back({{"name", inputs.models[i].name.str()},
                      {"share", inputs.models[i].share},
                      {"replicas", counts[i]}});
  }
  const char* reason = "membership_changed";
  if (!this->last_target) {
    reason = "started";
  } else if (this->last_revision != inputs.configuration->revision) {
    reason = "configuration_changed";
  }
  LogLine(
      LogLevel::kInfo, "model_placement",
      {{"service", this->context.settings.service},
       {"revision", static_cast<std::uint64_t>(inputs.configuration->revision)},
       {"replicas", inputs.replicas.size()},
       {"models", models},
       {"choice", ToJson(target)},
       {"reason", reason},
       {"replicas_that_load", changed_count},
       {"load_delay_ms", delay.count()}});
}

asio::awaitable<void> ModelOrderController::ReconcileOnce() {
  this->policy.Tick(BootClock::now());
  // At the start and after a pause of the process, the configuration and the
  // member list may be outdated.
  if (!this->fleet.IsReady())
    co_return;
  this->UpdateTarget();
  if (!this->policy.HasTarget())
    co_return;
  const EngineState state = co_await FetchEngineState(
      ParseSocketAddress(this->context.settings.engine_address));
  this->policy.Tick(BootClock::now());
  this->policy.Observe(state);
  {
    const OrderedLock lock(this->engine_state_mutex);
    this->engine_state = state;
  }
  if (state.checks_fencing && state.checks_fencing != this->checks_fencing) {
    this->checks_fencing = state.checks_fencing;
    LogLine(LogLevel::kInfo, "engine_met",
            {{"checks_fencing", *state.checks_fencing}});
  }
  auto due = this->policy.DueOrder(BootClock::now());
  if (due && !this->stopped)
    co_await this->OrderModel(std::move(*due));
}

asio::awaitable<void> ModelOrderController::OrderModel(ModelSpec model) {
  std::optional<FencingToken> token;
  if (this->fencing_tokens)
    token = this->fencing_tokens->Next();
  if (!token) {
    this->fencing_tokens.emplace(this->engine_state.highest_fencing,
                                 std::chrono::system_clock::now());
    token = this->fencing_tokens->Next();
  }
  ModelOrder order;
  order.fencing = token.value_or(FencingToken{});
  order.target = std::move(model);
  order.lifetime = this->context.settings.order_lifetime;
  this->is_sending_order = true;
  const OrderReply reply = co_await SendOrder(
      ParseSocketAddress(this->context.settings.engine_address), order,
      BootClock::now());
  this->is_sending_order = false;
  this->policy.Tick(BootClock::now());
  this->policy.RecordReply(order, reply, BootClock::now());
  this->changed_replicas.clear();
  ProcessMetrics().Add(
      "model_orders_total",
      std::string("outcome=\"") + OutcomeText(reply.outcome) + "\"");
  LogLine(LogLevel::kInfo, "model_order",
          {{"fencing", static_cast<std::uint64_t>(order.fencing)},
           {"load", ToJson(order.target)},
           {"outcome", OutcomeText(reply.outcome)},
           {"highest", static_cast<std::uint64_t>(reply.highest_fencing)},
           {"detail", reply.detail}});
}

}  // namespace buckthornpath
