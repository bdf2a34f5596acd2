/** @file engine_memory.cc What the prefix caches of a service's engines hold.
 */

#include "buckthornpath/engine_memory.h"

#include <algorithm>

namespace buckthornpath {

namespace {

/** Time for which a segment is assumed cached if the capacity is unknown. */
constexpr std::chrono::seconds kLifetimeWithoutCapacity{60};

/** Maximum segments tracked per engine: some 100 kB of this process. */
constexpr std::size_t kMaxTrackedSegments = 1024;

/** Share of an engine's memory that cached segments keep, however many requests
 * run: the estimate of these is late. */
constexpr double kMinCacheShare = 0.1;

/** Weight of one request in the mean size of requests. */
constexpr double kSizeSmoothing = 0.05;

}  // namespace

const PromptSegment* LastSharedSegment(
    std::span<const PromptSegment> segments) {
  return segments.size() < 2 ? nullptr : &segments[segments.size() - 2];
}

void EngineMemoryUse::SetSpread(std::size_t gateways, std::size_t engines) {
  this->spread = static_cast<double>(std::max<std::size_t>(gateways, 1)) /
                 static_cast<double>(std::max<std::size_t>(engines, 1));
}

void EngineMemoryUse::RecordRequest(std::int64_t new_tokens,
                                    std::int64_t own_tokens) {
  this->taken_up += this->spread * static_cast<double>(new_tokens);
  this->mean_own_tokens += kSizeSmoothing * (static_cast<double>(own_tokens) -
                                             this->mean_own_tokens);
}

double EngineMemoryUse::RoomBeside(double running_requests) const {
  const auto all = static_cast<double>(this->capacity);
  return std::max(all - running_requests * this->mean_own_tokens,
                  kMinCacheShare * all);
}

bool EngineMemory::IsHeld(const Entry& entry, const Moment& moment) {
  if (!moment.use.IsCapacityKnown())
    return moment.now - entry.used_at < kLifetimeWithoutCapacity;
  return moment.use.TakenUp() - entry.taken_up <
         moment.use.RoomBeside(moment.running_requests);
}

bool EngineMemory::Holds(std::uint64_t segment, const Moment& moment) const {
  const auto found = this->places.find(segment);
  return found != this->places.end() && IsHeld(*found->second, moment);
}

bool EngineMemory::Touch(std::uint64_t segment, const Moment& moment) {
  const Entry entry{segment, moment.use.TakenUp(), moment.now};
  const auto found = this->places.find(segment);
  if (found != this->places.end()) {
    const bool was_held = IsHeld(*found->second, moment);
    *found->second = entry;
    this->entries.splice(this->entries.end(), this->entries, found->second);
    return was_held;
  }
  this->places[segment] = this->entries.insert(this->entries.end(), entry);
  if (this->entries.size() > kMaxTrackedSegments) {
    this->places.erase(this->entries.front().segment);
    this->entries.pop_front();
  }
  return false;
}

EngineMemory::Change EngineMemory::Use(std::span<const PromptSegment> prompt,
                                       const Moment& moment) {
  Change change;
  const PromptSegment* shared = LastSharedSegment(prompt);
  // A segment is only cached together with those before it. A peer announces
  // the last one that is shared, which stands for all before it.
  const bool is_shared_held =
      shared != nullptr && this->Holds(shared->id, moment);
  change.is_shared_new = shared != nullptr && !is_shared_held;
  bool is_cached = true;
  for (const PromptSegment& segment : prompt) {
    const bool is_implied = is_shared_held && &segment <= shared;
    const bool was_held = this->Touch(segment.id, moment);
    is_cached = is_cached && (was_held || is_implied);
    if (!is_cached)
      change.uncached_tokens += segment.tokens;
  }
  return change;
}

void EngineMemory::RecordPeerUse(std::uint64_t segment, const Moment& moment) {
  this->Touch(segment, moment);
}

}  // namespace buckthornpath
