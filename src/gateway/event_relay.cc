/** @file event_relay.cc Splits event streams at event boundaries. */

#include "gateway/event_relay.h"

#include <charconv>

namespace buckthornpath {

namespace {

/** @return The number in the `id` field of an event, if there is one. */
std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kId = "id:";
  std::size_t line = 0;
  while (line < event.size()) {
    const std::size_t end = std::min(event.find('\n', line), event.size());
    std::string_view text = event.substr(line, end - line);
    line = end + 1;
    if (!text.starts_with(kId))
      continue;
    text.remove_prefix(kId.size());
    while (!text.empty() && text.front() == ' ')
      text.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [rest, error] =
        std::from_chars(text.data(), text.data() + text.size(), id);
    if (error == std::errc())
      return id;
  }
  return std::nullopt;
}

/** @return True if an event has a field; one of comments alone has none. */
bool HasField(std::string_view event) {
  std::size_t line = 0;
  while (line < event.size()) {
    const char first = event[line];
    if (first != ':' && first != '\r' && first != '\n')
      return true;
    line = std::min(event.find('\n', line), event.size()) + 1;
  }
  return false;
}

/** @return Length of the first complete event with its blank line; 0 if none.
 */
std::size_t EventLength(std::string_view text) {
  const std::size_t lf_end = text.find("\n\n");
  const std::size_t crlf_end = text.find("\r\n\r\n");
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
    return 0;
  return lf_end < crlf_end ? lf_end + 2 : crlf_end + 4;
}

}  // namespace

std::string EventRelay::Feed(std::string_view bytes) {
  this->partial_event += bytes;
  std::string complete_events;
  std::size_t used = 0;
  const std::string_view text = this->partial_event;
  while (true) {
    const std::size_t length = EventLength(text.substr(used));
    if (length == 0)
      break;
    const std::string_view event = text.substr(used, length);
    used += length;
    if (HasField(event))
      ++this->event_count;
    const auto id = ParseEventId(event);
    if (id && this->last_event_id && *id <= *this->last_event_id)
      continue;
    if (id)
      this->last_event_id = id;
    complete_events += event;
  }
  this->partial_event.erase(0, used);
  return complete_events;
}

bool EventRelay::HasPartialEvent() const {
  return HasField(this->partial_event);
}

std::string EventRelay::Finish() {
  std::string rest;
  rest.swap(this->partial_event);
  return rest;
}

}  // namespace buckthornpath
