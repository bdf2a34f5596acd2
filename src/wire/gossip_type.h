/** @file gossip_type.h Gossip messages between processes of the fleet. */

#ifndef SRC_WIRE_GOSSIP_TYPE_H_
#define SRC_WIRE_GOSSIP_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "buckthornpath/membership.h"
#include "wire/index_version_type.h"

namespace buckthornpath {

/**
 * Membership and index version that the sender knows; the receiver replies with
 * its own.
 */
struct GossipExchange {
  bool is_reply = false;
  MemberUpdate sender;
  IndexVersion active_index;
  std::vector<MemberUpdate> updates;
};

/** Requests one part of a value that the receiver may have. */
struct ValueChunkRequest {
  std::string name;  ///< "document/DIGEST" or "index/FROM/TO".
  std::uint32_t offset = 0;
};

/** One part of a value. */
struct ValueChunk {
  bool is_found = false;   ///< False if the sender does not have the value.
  std::uint32_t size = 0;  ///< Total size of the value in bytes.
  std::uint32_t offset = 0;
  std::string data;
};

using GossipMessage =
    std::variant<GossipExchange, ValueChunkRequest, ValueChunk>;

/** One datagram. */
struct GossipDatagram {
  std::uint64_t nonce = 0;  ///< A reply carries the nonce of its request.
  GossipMessage message;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_GOSSIP_TYPE_H_
