/** @file cache_event_log.h Cache events as engines publish them. */

#ifndef TEST_FAKES_CACHE_EVENT_LOG_H_
#define TEST_FAKES_CACHE_EVENT_LOG_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>

#include "fakes/prefix_cache.h"

namespace buckthornpath {

/** Publishes cache events late and with gaps; keeps the latest of them. */
class CacheEventLog {
 public:
  /**
   * @param delay Time from a change to its event's publication.
   * @param gap_every Every event of this count is lost; none if zero.
   */
  CacheEventLog(std::chrono::milliseconds delay, std::uint64_t gap_every)
      : delay(delay), gap_every(gap_every) {}

  /** Notes a change of the cache. */
  void Add(CacheChange change,
           BlockHash block,
           std::chrono::steady_clock::time_point now);

  /** @return The events published by now with a higher sequence number. */
  nlohmann::json After(std::uint64_t sequence,
                       std::chrono::steady_clock::time_point now) const;

 private:
  struct Event {
    std::uint64_t sequence;
    CacheChange change;
    BlockHash block;
    std::chrono::steady_clock::time_point publication;
  };

  std::chrono::milliseconds delay;
  std::uint64_t gap_every;
  std::uint64_t last_sequence = 0;
  std::deque<Event> events;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_CACHE_EVENT_LOG_H_
