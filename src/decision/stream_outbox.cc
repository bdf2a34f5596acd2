/** @file stream_outbox.cc Records of streams that other gateways are told. */

#include "buckthornpath/stream_outbox.h"

#include <algorithm>
#include <utility>

namespace buckthornpath {

void StreamOutbox::Add(const std::vector<StreamRecord>& records) {
  this->waiting.insert(this->waiting.end(), records.begin(), records.end());
  while (this->waiting.size() > kMaxWaiting)
    this->waiting.pop_front();
}

std::optional<StreamOutbox::TimePoint> StreamOutbox::NextAt() const {
  const TimePoint round_end = this->round_at + kMinInterval;
  if (!this->waiting.empty())
    return round_end;
  if (!this->sent_once.empty()) {
    return std::max(round_end,
                    this->sent_once.front().sent_at + kMaxRepeatDelay);
  }
  return std::nullopt;
}

std::vector<StreamRecord> StreamOutbox::TakeRound(TimePoint now) {
  const std::optional<TimePoint> next_at = this->NextAt();
  if (!next_at || now < *next_at)
    return {};
  this->round_at = now;
  std::vector<StreamRecord> round;
  round.reserve(2 * kMaxPerRound);
  while (!this->sent_once.empty() && round.size() < kMaxPerRound &&
         now - this->sent_once.front().sent_at >= kMinRepeatDelay) {
    round.push_back(std::move(this->sent_once.front().record));
    this->sent_once.pop_front();
  }
  for (std::size_t i = 0; i < kMaxPerRound && !this->waiting.empty(); ++i) {
    round.push_back(this->waiting.front());
    this->sent_once.push_back({now, std::move(this->waiting.front())});
    this->waiting.pop_front();
  }
  return round;
}

}  // namespace buckthornpath
