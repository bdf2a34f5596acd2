/** @file upstream_selector.cc Where a gateway reads published items. */

#include "buckthornpath/upstream_selector.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Time without confirmation after which the items of a hub are stale. Hubs
 * confirm several times within it. */
constexpr milliseconds kFreshTime{800};

/** Time to connect to another hub after the first one failed. */
constexpr milliseconds kSwitchTime{250};

/** Maximum delay that is added for a gateway's spread. */
constexpr milliseconds kMaxSpread{200};

/** Initial and maximum time for which a failed hub is avoided. */
constexpr milliseconds kMinBackoff{1000};
constexpr milliseconds kMaxBackoff{4000};

/** Limit of remembered hubs; stale ones are dropped beyond it. */
constexpr std::size_t kMaxBackoffs = 64;

}  // namespace

std::optional<std::string> UpstreamSelector::ChooseHub(
    const std::vector<std::string>& hubs,
    TimePoint now) const {
  const auto first =
      static_cast<std::size_t>(this->spread * static_cast<double>(hubs.size()));
  for (std::size_t i = 0; i < hubs.size(); ++i) {
    const std::string& hub = hubs[(first + i) % hubs.size()];
    const auto backoff = this->backoffs.find(hub);
    if (backoff == this->backoffs.end() || now >= backoff->second.until)
      return hub;
  }
  return std::nullopt;
}

void UpstreamSelector::RecordFresh(const std::string& hub, TimePoint now) {
  this->backoffs.erase(hub);
  this->fresh_at = now;
  this->lost_at.reset();
}

void UpstreamSelector::RecordFault(const std::string& hub, TimePoint now) {
  if (this->backoffs.size() >= kMaxBackoffs)
    this->backoffs.clear();
  Backoff& backoff = this->backoffs[hub];
  backoff.time = std::clamp(backoff.time * 2, kMinBackoff, kMaxBackoff);
  backoff.until = now + backoff.time;
  if (!this->lost_at)
    this->lost_at = now;
}

bool UpstreamSelector::MustReadStore(TimePoint now) const {
  const auto delay =
      std::chrono::duration_cast<milliseconds>(kMaxSpread * this->spread);
  if (this->lost_at)
    return now >= *this->lost_at + kSwitchTime + delay;
  if (this->fresh_at)
    return now >= *this->fresh_at + kFreshTime + delay;
  return now >= this->expected_until + delay;
}

}  // namespace buckthornpath
