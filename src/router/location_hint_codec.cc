/** @file location_hint_codec.cc Signed hints that name the endpoint of a chat.
 */

#include "router/location_hint_codec.h"

namespace buckthornpath {

namespace {

/** Joins the parts with a character that no HTTP header can contain. */
std::string SealedText(const OrganisationId& organisation,
                       const ChatId& chat,
                       std::string_view endpoint) {
  std::string text = organisation.str();
  text.append("\n").append(chat.str()).append("\n").append(endpoint);
  return text;
}

}  // namespace

std::string LocationHint::Seal(const OrganisationId& organisation,
                               const ChatId& chat,
                               const EndpointId& endpoint) const {
  return endpoint.str() + "." +
         this->mint.Sign(SealedText(organisation, chat, endpoint.str()));
}

std::optional<EndpointId> LocationHint::Open(const OrganisationId& organisation,
                                             const ChatId& chat,
                                             std::string_view hint) const {
  const auto dot = hint.rfind('.');
  if (dot == std::string_view::npos)
    return std::nullopt;
  const EndpointId endpoint{std::string(hint.substr(0, dot))};
  if (this->Seal(organisation, chat, endpoint) != hint)
    return std::nullopt;
  return endpoint;
}

}  // namespace buckthornpath
