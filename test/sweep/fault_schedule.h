/** @file fault_schedule.h Generated faults against a fleet with callers. */

#ifndef TEST_SWEEP_FAULT_SCHEDULE_H_
#define TEST_SWEEP_FAULT_SCHEDULE_H_

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string_view>
#include <vector>

#include "checker/history_check.h"

namespace buckthornpath {

/** Kinds of fault that a schedule injects. */
enum class FaultKind {
  kKillRouter,
  kKillEndpoint,
  kPauseRouter,
  kPauseEndpoint,
  kCut,
  kCutOneWay,
  kSilence,
  kSilenceOneWay,
  kDelay,
  kDouble,
  kReorder,
  kRefuseNew,
  kListChange,
  kEngineBreak,
  kEngineEmpty,
};

inline constexpr std::size_t kFaultKindCount = 15;

/** @return Name of a kind of fault. */
std::string_view FaultName(FaultKind kind);

/** One fault of a schedule. */
struct FaultStep {
  FaultKind kind = FaultKind::kCut;
  std::size_t target = 0;  ///< Process or proxy, modulo their number.
  std::chrono::milliseconds pause{};  ///< Before the fault.
};

using FaultSchedule = std::vector<FaultStep>;

std::ostream& operator<<(std::ostream& out, const FaultStep& step);

/** Starts a fleet with callers, injects the faults and judges the history. */
HistoryVerdict RunSchedule(const FaultSchedule& schedule);

/** What many schedules showed together. */
struct SweepReport {
  std::size_t runs = 0;
  std::size_t calls = 0;
  std::size_t faults = 0;
  std::size_t violations = 0;
  bool passed = false;
};

/**
 * Runs generated schedules, shrinks one that fails and prints a report.
 * @param only The one kind of fault to inject, or nothing for all kinds.
 */
SweepReport Sweep(std::uint64_t seed,
                  int runs,
                  std::optional<FaultKind> only = std::nullopt);

/** @return The kind of fault with a name. */
std::optional<FaultKind> FindFault(std::string_view name);

}  // namespace buckthornpath

#endif  // TEST_SWEEP_FAULT_SCHEDULE_H_
