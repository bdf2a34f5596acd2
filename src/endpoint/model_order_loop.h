/** @file model_order_loop.h Control loop that keeps the assigned model loaded
 * in the local engine. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_LOOP_H_
#define SRC_ENDPOINT_MODEL_ORDER_LOOP_H_

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
class ModelOrderLoop {
 public:
  /** @param seed Seed of the random jitter of load delays. */
  ModelOrderLoop(const RoleContext& context,
                 const FleetState& fleet,
                 std::uint32_t seed);

  void Start();

  /** Sends no further order. */
  void Stop() { this->stopped = true; }

  /** @return True while an order is being sent. */
  bool IsGiving() const { return this->giving; }

  /** @return State of the loop and last known state of the engine, for the
   *     operator interface. */
  nlohmann::json Status() const;

 private:
  /** @return "ordering", "superseded" or "stopped". */
  std::string State() const;

  /** Input of the model assignment. */
  struct Inputs {
    ConfigurationPtr configuration;
    std::vector<ModelDemand> models;
    std::vector<ReplicaSite> replicas;
    bool is_leaving = false;  ///< The VM list marks this replica as leaving.
  };

  asio::awaitable<void> Run();
  asio::awaitable<void> LookOnce();
  asio::awaitable<void> Give(LoadedModel load);

  Inputs ReadInputs() const;

  /** Updates the policy's target model and logs a changed assignment. */
  void UpdateChoice();
  void LogChoice(const Inputs& inputs,
                 const LoadedModel& choice,
                 std::size_t changed,
                 std::chrono::milliseconds delay);

  /** @return Assignments whose model names include version and adapters, so
   *     that a change of these counts as a changed assignment. */
  static std::vector<ModelChoice> Detailed(std::vector<ModelChoice> choices,
                                           const Configuration& configuration);

  RoleContext context;
  const FleetState& fleet;
  EndpointId self;
  ModelOrderPolicy policy;
  std::optional<FencingSequence> fencing;
  std::optional<bool> checks_fencing;
  std::vector<ModelChoice> last_choices;  ///< From Detailed().
  std::vector<EndpointId> changed;        ///< Since the last order.
  std::optional<LoadedModel> last_choice;
  Revision last_revision{};
  std::minstd_rand random;
  mutable OrderedMutex shown_mutex{LockRank::kModelOrders};
  EngineState shown;  ///< Last state fetched.
  std::atomic<bool> stopped = false;
  std::atomic<bool> superseded = false;
  std::atomic<bool> giving = false;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_LOOP_H_
