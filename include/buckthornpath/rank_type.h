/** @file rank_type.h Ranks of work. */

#ifndef BUCKTHORNPATH_RANK_TYPE_H_
#define BUCKTHORNPATH_RANK_TYPE_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace buckthornpath {

/** Priority class of a call; a lower value is served first. */
enum class Rank { kUrgent, kStandard, kBulk };

inline constexpr std::size_t kRankCount = 3;

/** Names of the ranks in the API, indexed by Rank. */
inline constexpr std::array<std::string_view, kRankCount> kRankNames = {
    "urgent", "standard", "bulk"};

inline constexpr std::string_view RankName(Rank rank) {
  return kRankNames.at(static_cast<std::size_t>(rank));
}

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_RANK_TYPE_H_
