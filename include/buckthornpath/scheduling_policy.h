/** @file scheduling_policy.h Scheduling policies of the admission queue. */

#ifndef BUCKTHORNPATH_SCHEDULING_POLICY_H_
#define BUCKTHORNPATH_SCHEDULING_POLICY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "buckthornpath/rank_type.h"
#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Identifies one call within an admission queue. */
enum class CallHandle : std::uint64_t {};

/** Call that waits for a slot at its endpoint. */
struct WaitingCall {
  CallHandle handle{};
  Rank rank = Rank::kStandard;
  OrganisationId organisation;
  std::int64_t weight = 1;               ///< Weight of the organisation.
  std::int64_t cost = 1;                 ///< Estimated work, in tokens.
  std::chrono::milliseconds deadline{};  ///< Latest start, monotonic.
};

/** One value for each rank, indexed by Rank. */
template <class Value>
using PerRank = std::array<Value, kRankCount>;

inline constexpr std::size_t IndexOf(Rank rank) {
  return static_cast<std::size_t>(rank);
}

/** Scheduling policy: orders the waiting calls. Not thread-safe. */
class SchedulingPolicy {
 public:
  virtual ~SchedulingPolicy() = default;

  /** Sets each rank's minimum share of started work, 0 to 1. */
  virtual void SetShares(const PerRank<double>& shares) = 0;

  virtual void Add(const WaitingCall& call) = 0;

  /** Removes a call that will not start. @pre The call was added. */
  virtual void Remove(const WaitingCall& call) = 0;

  /**
   * Removes and returns the call to start next.
   * @param allowed Ranks that may take a slot.
   */
  virtual std::optional<WaitingCall> Take(const PerRank<bool>& allowed) = 0;

  /**
   * Chooses the call to evict from a full queue.
   * @param limit Maximum number of waiting calls.
   * @return The call, or nothing if the arrival must be refused instead.
   */
  virtual std::optional<CallHandle> EvictionCandidate(
      const WaitingCall& arrival,
      std::size_t limit) const = 0;

  /** @return Estimated work that starts before an arrival, in tokens. */
  virtual double WorkAhead(const WaitingCall& arrival) const = 0;

  /**
   * @param limit Slots of the endpoint.
   * @return Slots reserved for each rank; less urgent ranks must
   *     leave them free.
   */
  virtual PerRank<std::size_t> ReservedSlots(std::size_t limit) const = 0;
};

/** First come, first served. */
std::unique_ptr<SchedulingPolicy> MakeFifoPolicy();

/** Strict priority; first come, first served within a rank. */
std::unique_ptr<SchedulingPolicy> MakePriorityPolicy();

/**
 * Priority with guaranteed minimum shares: the most urgent rank goes first,
 * but each rank with waiting calls gets its minimum share of the started work.
 * Within a rank, organisations share by weight through start-time fair
 * queueing (Goyal, Vin and Cheng 1996).
 */
std::unique_ptr<SchedulingPolicy> MakeMinimumSharePolicy();

/** Scheduling policy that settings and benchmarks select by name. */
struct SchedulingPolicyEntry {
  std::string_view name;
  std::unique_ptr<SchedulingPolicy> (*make)();
};

inline constexpr SchedulingPolicyEntry kSchedulingPolicies[] = {
    {"arrival", MakeFifoPolicy},
    {"priority", MakePriorityPolicy},
    {"share", MakeMinimumSharePolicy},
};

/** @return A new policy with this name, or null. */
std::unique_ptr<SchedulingPolicy> MakeSchedulingPolicy(std::string_view name);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_SCHEDULING_POLICY_H_
