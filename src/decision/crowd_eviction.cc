/** @file crowd_eviction.cc Which callers give way when a process is full. */

#include "buckthornpath/crowd_eviction.h"

#include <algorithm>
#include <tuple>

namespace buckthornpath {

namespace {

using std::chrono::steady_clock;

/** Order of requests: the greatest one gives way first. */
auto RankOf(const UnreadRequest& request, steady_clock::time_point now) {
  const bool is_stalled = now - request.advanced_at >= kStalledTime;
  return std::tuple(is_stalled, is_stalled ? request.held_bytes : 0,
                    request.begun_at);
}

}  // namespace

std::optional<std::size_t> SelectForRoom(
    const std::vector<UnreadRequest>& requests,
    steady_clock::time_point now) {
  std::optional<std::size_t> selected;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    if (requests[i].held_bytes < kMinEvictedBytes)
      continue;
    if (!selected ||
        RankOf(requests[*selected], now) < RankOf(requests[i], now))
      selected = i;
  }
  return selected;
}

std::optional<std::size_t> SelectForConnection(
    const std::vector<UnreadRequest>& requests) {
  if (requests.empty())
    return std::nullopt;
  const auto earliest = std::min_element(
      requests.begin(), requests.end(),
      [](const UnreadRequest& left, const UnreadRequest& right) {
        return left.advanced_at < right.advanced_at;
      });
  return static_cast<std::size_t>(earliest - requests.begin());
}

}  // namespace buckthornpath
