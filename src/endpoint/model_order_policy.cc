/** @file model_order_policy.cc Decides when to send a model order to the
 * engine. */

#include "endpoint/model_order_policy.h"

#include <algorithm>
#include <utility>

namespace buckthornpath {

namespace {

/** Time after which an accepted order is repeated if the engine's state has not
 * changed. */
constexpr std::chrono::seconds kRepeatAfter{300};

constexpr std::chrono::milliseconds kFirstBackoff{1000};
constexpr int kMaxBackoffDoublings = 6;

}  // namespace

void ModelOrderPolicy::Tick(TimePoint now) {
  if (now - this->last_tick > this->times.lifetime) {
    this->woke_from_pause = true;
    this->due_at = std::max(this->due_at, now + this->times.settle);
  }
  this->last_tick = now;
}

void ModelOrderPolicy::Want(LoadedModel wanted,
                            std::chrono::milliseconds load_delay,
                            TimePoint now) {
  this->wanted = std::move(wanted);
  this->due_at = now + this->times.settle + load_delay;
  this->failures = 0;
  this->loading = false;
}

bool ModelOrderPolicy::IsForeign(const EngineState& state) const {
  const bool has_spoken = this->last_given != FencingNumber{};
  if (has_spoken && state.highest_fencing > this->highest_seen)
    return true;
  if (!this->woke_from_pause)
    return false;
  if (state.highest_fencing > this->highest_seen)
    return true;
  const bool restarted = state.holds.model.empty();
  return this->accepted && !restarted && state.holds != *this->accepted &&
         state.holds != this->holds;
}

void ModelOrderPolicy::Observe(const EngineState& state) {
  this->superseded = this->superseded || this->IsForeign(state);
  this->woke_from_pause = false;
  this->highest_seen = std::max(this->highest_seen, state.highest_fencing);
  if (this->loading && this->holds != state.holds) {
    // The load has finished or the engine was restarted: decide again now.
    this->loading = false;
    this->due_at = this->last_tick;
  }
  this->holds = state.holds;
}

std::optional<LoadedModel> ModelOrderPolicy::Due(TimePoint now) const {
  const bool may_speak = !this->superseded && !this->woke_from_pause;
  if (!may_speak || !this->wanted || !this->holds || now < this->due_at)
    return std::nullopt;
  if (*this->holds == *this->wanted)
    return std::nullopt;
  return this->wanted;
}

void ModelOrderPolicy::Note(const ModelOrder& order,
                            const OrderReply& reply,
                            TimePoint now) {
  this->last_given = order.fencing;
  this->highest_seen = std::max(this->highest_seen, order.fencing);
  switch (reply.outcome) {
    case OrderOutcome::kAccepted:
      this->accepted = order.load;
      this->failures = 0;
      this->due_at = now + kRepeatAfter;
      this->loading = true;
      break;
    case OrderOutcome::kSuperseded:
      this->superseded = true;
      break;
    case OrderOutcome::kFailed:
      this->due_at =
          now +
          kFirstBackoff * (1 << std::min(this->failures, kMaxBackoffDoublings));
      ++this->failures;
      break;
  }
}

}  // namespace buckthornpath
