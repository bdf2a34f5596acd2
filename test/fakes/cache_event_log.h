/** @file cache_event_log.h Prefix cache events of a fake engine. */

#ifndef TEST_FAKES_CACHE_EVENT_LOG_H_
#define TEST_FAKES_CACHE_EVENT_LOG_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>

#include "fakes/prefix_cache.h"

namespace buckthornpath {

/** Publishes cache events with a delay and gaps; keeps only the latest. */
class CacheEventLog {
 public:
  /**
   * @param delay Time from a change until its event is published.
   * @param gap_every Every nth event is lost; none if zero.
   */
  CacheEventLog(std::chrono::milliseconds delay, std::uint64_t gap_every)
      : delay(delay), gap_every(gap_every) {}

  /** Records a change of the cache. */
  void Add(CacheChange change,
           BlockHash block,
           std::chrono::steady_clock::time_point now);

  /** @return Events published by `now` with a higher sequence number. */
  nlohmann::json EventsAfter(std::uint64_t sequence,
                             std::chrono::steady_clock::time_point now) const;

 private:
  struct Event {
    std::uint64_t sequence;
    CacheChange change;
    BlockHash block;
    std::chrono::steady_clock::time_point published_at;
  };

  std::chrono::milliseconds delay;
  std::uint64_t gap_every;
  std::uint64_t last_sequence = 0;
  std::deque<Event> events;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_CACHE_EVENT_LOG_H_
