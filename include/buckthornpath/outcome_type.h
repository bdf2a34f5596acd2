/** @file outcome_type.h What a caller is told about whether its call ran. */

#ifndef BUCKTHORNPATH_OUTCOME_TYPE_H_
#define BUCKTHORNPATH_OUTCOME_TYPE_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace buckthornpath {

/** Whether a call ran at its endpoint. */
enum class Outcome {
  kNotRun,   ///< It has not run and never will.
  kRan,      ///< It ran once.
  kUnknown,  ///< It may have run; nobody reachable can tell.
};

/** Published names of the outcomes, indexed by Outcome. */
inline constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "not_run", "ran", "unknown"};

/** @return The published name of an outcome. */
inline constexpr std::string_view OutcomeName(Outcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_OUTCOME_TYPE_H_
