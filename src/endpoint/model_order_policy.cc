/** @file model_order_policy.cc Decides when to send a model order to the
 * engine. */

#include "endpoint/model_order_policy.h"

#include <algorithm>
#include <utility>

namespace buckthornpath {

namespace {

/** Time after which an accepted order is repeated if the engine's state has not
 * changed. */
constexpr std::chrono::seconds kRepeatInterval{300};

constexpr std::chrono::milliseconds kFirstBackoff{1000};
constexpr int kMaxBackoffDoublings = 6;

}  // namespace

void ModelOrderPolicy::Tick(TimePoint now) {
  if (now - this->last_tick > this->timing.lifetime) {
    this->resumed_after_pause = true;
    this->due_at = std::max(this->due_at, now + this->timing.settle_time);
  }
  this->last_tick = now;
}

void ModelOrderPolicy::SetTarget(ModelSpec target,
                                 std::chrono::milliseconds load_delay,
                                 TimePoint now) {
  this->target = std::move(target);
  this->due_at = now + this->timing.settle_time + load_delay;
  this->consecutive_failures = 0;
  this->is_loading = false;
}

bool ModelOrderPolicy::IsFromOtherIssuer(const EngineState& state) const {
  const bool has_sent_order = this->last_sent != FencingToken{};
  if (has_sent_order && state.highest_fencing > this->highest_seen)
    return true;
  if (!this->resumed_after_pause)
    return false;
  if (state.highest_fencing > this->highest_seen)
    return true;
  const bool restarted = state.loaded.model.empty();
  return this->last_accepted && !restarted &&
         state.loaded != *this->last_accepted &&
         state.loaded != this->engine_model;
}

void ModelOrderPolicy::Observe(const EngineState& state) {
  this->superseded = this->superseded || this->IsFromOtherIssuer(state);
  this->resumed_after_pause = false;
  this->highest_seen = std::max(this->highest_seen, state.highest_fencing);
  if (this->is_loading && this->engine_model != state.loaded) {
    // The load has finished or the engine was restarted: decide again now.
    this->is_loading = false;
    this->due_at = this->last_tick;
  }
  this->engine_model = state.loaded;
}

std::optional<ModelSpec> ModelOrderPolicy::DueOrder(TimePoint now) const {
  const bool may_send = !this->superseded && !this->resumed_after_pause;
  if (!may_send || !this->target || !this->engine_model || now < this->due_at)
    return std::nullopt;
  if (*this->engine_model == *this->target)
    return std::nullopt;
  return this->target;
}

void ModelOrderPolicy::RecordReply(const ModelOrder& order,
                                   const OrderReply& reply,
                                   TimePoint now) {
  this->last_sent = order.fencing;
  this->highest_seen = std::max(this->highest_seen, order.fencing);
  switch (reply.outcome) {
    case OrderOutcome::kAccepted:
      this->last_accepted = order.target;
      this->consecutive_failures = 0;
      this->due_at = now + kRepeatInterval;
      this->is_loading = true;
      break;
    case OrderOutcome::kSuperseded:
      this->superseded = true;
      break;
    case OrderOutcome::kFailed:
      this->due_at =
          now + kFirstBackoff * (1 << std::min(this->consecutive_failures,
                                               kMaxBackoffDoublings));
      ++this->consecutive_failures;
      break;
  }
}

}  // namespace buckthornpath
