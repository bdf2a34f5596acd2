/** @file stream_origins.h Software versions that have begun streams. */

#ifndef BUCKTHORNPATH_STREAM_ORIGINS_H_
#define BUCKTHORNPATH_STREAM_ORIGINS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Names a stream: hash of the id of the request that brought its first event.
 */
struct StreamKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const StreamKey&) const = default;
};

StreamKey StreamKeyOf(std::string_view request_id);

/** What began a stream. */
struct StreamOrigin {
  ServiceName service;
  std::string version;  ///< Of the endpoint's software; not empty.

  auto operator<=>(const StreamOrigin&) const = default;
};

/** A stream and what began it. */
struct StreamRecord {
  StreamKey stream;
  StreamOrigin origin;
};

/**
 * Remembers what began each stream, for callers that take one up again. Handles
 * many streams that are never taken up: the records are bounded, and the oldest
 * make room. Two streams that claim the same request id prove nothing. Does no
 * I/O. Not thread-safe.
 */
class StreamOrigins {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Limit of the records; one takes about 150 bytes. A hub holds those of the
   * whole fleet. */
  static constexpr std::size_t kMaxStreams = 131072;

  /** Time after the last record of a stream for which it is remembered. */
  static constexpr std::chrono::minutes kLifetime{5};

  /** Limit of the records that wait to be announced. */
  static constexpr std::size_t kMaxUnannounced = 1024;

  /** Records a stream that this process has begun, or takes on; other gateways
   * are to be told. */
  void RecordOwn(const StreamRecord& record, TimePoint now);

  /** Records what another gateway says. */
  void RecordPeer(const StreamRecord& record, TimePoint now);

  /** Records what a gateway says of which this process is no witness: a record
   * that contradicts it may take longer to arrive. */
  void RecordCopy(const StreamRecord& record, TimePoint now);

  /** Records that records of a stream contradict each other elsewhere. */
  void RecordContradiction(const StreamKey& stream, TimePoint now);

  /** @return What began a stream; nothing if that is not known, or not for
   * certain. */
  std::optional<StreamOrigin> Find(const StreamKey& stream,
                                   TimePoint now) const;

  /** @return As Find(), but nothing of a stream that is known by copies only:
   * other gateways are to be asked first. */
  std::optional<StreamOrigin> FindWitnessed(const StreamKey& stream,
                                            TimePoint now) const;

  /** @return True if records of a stream contradict each other. */
  bool IsContradictory(const StreamKey& stream, TimePoint now) const;

  /** @return Streams of this process that have been recorded since the last
   * call, the newest ones if there are too many. */
  std::vector<StreamRecord> TakeUnannounced();

  /** @return The newest streams of this process, for a gateway that knows
   * none. */
  std::vector<StreamRecord> NewestOwn(std::size_t limit, TimePoint now) const;

  std::size_t Size() const { return this->streams.size(); }

 private:
  struct Entry {
    const StreamOrigin* origin = nullptr;  ///< Null: contradictory records.
    TimePoint recorded_at{};
    bool is_own = false;
    bool is_copy = false;
    std::list<StreamKey>::iterator age;  ///< Position in `by_age`.
  };

  Entry& Record(const StreamRecord& record, TimePoint now);
  void ReleaseOrigin(Entry& entry);
  void Expire(TimePoint now);

  std::map<StreamKey, Entry> streams;
  std::list<StreamKey> by_age;  ///< Those recorded last come last.
  /** Origins that have been recorded, and the number of their streams. */
  std::map<StreamOrigin, std::size_t> origins;
  std::vector<StreamRecord> unannounced;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_STREAM_ORIGINS_H_
