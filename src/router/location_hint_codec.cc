/** @file location_hint_codec.cc Signed hints on a chat's endpoint. */

#include "router/location_hint_codec.h"

namespace buckthornpath {

namespace {

/** Joins the parts with a character that no HTTP header can contain. */
std::string SignedText(const OrganisationId& organisation,
                       const ChatId& chat,
                       std::string_view endpoint) {
  std::string text = organisation.str();
  text.append("\n").append(chat.str()).append("\n").append(endpoint);
  return text;
}

}  // namespace

std::string LocationHintCodec::Encode(const OrganisationId& organisation,
                                      const ChatId& chat,
                                      const EndpointId& endpoint) const {
  return endpoint.str() + "." +
         this->ticket_codec.Sign(
             SignedText(organisation, chat, endpoint.str()));
}

std::optional<EndpointId> LocationHintCodec::Decode(
    const OrganisationId& organisation,
    const ChatId& chat,
    std::string_view hint) const {
  const auto dot = hint.rfind('.');
  if (dot == std::string_view::npos)
    return std::nullopt;
  const EndpointId endpoint{std::string(hint.substr(0, dot))};
  if (this->Encode(organisation, chat, endpoint) != hint)
    return std::nullopt;
  return endpoint;
}

}  // namespace buckthornpath
