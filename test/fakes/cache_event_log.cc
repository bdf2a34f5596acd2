/** @file cache_event_log.cc Prefix cache events of a fake engine. */

#include "fakes/cache_event_log.h"

#include <iomanip>
#include <sstream>

namespace buckthornpath {

namespace {

constexpr std::size_t kMaxEvents = 65536;

/** Maximum number of events in one response. */
constexpr std::size_t kMaxEventsPerResponse = 4096;

std::string FormatBlockHash(BlockHash block) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0')
       << static_cast<std::uint64_t>(block);
  return text.str();
}

}  // namespace

void CacheEventLog::Add(CacheChange change,
                        BlockHash block,
                        std::chrono::steady_clock::time_point now) {
  ++this->last_sequence;
  if (this->gap_every > 0 && this->last_sequence % this->gap_every == 0)
    return;
  this->events.push_back(
      {this->last_sequence, change, block, now + this->delay});
  if (this->events.size() > kMaxEvents)
    this->events.pop_front();
}

nlohmann::json CacheEventLog::EventsAfter(
    std::uint64_t sequence,
    std::chrono::steady_clock::time_point now) const {
  nlohmann::json published = nlohmann::json::array();
  for (const Event& event : this->events) {
    if (event.published_at > now || published.size() >= kMaxEventsPerResponse)
      break;
    if (event.sequence <= sequence)
      continue;
    published.push_back(
        {{"sequence", event.sequence},
         {"change",
          event.change == CacheChange::kStored ? "stored" : "removed"},
         {"block", FormatBlockHash(event.block)}});
  }
  return {{"block_tokens", kBlockTokens}, {"events", published}};
}

}  // namespace buckthornpath
