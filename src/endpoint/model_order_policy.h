/** @file model_order_policy.h Decides when to send a model order to the
 * engine. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_POLICY_H_
#define SRC_ENDPOINT_MODEL_ORDER_POLICY_H_

#include <chrono>
#include <optional>

#include "endpoint/model_order_type.h"
#include "kernel/boot_clock.h"

namespace buckthornpath {

/** Time limits of orders. */
struct OrderTiming {
  std::chrono::milliseconds settle_time{};  ///< Minimum age of a target.
  std::chrono::milliseconds lifetime{};     ///< Age at which an order is void.
};

/**
 * Decides when an order is due. Once another issuer has sent an order to the
 * engine, this process is superseded and sends no further order. Does no I/O.
 */
class ModelOrderPolicy {
 public:
  using TimePoint = BootClock::time_point;

  ModelOrderPolicy(OrderTiming timing, TimePoint now)
      : timing(timing), last_tick(now) {}

  /**
   * Called regularly to detect pauses of the process. After a gap longer than
   * an order's lifetime the known state is outdated: the settle time begins
   * again, and no order is due before Observe() has checked the engine's state
   * for orders of another issuer.
   */
  void Tick(TimePoint now);

  /**
   * Sets the model that the engine is to load.
   * @param load_delay Added to the settle time; see LoadDelay().
   */
  void SetTarget(ModelSpec target,
                 std::chrono::milliseconds load_delay,
                 TimePoint now);

  /** Clears the target model; no order is due without one. */
  void ClearTarget() { this->target.reset(); }

  bool HasTarget() const { return this->target.has_value(); }

  /** Takes in the current state of the engine. */
  void Observe(const EngineState& state);

  /** @return The model of the order that is due, or nothing. */
  std::optional<ModelSpec> DueOrder(TimePoint now) const;

  /** Takes in the result of an order. A failed order is repeated with
   * exponential backoff. */
  void RecordReply(const ModelOrder& order,
                   const OrderReply& reply,
                   TimePoint now);

  /** @return True once another issuer has sent an order. */
  bool IsSuperseded() const { return this->superseded; }

 private:
  /** @return True if the engine's state shows an order of another issuer. */
  bool IsFromOtherIssuer(const EngineState& state) const;

  OrderTiming timing;
  TimePoint last_tick;
  bool resumed_after_pause = false;
  bool superseded = false;
  std::optional<ModelSpec> target;
  std::optional<ModelSpec> engine_model;   ///< Of the last engine state.
  std::optional<ModelSpec> last_accepted;  ///< By the engine, last.
  FencingToken last_sent{};                ///< 0 before the first order.
  FencingToken highest_seen{};             ///< In a state or an order.
  bool is_loading = false;  ///< Accepted, but not in the engine's state yet.
  int consecutive_failures = 0;
  TimePoint due_at{};
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_POLICY_H_
