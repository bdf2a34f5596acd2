/** @file event_relay.h Splits event streams at event boundaries. */

#ifndef SRC_GATEWAY_EVENT_RELAY_H_
#define SRC_GATEWAY_EVENT_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornpath {

/**
 * Splits a stream of server-sent events at event boundaries and keeps the id of
 * the last event, so that a retry can resume after it. Does no I/O.
 */
class EventRelay {
 public:
  /**
   * Adds bytes of the stream as they arrive.
   * @return The complete events, without those returned before.
   */
  std::string Feed(std::string_view bytes);

  /** @return Bytes after the last complete event; call at the end of stream. */
  std::string Finish();

  /** Discards an incomplete event before the stream is retried. */
  void DiscardPartial() { this->partial_event.clear(); }

  /** @return True if a field of an incomplete event has arrived. */
  bool HasPartialEvent() const;

  /** @return Size of the event that is still incomplete. */
  std::size_t PartialSize() const { return this->partial_event.size(); }

  /** @return Number of complete events; comments do not count. */
  std::size_t EventCount() const { return this->event_count; }

  /** @return Id of the last event returned, if there was one. */
  const std::optional<std::uint64_t>& LastEventId() const {
    return this->last_event_id;
  }

 private:
  std::string partial_event;  ///< Event that is still incomplete.
  std::optional<std::uint64_t> last_event_id;
  std::size_t event_count = 0;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_EVENT_RELAY_H_
