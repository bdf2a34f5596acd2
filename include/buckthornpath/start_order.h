/** @file start_order.h Ways of choosing the waiting call that starts next. */

#ifndef BUCKTHORNPATH_START_ORDER_H_
#define BUCKTHORNPATH_START_ORDER_H_

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

/** Names one call within an admission queue. */
enum class CallHandle : std::uint64_t {};

/** A call that waits for a slot at its endpoint. */
struct WaitingCall {
  CallHandle handle{};
  Rank rank = Rank::kStandard;
  OrganisationId organisation;
  std::int64_t weight = 1;               ///< Of the organisation.
  std::int64_t cost = 1;                 ///< Estimated work, in tokens.
  std::chrono::milliseconds deadline{};  ///< Latest start; owner's clock.
};

/** One number for each rank, indexed by Rank. */
template <class Value>
using PerRank = std::array<Value, kRankCount>;

/** @return The index of a rank in a PerRank. */
inline constexpr std::size_t IndexOf(Rank rank) {
  return static_cast<std::size_t>(rank);
}

/** Chooses among waiting calls; not thread-safe. */
class StartOrder {
 public:
  virtual ~StartOrder() = default;

  /** Sets each rank's minimum share of the work started, from 0 to 1. */
  virtual void SetShares(const PerRank<double>& shares) = 0;

  /** Adds a call. */
  virtual void Add(const WaitingCall& call) = 0;

  /** Removes a call that will not start. @pre The call was added. */
  virtual void Remove(const WaitingCall& call) = 0;

  /**
   * Removes and returns the call to start next.
   * @param allowed Ranks that may take a slot.
   */
  virtual std::optional<WaitingCall> Take(const PerRank<bool>& allowed) = 0;

  /**
   * Chooses the call that gives up its place in a full queue.
   * @param limit Most calls that may wait.
   * @return Nothing if the arrival itself must be refused.
   */
  virtual std::optional<CallHandle> Victim(const WaitingCall& arrival,
                                           std::size_t limit) const = 0;

  /** @return Work that would start before an arrival, in tokens. */
  virtual double WorkAhead(const WaitingCall& arrival) const = 0;

  /**
   * @param limit Slots of the endpoint.
   * @return Slots of each rank that less urgent ranks leave free.
   */
  virtual PerRank<std::size_t> ReservedSlots(std::size_t limit) const = 0;
};

/** Calls start in order of arrival. */
std::unique_ptr<StartOrder> MakeArrivalOrder();

/** The most urgent rank always goes first; arrival order within a rank. */
std::unique_ptr<StartOrder> MakePriorityOrder();

/**
 * The most urgent rank goes first, but each rank that has waiting calls keeps
 * its minimum share of the work started. Organisations of a rank share by
 * weight, by start-time fair queueing (Goyal, Vin and Cheng 1996).
 */
std::unique_ptr<StartOrder> MakeShareOrder();

/** A way of ordering by its name, for settings and comparisons. */
struct StartOrderRow {
  std::string_view name;
  std::unique_ptr<StartOrder> (*make)();
};

inline constexpr StartOrderRow kStartOrders[] = {
    {"arrival", MakeArrivalOrder},
    {"priority", MakePriorityOrder},
    {"share", MakeShareOrder},
};

/** @return A new order of a name, or null. */
std::unique_ptr<StartOrder> MakeStartOrder(std::string_view name);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_START_ORDER_H_
