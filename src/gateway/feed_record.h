/** @file feed_record.h Records of the published items that hubs hand on. */

#ifndef SRC_GATEWAY_FEED_RECORD_H_
#define SRC_GATEWAY_FEED_RECORD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "gateway/platform_adapter.h"

namespace buckthornpath {

/** A record of a feed could not be decoded. */
class MalformedFeed : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** Position of a reader in the changes of one process. */
struct FeedPosition {
  std::uint64_t process = 0;  ///< Differs between processes.
  std::uint64_t change_count = 0;

  bool operator==(const FeedPosition&) const = default;
};

/** One record of a feed. */
struct FeedRecord {
  /** The sender has read the store a short time ago. */
  bool is_fresh = false;
  bool is_snapshot = false;  ///< All items; otherwise those that changed.
  FeedPosition position;     ///< After this record.
  /** Time since the store's last answer, if the sender reads it; up to 25 ms
   * less than that, of a snapshot 200 ms, as readers share records. */
  std::optional<std::chrono::milliseconds> age;
  PublishedItems items;
};

/** @return The record as a frame: its length, then CBOR with large values
 * compressed. */
std::string EncodeFeedFrame(const FeedRecord& record);

/** Splits a stream of bytes into records. */
class FeedFrameReader {
 public:
  void Append(std::string_view bytes) { this->buffer.append(bytes); }

  /**
   * @return The next record, or nothing if it is not complete yet.
   * @throws MalformedFeed If the bytes are no record.
   */
  std::optional<FeedRecord> Next();

 private:
  std::string buffer;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_FEED_RECORD_H_
