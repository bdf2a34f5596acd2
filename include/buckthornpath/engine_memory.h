/** @file engine_memory.h What the prefix caches of a service's engines hold. */

#ifndef BUCKTHORNPATH_ENGINE_MEMORY_H_
#define BUCKTHORNPATH_ENGINE_MEMORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace buckthornpath {

/** Segment of a prompt that several requests may have in common. */
struct PromptSegment {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/** @return The last segment that requests of one chat or document share, or
 * null; the last segment of all is unique to the request. */
const PromptSegment* LastSharedSegment(std::span<const PromptSegment> segments);

/**
 * Tokens that the engines of one service take up, as one gateway can know: its
 * own requests, times the number of gateways, spread evenly over the engines.
 * An engine evicts the segments that it has used least recently, so a segment
 * is evicted once as many tokens as there is room for have been taken up since
 * its last use.
 */
class EngineMemoryUse {
 public:
  /** @param tokens Memory of each engine for running requests and cached
   * segments; 0 if unknown. */
  void SetCapacity(std::int64_t tokens) { this->capacity = tokens; }

  /** Sets over how many gateways and engines the requests are spread. */
  void SetSpread(std::size_t gateways, std::size_t engines);

  /**
   * Records a request of this gateway.
   * @param new_tokens Tokens that were not cached, output included.
   * @param own_tokens Tokens that no other request shares, output included.
   */
  void RecordRequest(std::int64_t new_tokens, std::int64_t own_tokens);

  bool IsCapacityKnown() const { return this->capacity > 0; }

  /** @return Tokens that the average engine has taken up so far. */
  double TakenUp() const { return this->taken_up; }

  /** @return Tokens left for cached segments beside the running requests. */
  double RoomBeside(double running_requests) const;

 private:
  std::int64_t capacity = 0;
  double spread = 1;  ///< Gateways for each engine.
  double taken_up = 0;
  double mean_own_tokens = 0;
};

/**
 * Segments that one engine holds, as far as one gateway knows. Handles the load
 * of more distinct prompts than the engines' memory holds: a prompt sent where
 * it was evicted is prefilled again. Without a known capacity, segments are
 * forgotten by age. Bounded: the least recently used entries are dropped.
 * Not thread-safe.
 */
class EngineMemory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** State of the engine and its service at one moment. */
  struct Moment {
    const EngineMemoryUse& use;
    double running_requests = 0;
    TimePoint now;
  };

  /** Effect of a request on the cache. */
  struct Change {
    std::int64_t uncached_tokens = 0;  ///< To be prefilled.
    bool is_shared_new = false;  ///< The last shared segment was not cached.
  };

  /** @return True if the segment and those before it are cached. */
  bool Holds(std::uint64_t segment, const Moment& moment) const;

  /** Records that the engine gets a prompt. */
  Change Use(std::span<const PromptSegment> prompt, const Moment& moment);

  /** Records that a peer has sent a segment that was not cached. */
  void RecordPeerUse(std::uint64_t segment, const Moment& moment);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::uint64_t segment = 0;
    double taken_up = 0;  ///< EngineMemoryUse::TakenUp() at its last use.
    TimePoint used_at{};
  };

  static bool IsHeld(const Entry& entry, const Moment& moment);
  /** Makes a segment the most recently used. @return False if it was not
   * cached. */
  bool Touch(std::uint64_t segment, const Moment& moment);

  std::list<Entry> entries;  ///< The least recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> places;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ENGINE_MEMORY_H_
