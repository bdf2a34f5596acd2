/** @file publication_feed.h Hands published items on to other gateways. */

#ifndef SRC_GATEWAY_PUBLICATION_FEED_H_
#define SRC_GATEWAY_PUBLICATION_FEED_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "gateway/feed_record.h"
#include "gateway/publication_state.h"
#include "gateway/wake_signal.h"
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

  /** Sends the state to all readers if items or freshness have changed.
   * @param is_fresh This process reads the store successfully. */
  void Publish(bool is_fresh);

  /** Serves one reader until its connection fails. */
  asio::awaitable<void> Serve(HttpExchange& exchange);

  /** @return The target of a request of a reader at this position. */
  static std::string TargetOf(const FeedPosition& position);

 private:
  FeedRecord NextRecord(FeedPosition reader) const;

  /** @return The next frame of a reader, which moves to its end. Readers at
   * the same position share one frame. */
  std::shared_ptr<const std::string> NextFrame(FeedPosition& reader);

  const PublicationState& published;
  asio::any_io_executor executor;
  std::uint64_t process;  ///< Identifies this process in positions.
  bool is_fresh = false;
  std::set<WakeSignal*> readers;
  FeedPosition last_from;       ///< Position before `last_frame`.
  FeedPosition last_to;         ///< Position after `last_frame`.
  StoreRevision last_revision;  ///< Stated in `last_frame`.
  std::shared_ptr<const std::string> last_frame;
};

/** Path at which a gateway serves its feed. */
inline constexpr char kFeedPath[] = "/fleet/feed";

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_FEED_H_
