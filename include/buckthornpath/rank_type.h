/** @file rank_type.h The three ranks of work. */

#ifndef BUCKTHORNPATH_RANK_TYPE_H_
#define BUCKTHORNPATH_RANK_TYPE_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace buckthornpath {

/** How urgent a kind of work is; a lower value goes first. */
enum class Rank { kUrgent, kStandard, kBulk };

inline constexpr std::size_t kRankCount = 3;

/** Published names of the ranks, indexed by Rank. */
inline constexpr std::array<std::string_view, kRankCount> kRankNames = {
    "urgent", "standard", "bulk"};

/** @return The published name of a rank. */
inline constexpr std::string_view RankName(Rank rank) {
  return kRankNames.at(static_cast<std::size_t>(rank));
}

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_RANK_TYPE_H_
