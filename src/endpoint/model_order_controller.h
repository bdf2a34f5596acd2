/** @file model_order_controller.h Control loop that keeps the assigned model
 * loaded in the local engine. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_CONTROLLER_H_
#define SRC_ENDPOINT_MODEL_ORDER_CONTROLLER_H_

#include <atomic>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "buckthornpath/model_assignment.h"
#include "endpoint/model_order_policy.h"
#include "fleet/fleet_state.h"
#include "kernel/lock_order.h"
#include "kernel/role.h"

namespace buckthornpath {

/**
 * Computes the model assigned to this replica from the configuration and the
 * member list, and sends the engine an order when it holds another model.
 */
class ModelOrderController {
 public:
  /** @param seed Seed of the random jitter of load delays. */
  ModelOrderController(const RoleContext& context,
                       const FleetState& fleet,
                       std::uint32_t seed);

  void Start();

  /** Sends no further order. */
  void Stop() { this->stopped = true; }

  /** @return True while an order is being sent. */
  bool IsSendingOrder() const { return this->is_sending_order; }

  /** @return State of the loop and last known state of the engine, for the
   *     operator interface. */
  nlohmann::json Status() const;

 private:
  /** @return "ordering", "superseded" or "stopped". */
  std::string State() const;

  /** Input of the model assignment. */
  struct AssignmentInputs {
    ConfigurationPtr configuration;
    std::vector<ModelDemand> models;
    std::vector<Replica> replicas;
    bool is_leaving = false;  ///< The VM list marks this replica as leaving.
  };

  asio::awaitable<void> Run();
  asio::awaitable<void> ReconcileOnce();
  asio::awaitable<void> OrderModel(ModelSpec model);

  AssignmentInputs ReadAssignmentInputs() const;

  /** Updates the policy's target model and logs a changed assignment. */
  void UpdateTarget();
  void LogAssignment(const AssignmentInputs& inputs,
                     const ModelSpec& target,
                     std::size_t changed_count,
                     std::chrono::milliseconds delay);

  /** @return Assignments whose model names include version and adapters, so
   *     that a change of these counts as a changed assignment. */
  static std::vector<ModelAssignment> WithModelDetails(
      std::vector<ModelAssignment> assignments,
      const Configuration& configuration);

  RoleContext context;
  const FleetState& fleet;
  EndpointId self;
  ModelOrderPolicy policy;
  std::optional<FencingTokenGenerator> fencing_tokens;
  std::optional<bool> checks_fencing;
  std::vector<ModelAssignment> last_assignments;  ///< From WithModelDetails().
  std::vector<EndpointId> changed_replicas;       ///< Since the last order.
  std::optional<ModelSpec> last_target;
  Revision last_revision{};
  std::minstd_rand random;
  mutable OrderedMutex engine_state_mutex{LockRank::kModelOrders};
  EngineState engine_state;  ///< Last state fetched.
  std::atomic<bool> stopped = false;
  std::atomic<bool> superseded = false;
  std::atomic<bool> is_sending_order = false;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_CONTROLLER_H_
