/** @file event_stream.h Server-sent events. */

#ifndef SRC_WIRE_EVENT_STREAM_H_
#define SRC_WIRE_EVENT_STREAM_H_

#include <optional>
#include <string>
#include <string_view>

namespace buckthornpath {

/** One server-sent event. */
struct ServerSentEvent {
  std::string event;  ///< Event name; empty for an unnamed event.
  std::string id;
  std::string data;
};

/** Parses a text/event-stream incrementally. */
class EventStreamParser {
 public:
  /** Appends received text. */
  void Feed(std::string_view text) { this->pending += text; }

  /** @return The next complete event, or nothing if more text is needed. */
  std::optional<ServerSentEvent> Next();

 private:
  std::string pending;
};

/**
 * @param event Event name, or empty for an unnamed event.
 * @param id Event id, or empty.
 * @return The event in text/event-stream format.
 * @pre The data contains no line break.
 */
std::string FormatEvent(std::string_view event,
                        std::string_view id,
                        std::string_view data);

}  // namespace buckthornpath

#endif  // SRC_WIRE_EVENT_STREAM_H_
