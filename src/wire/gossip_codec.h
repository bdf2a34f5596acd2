/** @file gossip_codec.h Encodes gossip messages as authenticated datagrams. */

#ifndef SRC_WIRE_GOSSIP_CODEC_H_
#define SRC_WIRE_GOSSIP_CODEC_H_

#include <string>
#include <string_view>

#include "wire/gossip_type.h"

namespace buckthornpath {

/**
 * Encodes datagrams as CBOR, prefixed with an HMAC-SHA-256 under a shared key,
 * cut to 128 bits.
 */
class GossipCodec {
 public:
  explicit GossipCodec(std::string key) : key(std::move(key)) {}

  std::string Encode(const GossipDatagram& datagram) const;

  /**
   * @throws MalformedMessage If the authentication code is invalid or the bytes
   *     are not a valid datagram.
   */
  GossipDatagram Decode(std::string_view bytes) const;

 private:
  /** @return The authentication code of the bytes. */
  std::string ComputeMac(std::string_view bytes) const;

  std::string key;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_GOSSIP_CODEC_H_
