/** @file outcome_type.h Execution status reported to a caller. */

#ifndef BUCKTHORNPATH_OUTCOME_TYPE_H_
#define BUCKTHORNPATH_OUTCOME_TYPE_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace buckthornpath {

/** Whether a call was executed by its endpoint. */
enum class Outcome {
  kNotRun,   ///< Not executed, and never will be.
  kRan,      ///< Executed once.
  kUnknown,  ///< May have been executed; no reachable process knows.
};

/** Names of the outcomes in the API, indexed by Outcome. */
inline constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "not_run", "ran", "unknown"};

inline constexpr std::string_view OutcomeName(Outcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_OUTCOME_TYPE_H_
