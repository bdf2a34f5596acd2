/** @file event_stream.cc Server-sent events. */

#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

void ParseLine(std::string_view line, ServerSentEvent& event) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos)
    return;
  const std::string_view field = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ')
    value.remove_prefix(1);
  if (field == "event")
    event.event = value;
  if (field == "id")
    event.id = value;
  if (field == "data")
    event.data += value;
}

}  // namespace

std::optional<ServerSentEvent> EventStreamParser::Next() {
  const auto end = this->pending.find("\n\n");
  if (end == std::string::npos)
    return std::nullopt;
  std::string_view block = std::string_view(this->pending).substr(0, end);
  ServerSentEvent event;
  while (!block.empty()) {
    const std::string_view line = block.substr(0, block.find('\n'));
    block.remove_prefix(std::min(block.size(), line.size() + 1));
    ParseLine(line, event);
  }
  this->pending.erase(0, end + 2);
  return event;
}

std::string FormatEvent(std::string_view event,
                        std::string_view id,
                        std::string_view data) {
  std::string text;
  if (!event.empty())
    text.append("event: ").append(event).append("\n");
  if (!id.empty())
    text.append("id: ").append(id).append("\n");
  return text.append("data: ").append(data).append("\n\n");
}

}  // namespace buckthornpath
