/** @file event_relay.cc Splits event streams at event boundaries. */

#include "gateway/event_relay.h"

#include <charconv>

namespace buckthornpath {

namespace {

/** @return The number in the `id` field of an event, if there is one. */
std::optional<std::uint64_t> IdOf(std::string_view event) {
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

/** @return Length of the first complete event with its blank line; 0 if none.
 */
std::size_t EventLength(std::string_view text) {
  const std::size_t plain = text.find("\n\n");
  const std::size_t carriage = text.find("\r\n\r\n");
  if (plain == std::string_view::npos && carriage == std::string_view::npos)
    return 0;
  return plain < carriage ? plain + 2 : carriage + 4;
}

}  // namespace

std::string EventRelay::Feed(std::string_view bytes) {
  this->pending += bytes;
  std::string whole;
  std::size_t used = 0;
  const std::string_view text = this->pending;
  while (true) {
    const std::size_t length = EventLength(text.substr(used));
    if (length == 0)
      break;
    const std::string_view event = text.substr(used, length);
    used += length;
    const auto id = IdOf(event);
    if (id && this->last_id && *id <= *this->last_id)
      continue;
    if (id)
      this->last_id = id;
    whole += event;
  }
  this->pending.erase(0, used);
  return whole;
}

std::string EventRelay::Finish() {
  std::string rest;
  rest.swap(this->pending);
  return rest;
}

}  // namespace buckthornpath
