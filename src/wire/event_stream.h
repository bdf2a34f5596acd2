/** @file event_stream.h Server-sent events. */

#ifndef SRC_WIRE_EVENT_STREAM_H_
#define SRC_WIRE_EVENT_STREAM_H_

#include <optional>
#include <string>
#include <string_view>

namespace buckthornpath {

/** One server-sent event. */
struct ServerSentEvent {
  std::string event;  ///< Empty for a plain message.
  std::string id;
  std::string data;
};

/** Splits a stream of text into events. */
class EventStreamReader {
 public:
  /** Adds text as it arrives. */
  void Feed(std::string_view text) { this->pending += text; }

  /** @return The next whole event, or nothing yet. */
  std::optional<ServerSentEvent> Next();

 private:
  std::string pending;
};

/**
 * @param event Name, or empty for a plain message.
 * @param id Number, or empty.
 * @return An event as it travels.
 * @pre The data holds no line break.
 */
std::string FormatEvent(std::string_view event,
                        std::string_view id,
                        std::string_view data);

}  // namespace buckthornpath

#endif  // SRC_WIRE_EVENT_STREAM_H_
