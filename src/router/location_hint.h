/** @file location_hint.h Names the endpoint that served a chat last. */

#ifndef SRC_ROUTER_LOCATION_HINT_H_
#define SRC_ROUTER_LOCATION_HINT_H_

#include <optional>
#include <string>
#include <string_view>

#include "buckthornpath/strong_id_type.h"
#include "wire/ticket.h"

namespace buckthornpath {

/**
 * Seals and opens location hints. A hint holds for one chat of one
 * organisation, so that a caller can return one but not steer a call.
 */
class LocationHint {
 public:
  explicit LocationHint(const TicketMint& mint) : mint(mint) {}

  /** @return The hint that the answer carries. */
  std::string Seal(const OrganisationId& organisation,
                   const ChatId& chat,
                   const EndpointId& endpoint) const;

  /** @return The endpoint, or nothing if the hint is not this chat's. */
  std::optional<EndpointId> Open(const OrganisationId& organisation,
                                 const ChatId& chat,
                                 std::string_view hint) const;

 private:
  const TicketMint& mint;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_LOCATION_HINT_H_
