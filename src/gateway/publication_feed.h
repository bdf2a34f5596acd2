/** @file publication_feed.h Hands published items on to other gateways. */

#ifndef SRC_GATEWAY_PUBLICATION_FEED_H_
#define SRC_GATEWAY_PUBLICATION_FEED_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/feed_record.h"
#include "gateway/publication_state.h"
#include "gateway/wake_signal.h"
#include "kernel/boot_clock.h"
#include "kernel/http_server.h"

namespace buckthornpath {

/**
 * Streams published items to the gateways that follow this one: first all of
 * them or what has changed since the reader's position, then each change as it
 * is applied. A record without changes is sent at an interval, so that readers
 * notice when this process stops. Not thread-safe.
 */
class PublicationFeed {
 public:
  PublicationFeed(const PublicationState& published,
                  asio::any_io_executor executor);

  /**
   * Sends the state to all readers.
   * @param store_answered_at When the store last answered this process; nothing
   * if it does not read the store.
   * @param is_reachable True if the last read succeeded; the answer confirms
   * the items for a short time then.
   */
  void Publish(std::optional<BootClock::time_point> store_answered_at,
               bool is_reachable);

  /** Serves one reader until its connection fails. */
  asio::awaitable<void> Serve(HttpExchange& exchange);

  /** @return The target of a request of a reader at this position. */
  static std::string TargetOf(const FeedPosition& position);

 private:
  /** @return True if the items count as current at this time. */
  bool IsFresh(BootClock::time_point now) const;

  FeedRecord NextRecord(FeedPosition reader, BootClock::time_point now) const;

  /** @return The next frame of a reader, which moves to its end. Readers at
   * the same position share one frame for a short time. */
  std::shared_ptr<const std::string> NextFrame(FeedPosition& reader);

  std::chrono::milliseconds TimeToNextRecord() const;

  const PublicationState& published;
  asio::any_io_executor executor;
  std::uint64_t process;  ///< Identifies this process in positions.
  std::optional<BootClock::time_point> store_answered_at;
  bool is_store_reachable = false;
  std::set<WakeSignal*> readers;
  FeedPosition last_from;       ///< Position before `last_frame`.
  FeedPosition last_to;         ///< Position after `last_frame`.
  StoreRevision last_revision;  ///< Stated in `last_frame`.
  bool last_is_fresh = false;
  bool last_is_snapshot = false;
  BootClock::time_point last_made_at{};
  std::shared_ptr<const std::string> last_frame;
};

/** Path at which a gateway serves its feed. */
inline constexpr char kFeedPath[] = "/fleet/feed";

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_FEED_H_
