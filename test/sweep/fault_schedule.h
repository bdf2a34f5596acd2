/** @file fault_schedule.h Injects generated faults into a fleet. */

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

/** @return Name of a kind of fault, as in reports and on the command line. */
std::string_view FaultName(FaultKind kind);

/** One fault of a schedule. */
struct FaultStep {
  FaultKind kind = FaultKind::kCut;
  std::size_t target = 0;  ///< Index of process or proxy, modulo their number.
  std::chrono::milliseconds delay_before{};  ///< Wait before this fault.
};

using FaultSchedule = std::vector<FaultStep>;

std::ostream& operator<<(std::ostream& out, const FaultStep& step);

/** Starts a fleet with callers, injects the faults and checks the history. */
HistoryCheckResult RunSchedule(const FaultSchedule& schedule);

/** Totals over all schedules of a sweep. */
struct SweepResult {
  std::size_t runs = 0;
  std::size_t calls = 0;
  std::size_t faults = 0;
  std::size_t violations = 0;
  bool passed = false;
};

/**
 * Runs generated schedules, shrinks a failing one and prints a report.
 * @param only_kind The one kind of fault to inject; all kinds if empty.
 */
SweepResult RunSweep(std::uint64_t seed,
                     int runs,
                     std::optional<FaultKind> only_kind = std::nullopt);

/** @return The kind of fault with this name, if there is one. */
std::optional<FaultKind> FindFault(std::string_view name);

}  // namespace buckthornpath

#endif  // TEST_SWEEP_FAULT_SCHEDULE_H_
