/** @file ticket.h Signed tickets that identify calls. */

#ifndef SRC_WIRE_TICKET_H_
#define SRC_WIRE_TICKET_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/**
 * Identifies one call, the only endpoint process that may run it and the time
 * by which it must start. Times are relative to the start of that process's
 * incarnation, so that clocks of different machines are never compared.
 */
struct Ticket {
  EndpointId endpoint;
  std::string address;  ///< Socket address of that endpoint process.
  Incarnation incarnation{};
  OrganisationId organisation;
  std::string nonce;
  std::chrono::milliseconds issued{};
  std::chrono::milliseconds expiry{};
};

/** Signs and verifies tickets with the fleet's shared secret. */
class TicketCodec {
 public:
  explicit TicketCodec(std::string secret) : secret(std::move(secret)) {}

  /**
   * @return The ticket as text: a prefix, base64url of its CBOR and the
   *     signature of that text, as Sign() gives it.
   */
  std::string Encode(const Ticket& ticket) const;

  /** @return The ticket, or nothing if it is malformed or wrongly signed. */
  std::optional<Ticket> Decode(std::string_view text) const;

  /** @return HMAC-SHA-256 of a text, cut to 128 bits, in base64url. */
  std::string Sign(std::string_view text) const;

  /**
   * @return A random 96-bit nonce in base64url.
   * @throws std::runtime_error If no random bytes are available.
   */
  static std::string NewNonce();

 private:
  std::string secret;
};

/** @return True if a text has the ticket prefix; verifies no signature. */
bool HasTicketPrefix(std::string_view text);

/** @return SHA-256 of a text in lower-case hexadecimal. */
std::string Sha256Hex(std::string_view text);

}  // namespace buckthornpath

#endif  // SRC_WIRE_TICKET_H_
