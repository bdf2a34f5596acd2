/** @file gossip_codec.h Gossip messages as datagrams. */

#ifndef SRC_WIRE_GOSSIP_CODEC_H_
#define SRC_WIRE_GOSSIP_CODEC_H_

#include <string>
#include <string_view>

#include "wire/gossip_type.h"

namespace buckthornpath {

/** Encodes datagrams in CBOR and authenticates them by a shared key. */
class GossipCodec {
 public:
  explicit GossipCodec(std::string key) : key(std::move(key)) {}

  std::string Encode(const GossipDatagram& datagram) const;

  /** @throws MalformedMessage If the bytes are no datagram under the key. */
  GossipDatagram Decode(std::string_view bytes) const;

 private:
  std::string Code(std::string_view bytes) const;

  std::string key;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_GOSSIP_CODEC_H_
