/** @file stream_broadcast.cc Records of streams that all known gateways are
 * told. */

#include "buckthornpath/stream_broadcast.h"

#include <algorithm>
#include <cstdint>

namespace buckthornpath {

void StreamBroadcast::SetReceivers(std::size_t count) {
  const auto wanted = kIntervalPerReceiver * static_cast<std::int64_t>(count);
  this->interval =
      std::clamp<std::chrono::milliseconds>(wanted, kMinInterval, kMaxInterval);
}

void StreamBroadcast::Add(const std::vector<StreamRecord>& records,
                          TimePoint now) {
  if (this->waiting.empty())
    this->round_at = std::max(this->round_at, now);
  this->waiting.insert(this->waiting.end(), records.begin(), records.end());
  while (this->waiting.size() > kMaxWaiting)
    this->waiting.pop_front();
}

std::optional<StreamBroadcast::TimePoint> StreamBroadcast::NextAt() const {
  if (this->waiting.empty())
    return std::nullopt;
  return this->round_at + this->interval;
}

std::vector<StreamRecord> StreamBroadcast::TakeRound(TimePoint now) {
  const std::optional<TimePoint> next_at = this->NextAt();
  if (!next_at || now < *next_at)
    return {};
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(this->waiting.size(), kMaxPerRound));
  const auto end = this->waiting.begin() + count;
  std::vector<StreamRecord> round(this->waiting.begin(), end);
  this->waiting.erase(this->waiting.begin(), end);
  this->round_at = now;
  return round;
}

}  // namespace buckthornpath
