/** @file model_order_loop.cc Control loop that keeps the assigned model loaded
 * in the local engine. */

#include "endpoint/model_order_loop.h"

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

LoadedModel LoadOf(const PublishedModel& model) {
  return {model.model, model.version, model.AdapterNames()};
}

nlohmann::json ToJson(const LoadedModel& load) {
  return {{"model", load.model},
          {"version", load.version},
          {"adapters", load.adapters}};
}

}  // namespace

ModelOrderLoop::ModelOrderLoop(const RoleContext& context,
                               const FleetState& fleet,
                               std::uint32_t seed)
    : context(context),
      fleet(fleet),
      self(context.settings.vm),
      policy(
          {context.settings.assignment_settle, context.settings.order_lifetime},
          BootClock::now()),
      random(seed) {}

void ModelOrderLoop::Start() {
  this->context.pool.Spawn(this->Run());
}

std::string ModelOrderLoop::State() const {
  if (this->superseded)
    return "superseded";
  return this->stopped ? "stopped" : "ordering";
}

nlohmann::json ModelOrderLoop::Status() const {
  const OrderedLock lock(this->shown_mutex);
  return {{"state", this->State()},
          {"model", this->shown.holds.model},
          {"version", this->shown.holds.version},
          {"adapters", this->shown.holds.adapters},
          {"highest_fencing",
           static_cast<std::uint64_t>(this->shown.highest_fencing)}};
}

asio::awaitable<void> ModelOrderLoop::Run() {
  while (!this->stopped && !this->superseded) {
    std::string fault;
    try {
      co_await this->LookOnce();
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

ModelOrderLoop::Inputs ModelOrderLoop::ReadInputs() const {
  Inputs inputs;
  const Settings& settings = this->context.settings;
  inputs.configuration = this->fleet.InForce();
  for (const auto& [name, model] : inputs.configuration->models) {
    if (model.service != settings.service)
      continue;
    inputs.models.push_back({name, static_cast<double>(model.share),
                             static_cast<std::size_t>(model.minimum_replicas)});
  }
  bool listed = false;
  for (const Member& member : this->fleet.Members().All()) {
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

std::vector<ModelChoice> ModelOrderLoop::Detailed(
    std::vector<ModelChoice> choices,
    const Configuration& configuration) {
  for (ModelChoice& choice : choices) {
    const auto found = configuration.models.find(choice.model);
    if (found == configuration.models.end())
      continue;
    const PublishedModel& model = found->second;
    choice.model = ModelName(model.name + "\n" + model.model + "\n" +
                             model.version + "\n" + model.adapters);
  }
  return choices;
}

void ModelOrderLoop::UpdateChoice() {
  const Inputs inputs = this->ReadInputs();
  if (inputs.models.empty() || inputs.is_leaving) {
    this->policy.WantNothing();
    this->last_choice.reset();
    return;
  }
  const auto choices = AssignModels(inputs.models, inputs.replicas);
  auto detailed = Detailed(choices, *inputs.configuration);
  if (this->last_choices.empty()) {
    // At the start, the other replicas are assumed to hold the models that
    // they would be assigned without this one.
    auto others = inputs.replicas;
    std::erase_if(others,
                  [&](const auto& site) { return site.id == this->self; });
    this->last_choices =
        Detailed(AssignModels(inputs.models, others), *inputs.configuration);
  }
  for (EndpointId& id : ChangedReplicas(this->last_choices, detailed)) {
    if (std::find(this->changed.begin(), this->changed.end(), id) ==
        this->changed.end()) {
      this->changed.push_back(std::move(id));
    }
  }
  this->last_choices = std::move(detailed);
  const auto model =
      inputs.configuration->models.find(ChoiceFor(choices, this->self));
  if (model == inputs.configuration->models.end()) {
    this->policy.WantNothing();
    return;
  }
  const LoadedModel choice = LoadOf(model->second);
  if (choice == this->last_choice)
    return;
  const auto service =
      inputs.configuration->services.find(ServiceName(model->second.service));
  LoadPace pace{inputs.configuration->revision, 1};
  if (service != inputs.configuration->services.end())
    pace.loads_per_minute = service->second.loads_per_minute;
  const double jitter = std::uniform_real_distribution<>()(this->random);
  const auto delay = LoadDelay(pace, this->changed, this->self, jitter);
  this->LogChoice(inputs, choice, this->changed.size(), delay);
  this->policy.Want(choice, delay, BootClock::now());
  this->last_choice = choice;
  this->last_revision = inputs.configuration->revision;
}

void ModelOrderLoop::LogChoice(const Inputs& inputs,
                               const LoadedModel& choice,
                               std::size_t changed,
                               std::chrono::milliseconds delay) {
  const auto counts = ReplicaCounts(inputs.models, inputs.replicas.size());
  nlohmann::json models = nlohmann::json::array();
  for (std::size_t i = 0; i < inputs.models.size(); ++i) {
    models.push_back({{"name", inputs.models[i].name.str()},
                      {"share", inputs.models[i].share},
                      {"replicas", counts[i]}});
  }
  const char* reason = "membership_changed";
  if (!this->last_choice) {
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
       {"choice", ToJson(choice)},
       {"reason", reason},
       {"replicas_that_load", changed},
       {"load_delay_ms", delay.count()}});
}

asio::awaitable<void> ModelOrderLoop::LookOnce() {
  this->policy.Tick(BootClock::now());
  // At the start and after a pause of the process, the configuration and the
  // member list may be outdated.
  if (!this->fleet.IsReady())
    co_return;
  this->UpdateChoice();
  if (!this->policy.WantsAny())
    co_return;
  const EngineState state = co_await FetchEngineState(
      ParseSocketAddress(this->context.settings.engine_address));
  this->policy.Tick(BootClock::now());
  this->policy.Observe(state);
  {
    const OrderedLock lock(this->shown_mutex);
    this->shown = state;
  }
  if (state.checks_fencing && state.checks_fencing != this->checks_fencing) {
    this->checks_fencing = state.checks_fencing;
    LogLine(LogLevel::kInfo, "engine_met",
            {{"checks_fencing", *state.checks_fencing}});
  }
  auto due = this->policy.Due(BootClock::now());
  if (due && !this->stopped)
    co_await this->Give(std::move(*due));
}

asio::awaitable<void> ModelOrderLoop::Give(LoadedModel load) {
  std::optional<FencingNumber> number;
  if (this->fencing)
    number = this->fencing->Next();
  if (!number) {
    this->fencing.emplace(this->shown.highest_fencing,
                          std::chrono::system_clock::now());
    number = this->fencing->Next();
  }
  ModelOrder order;
  order.fencing = number.value_or(FencingNumber{});
  order.load = std::move(load);
  order.lifetime = this->context.settings.order_lifetime;
  this->giving = true;
  const OrderReply reply = co_await GiveOrder(
      ParseSocketAddress(this->context.settings.engine_address), order,
      BootClock::now());
  this->giving = false;
  this->policy.Tick(BootClock::now());
  this->policy.Note(order, reply, BootClock::now());
  this->changed.clear();
  ProcessMetrics().Add(
      "model_orders_total",
      std::string("outcome=\"") + OutcomeText(reply.outcome) + "\"");
  LogLine(LogLevel::kInfo, "model_order",
          {{"fencing", static_cast<std::uint64_t>(order.fencing)},
           {"load", ToJson(order.load)},
           {"outcome", OutcomeText(reply.outcome)},
           {"highest", static_cast<std::uint64_t>(reply.highest)},
           {"detail", reply.detail}});
}

}  // namespace buckthornpath
