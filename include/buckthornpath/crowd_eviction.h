/** @file crowd_eviction.h Which callers give way when a process is full. */

#ifndef BUCKTHORNPATH_CROWD_EVICTION_H_
#define BUCKTHORNPATH_CROWD_EVICTION_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace buckthornpath {

/** A connection on which no request is in progress. */
struct UnreadRequest {
  std::size_t held_bytes = 0;  ///< Of the part that has arrived.
  /** Time of its first byte; of the last response if none has arrived. */
  std::chrono::steady_clock::time_point begun_at{};
  /** Time at which bytes arrived last. */
  std::chrono::steady_clock::time_point advanced_at{};
};

/** A request that has not advanced for this long is refused before others. A
 * caller may pause for longer than this while there is room. */
constexpr std::chrono::milliseconds kStalledTime{500};

/** Holders of fewer bytes are not worth refusing to make room. */
constexpr std::size_t kMinEvictedBytes = std::size_t{64} * 1024;

/**
 * Selects a request to refuse when the process's bytes are used up. Answers
 * many large bodies at once, most of which stop short of their end: of those
 * that have stalled, the one that holds most; else the one that has begun
 * last, so that earlier ones can complete.
 * @return Index of the request; nothing if none holds enough.
 */
std::optional<std::size_t> SelectForRoom(
    const std::vector<UnreadRequest>& requests,
    std::chrono::steady_clock::time_point now);

/**
 * Selects a connection to close when the process's connections are used up.
 * Answers callers that connect in large numbers and send little or nothing:
 * the connection that has not advanced for the longest time.
 * @return Index of the connection; nothing if there is none.
 */
std::optional<std::size_t> SelectForConnection(
    const std::vector<UnreadRequest>& requests);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_CROWD_EVICTION_H_
