/** @file ticket.h Tickets: authenticated names of calls. */

#ifndef SRC_WIRE_TICKET_H_
#define SRC_WIRE_TICKET_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/**
 * Names one call, the only endpoint process that may run it and the time by
 * which it may start. Times count from the start of that process's incarnation,
 * so that no two clocks are compared.
 */
struct Ticket {
  EndpointId endpoint;
  std::string address;  ///< Where that endpoint process listens.
  Incarnation incarnation{};
  OrganisationId organisation;
  std::string nonce;
  std::chrono::milliseconds issued{};
  std::chrono::milliseconds expiry{};
};

/** Mints and verifies tickets under a secret that the fleet shares. */
class TicketMint {
 public:
  explicit TicketMint(std::string secret) : secret(std::move(secret)) {}

  /** @return The ticket as text: base64url of CBOR and of its HMAC-SHA-256. */
  std::string Encode(const Ticket& ticket) const;

  /** @return The ticket, or nothing if the text was not minted here. */
  std::optional<Ticket> Decode(std::string_view text) const;

  /** @return HMAC-SHA-256 of a text, cut to 128 bits, in base64url. */
  std::string Sign(std::string_view text) const;

  /** @return A nonce that is not used twice. */
  static std::string NewNonce();

 private:
  std::string secret;
};

/** @return True if a text has the form of a ticket, genuine or not. */
bool LooksLikeTicket(std::string_view text);

/** @return SHA-256 of a text in lower-case hexadecimal. */
std::string Sha256Hex(std::string_view text);

}  // namespace buckthornpath

#endif  // SRC_WIRE_TICKET_H_
