/** @file gossip_type.h Messages of the gossip between our processes. */

#ifndef SRC_WIRE_GOSSIP_TYPE_H_
#define SRC_WIRE_GOSSIP_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "buckthornpath/membership.h"
#include "wire/index_stamp_type.h"

namespace buckthornpath {

/** What the sender knows; the receiver answers with what it knows. */
struct GossipExchange {
  bool is_answer = false;
  MemberNews sender;
  IndexStamp in_force;
  std::vector<MemberNews> news;
};

/** Asks for a piece of a value that the receiver may hold. */
struct PieceRequest {
  std::string name;  ///< "document/DIGEST" or "index/FROM/TO".
  std::uint32_t offset = 0;
};

/** A piece of a value. */
struct Piece {
  bool held = false;       ///< False if the sender has no such value.
  std::uint32_t size = 0;  ///< Bytes of the whole value.
  std::uint32_t offset = 0;
  std::string data;
};

using GossipMessage = std::variant<GossipExchange, PieceRequest, Piece>;

/** One datagram. */
struct GossipDatagram {
  std::uint64_t nonce = 0;  ///< An answer repeats the one of its request.
  GossipMessage message;
};

}  // namespace buckthornpath

#endif  // SRC_WIRE_GOSSIP_TYPE_H_
