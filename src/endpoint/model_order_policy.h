/** @file model_order_policy.h When an endpoint process may give its engine an
 * order. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_POLICY_H_
#define SRC_ENDPOINT_MODEL_ORDER_POLICY_H_

#include <chrono>
#include <optional>

#include "endpoint/model_order_type.h"
#include "kernel/boot_clock.h"

namespace buckthornpath {

/** Times that bound orders. */
struct OrderTimes {
  std::chrono::milliseconds settle{};    ///< A choice must stand so long.
  std::chrono::milliseconds lifetime{};  ///< An undelivered order's life.
};

/**
 * Decides when an order is due, and when this process is no longer the one
 * that may give any: once another issuer has spoken. Does no I/O.
 */
class ModelOrderPolicy {
 public:
  using TimePoint = BootClock::time_point;

  ModelOrderPolicy(OrderTimes times, TimePoint now)
      : times(times), last_tick(now) {}

  /**
   * Notes that the process runs. After a gap longer than an order's lifetime
   * all that it believed is old: its choice must settle again, and what the
   * engine shows next tells whether another issuer has spoken meanwhile.
   */
  void Tick(TimePoint now);

  /**
   * Notes the model that the engine is to hold.
   * @param load_delay Wait for the replica's place among those that load.
   */
  void Want(LoadedModel wanted,
            std::chrono::milliseconds load_delay,
            TimePoint now);

  /** Notes that no order is wanted. */
  void WantNothing() { this->wanted.reset(); }

  /** @return True if the engine is to hold a model. */
  bool WantsAny() const { return this->wanted.has_value(); }

  /** Notes what the engine shows. */
  void Observe(const EngineState& state);

  /** @return The model to order now, or nothing. */
  std::optional<LoadedModel> Due(TimePoint now) const;

  /** Notes what became of an order. */
  void Note(const ModelOrder& order, const OrderReply& reply, TimePoint now);

  /** @return True once another issuer has spoken; no order is due again. */
  bool IsSuperseded() const { return this->superseded; }

 private:
  /** @return True if what the engine shows is another issuer's doing. */
  bool IsForeign(const EngineState& state) const;

  OrderTimes times;
  TimePoint last_tick;
  bool woke_from_pause = false;
  bool superseded = false;
  std::optional<LoadedModel> wanted;
  std::optional<LoadedModel> holds;     ///< As the engine last showed.
  std::optional<LoadedModel> accepted;  ///< Last order that was accepted.
  FencingNumber last_given{};           ///< 0 before the first order.
  FencingNumber highest_seen{};         ///< Of the engine or of an order.
  bool loading = false;  ///< Accepted, and the engine does not show it yet.
  int failures = 0;      ///< Orders failed in a row.
  TimePoint due_at{};
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_POLICY_H_
