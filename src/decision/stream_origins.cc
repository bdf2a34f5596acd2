/** @file stream_origins.cc Software versions that have begun streams. */

#include "buckthornpath/stream_origins.h"

#include <xxhash.h>

#include <utility>

namespace buckthornpath {

StreamKey StreamKeyOf(std::string_view request_id) {
  const XXH128_hash_t hash = XXH3_128bits(request_id.data(), request_id.size());
  return {hash.high64, hash.low64};
}

void StreamOrigins::ReleaseOrigin(Entry& entry) {
  if (entry.origin == nullptr)
    return;
  const auto origin = this->origins.find(*entry.origin);
  if (--origin->second == 0)
    this->origins.erase(origin);
  entry.origin = nullptr;
}

void StreamOrigins::Expire(TimePoint now) {
  while (!this->by_age.empty()) {
    const auto oldest = this->streams.find(this->by_age.front());
    if (this->streams.size() <= kMaxStreams &&
        now - oldest->second.recorded_at < kLifetime)
      return;
    this->ReleaseOrigin(oldest->second);
    this->by_age.pop_front();
    this->streams.erase(oldest);
  }
}

StreamOrigins::Entry& StreamOrigins::Record(const StreamRecord& record,
                                            TimePoint now) {
  const auto [stream, is_new] = this->streams.try_emplace(record.stream);
  Entry& entry = stream->second;
  if (is_new) {
    const auto origin = this->origins.try_emplace(record.origin, 0).first;
    ++origin->second;
    entry.origin = &origin->first;
    this->by_age.push_back(record.stream);
    entry.age = std::prev(this->by_age.end());
  } else {
    this->by_age.splice(this->by_age.end(), this->by_age, entry.age);
  }
  if (entry.origin != nullptr && *entry.origin != record.origin)
    this->ReleaseOrigin(entry);
  entry.recorded_at = now;
  this->Expire(now);
  return entry;
}

void StreamOrigins::RecordOwn(const StreamRecord& record, TimePoint now) {
  if (record.origin.version.empty())
    return;
  Entry& entry = this->Record(record, now);
  entry.is_own = true;
  entry.is_copy = false;
  if (this->unannounced.size() >= kMaxUnannounced)
    this->unannounced.erase(this->unannounced.begin());
  this->unannounced.push_back(record);
}

void StreamOrigins::RecordPeer(const StreamRecord& record, TimePoint now) {
  if (!record.origin.version.empty())
    this->Record(record, now).is_copy = false;
}

void StreamOrigins::RecordCopy(const StreamRecord& record, TimePoint now) {
  if (record.origin.version.empty())
    return;
  const bool is_new = !this->streams.contains(record.stream);
  Entry& entry = this->Record(record, now);
  entry.is_copy = entry.is_copy || is_new;
}

void StreamOrigins::RecordContradiction(const StreamKey& stream,
                                        TimePoint now) {
  this->ReleaseOrigin(this->Record({stream, {}}, now));
}

bool StreamOrigins::IsContradictory(const StreamKey& stream,
                                    TimePoint now) const {
  const auto found = this->streams.find(stream);
  return found != this->streams.end() && found->second.origin == nullptr &&
         now - found->second.recorded_at < kLifetime;
}

std::optional<StreamOrigin> StreamOrigins::Find(const StreamKey& stream,
                                                TimePoint now) const {
  const auto found = this->streams.find(stream);
  if (found == this->streams.end() || found->second.origin == nullptr ||
      now - found->second.recorded_at >= kLifetime)
    return std::nullopt;
  return *found->second.origin;
}

std::optional<StreamOrigin> StreamOrigins::FindWitnessed(
    const StreamKey& stream,
    TimePoint now) const {
  const auto found = this->streams.find(stream);
  if (found != this->streams.end() && found->second.is_copy)
    return std::nullopt;
  return this->Find(stream, now);
}

std::vector<StreamRecord> StreamOrigins::TakeUnannounced() {
  return std::exchange(this->unannounced, {});
}

std::vector<StreamRecord> StreamOrigins::NewestOwn(std::size_t limit,
                                                   TimePoint now) const {
  std::vector<StreamRecord> newest;
  for (auto key = this->by_age.rbegin();
       key != this->by_age.rend() && newest.size() < limit; ++key) {
    const Entry& entry = this->streams.at(*key);
    if (now - entry.recorded_at >= kLifetime)
      break;
    if (entry.is_own && entry.origin != nullptr)
      newest.push_back({*key, *entry.origin});
  }
  return newest;
}

}  // namespace buckthornpath
