/** @file gateway_message.h Datagrams between gateways. */

#ifndef SRC_GATEWAY_GATEWAY_MESSAGE_H_
#define SRC_GATEWAY_GATEWAY_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornpath/endpoint_selector.h"
#include "buckthornpath/gateway_roster.h"
#include "buckthornpath/peer_loads.h"
#include "buckthornpath/segment_quarantine.h"
#include "buckthornpath/store_revision.h"
#include "gateway/stream_news.h"

namespace buckthornpath {

/** A datagram from another gateway could not be decoded. */
class MalformedGatewayMessage : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** What the loads of a message cover. */
enum class GatewayMessageKind : std::uint8_t {
  kReport,  ///< Member to hubs: the sender's own requests.
  kDigest,  ///< Leader to hubs: the requests of its failure domain.
  kView,    ///< Hub to members: the requests of all gateways.
};

/** A gateway that the sender knows to be alive. */
struct RosterEntry {
  GatewayMember member;
  std::chrono::milliseconds age{};  ///< Time since it was heard itself.
};

/** One datagram. */
struct GatewayMessage {
  GatewayMessageKind kind = GatewayMessageKind::kReport;
  GatewayMember sender;
  /** Address of the leader of the sender's failure domain, as it knows it. */
  std::string leader;
  std::uint64_t sequence = 0;  ///< Of a report; rises within a process.
  /** View: sequence of the receiver's latest report that the loads include. */
  std::uint64_t acknowledged = 0;
  StoreRevision revision;           ///< Of the sender's published items.
  std::size_t gateway_count = 0;    ///< Live gateways that the sender knows.
  std::vector<RosterEntry> roster;  ///< Gateways that matter to the receiver.
  /** Loads per endpoint; empty if the sender has no complete sum. */
  std::optional<EndpointUsageMap> uses;
  std::vector<SegmentLocation> segments;  ///< Newly cached prompt segments.
  /** Prompt segments that crash endpoints. */
  QuarantineReport quarantine;
  StreamNews streams;
  /** Addresses of other gateways, for and from gateways of version 1. */
  std::vector<std::string> known_addresses;
};

/** Encodes a message as CBOR. A report carries the members that gateways of
 * version 1 require, which report to all others directly. */
std::string EncodeGatewayMessage(const GatewayMessage& message);

/**
 * Sets the acknowledged sequence of an encoded message, so that a view for many
 * members is encoded once.
 * @param bytes Result of EncodeGatewayMessage() without a sequence.
 */
std::string WithAcknowledged(std::string bytes, std::uint64_t sequence);

/**
 * Decodes a message and skips unknown members. A message of a gateway of
 * version 1 becomes a report without failure domain.
 * @throws MalformedGatewayMessage If the datagram is not a message.
 */
GatewayMessage DecodeGatewayMessage(std::string_view datagram);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_GATEWAY_MESSAGE_H_
