/** @file model_order_loop.h Keeps the engine beside this process on the model
 * that follows from the published documents. */

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

/** Computes the choice for this replica and orders the engine to follow it. */
class ModelOrderLoop {
 public:
  /** @param seed Of the jitter of loads. */
  ModelOrderLoop(const RoleContext& context,
                 const FleetState& fleet,
                 std::uint32_t seed);

  void Start();

  /** Gives no further order. */
  void Stop() { this->stopped = true; }

  /** @return True while an order is on its way. */
  bool IsGiving() const { return this->giving; }

  /** @return What operators see: the state, the model held and wanted. */
  nlohmann::json Status() const;

 private:
  /** @return "ordering", "superseded" or "stopped". */
  std::string State() const;

  /** What the choices follow from. */
  struct Inputs {
    ConfigurationPtr configuration;
    std::vector<ModelDemand> models;
    std::vector<ReplicaSite> replicas;
    bool is_leaving = false;  ///< The VM list has this replica leaving.
  };

  asio::awaitable<void> Run();
  asio::awaitable<void> LookOnce();
  asio::awaitable<void> Give(LoadedModel load);

  Inputs ReadInputs() const;

  /** Brings the policy's wish up to date and logs a changed choice. */
  void UpdateChoice();
  void LogChoice(const Inputs& inputs,
                 const LoadedModel& choice,
                 std::size_t changed,
                 std::chrono::milliseconds delay);

  /** @return Choices whose names also tell version and adapters. */
  static std::vector<ModelChoice> Detailed(std::vector<ModelChoice> choices,
                                           const Configuration& configuration);

  RoleContext context;
  const FleetState& fleet;
  EndpointId self;
  ModelOrderPolicy policy;
  std::optional<FencingSequence> fencing;
  std::optional<bool> checks_fencing;
  std::vector<ModelChoice> last_choices;  ///< Detailed.
  std::vector<EndpointId> changed;        ///< Since the last order.
  std::optional<LoadedModel> last_choice;
  Revision last_revision{};
  std::minstd_rand random;
  mutable OrderedMutex shown_mutex{LockRank::kModelOrders};
  EngineState shown;  ///< What the engine showed last.
  std::atomic<bool> stopped = false;
  std::atomic<bool> superseded = false;
  std::atomic<bool> giving = false;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_LOOP_H_
