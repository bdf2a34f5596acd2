/** @file location_hint_codec.h Signed hints on a chat's endpoint. */

#ifndef SRC_ROUTER_LOCATION_HINT_CODEC_H_
#define SRC_ROUTER_LOCATION_HINT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "buckthornpath/strong_id_type.h"
#include "wire/ticket.h"

namespace buckthornpath {

/**
 * Signs and verifies location hints, which name the endpoint that last served a
 * chat. A hint is valid for one chat of one organisation only, so that a caller
 * can return a hint but cannot choose an endpoint.
 */
class LocationHintCodec {
 public:
  explicit LocationHintCodec(const TicketCodec& ticket_codec)
      : ticket_codec(ticket_codec) {}

  /** @return The signed hint to send with the answer. */
  std::string Encode(const OrganisationId& organisation,
                     const ChatId& chat,
                     const EndpointId& endpoint) const;

  /** @return The endpoint; nothing if the hint is invalid for this chat. */
  std::optional<EndpointId> Decode(const OrganisationId& organisation,
                                   const ChatId& chat,
                                   std::string_view hint) const;

 private:
  const TicketCodec& ticket_codec;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_LOCATION_HINT_CODEC_H_
