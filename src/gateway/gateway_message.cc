/** @file gateway_message.cc Datagrams between gateways. */

#include "gateway/gateway_message.h"

#include <nlohmann/json.hpp>

#include "kernel/cbor.h"
#include "kernel/socket_address.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json EncodeMember(const GatewayMember& member) {
  return {member.address, member.failure_domain.str(), member.capacity,
          member.leaving, member.run};
}

GatewayMember DecodeMember(const json& value) {
  GatewayMember member;
  member.address = value.at(0).get<std::string>();
  ParseSocketAddress(member.address);
  member.failure_domain = FailureDomainId(value.at(1).get<std::string>());
  member.capacity = value.at(2).get<std::int64_t>();
  member.leaving = value.at(3).get<bool>();
  // Older gateways do not state their run.
  if (value.size() > 4)
    member.run = value.at(4).get<std::uint64_t>();
  return member;
}

json EncodeUses(const EndpointUsageMap& uses) {
  json encoded = json::object();
  for (const auto& [id, use] : uses)
    encoded[id.str()] = {use.requests, use.prefill_tokens};
  return encoded;
}

EndpointUsageMap DecodeUses(const json& value) {
  EndpointUsageMap uses;
  for (const auto& [id, use] : value.items()) {
    uses[EndpointId(id)] = {use.at(0).get<std::int64_t>(),
                            use.at(1).get<std::int64_t>()};
  }
  return uses;
}

/** @return Three lists: crashes, segments in quarantine, proven segments. */
json EncodeQuarantine(const QuarantineReport& report) {
  json crashes = json::array();
  for (const CrashedRequest& crash : report.crashes)
    crashes.push_back(
        {crash.endpoint.str(), crash.age.count(), crash.segments});
  json quarantined = json::array();
  for (const QuarantinedRequest& entry : report.quarantined) {
    quarantined.push_back(
        {entry.segments, entry.remaining.count(), entry.convictions});
  }
  json proofs = json::array();
  for (const ProvenSegment& proof : report.proofs)
    proofs.push_back({proof.segment, proof.age.count()});
  return {std::move(crashes), std::move(quarantined), std::move(proofs)};
}

milliseconds DecodeAge(const json& value) {
  return milliseconds(value.get<std::uint32_t>());
}

QuarantineReport DecodeQuarantine(const json& value) {
  QuarantineReport report;
  for (const json& crash : value.at(0)) {
    report.crashes.push_back({EndpointId(crash.at(0).get<std::string>()),
                              DecodeAge(crash.at(1)),
                              crash.at(2).get<SegmentSet>()});
  }
  for (const json& entry : value.at(1)) {
    report.quarantined.push_back({entry.at(0).get<SegmentSet>(),
                                  DecodeAge(entry.at(1)),
                                  entry.at(2).get<int>()});
  }
  for (const json& proof : value.at(2)) {
    report.proofs.push_back(
        {proof.at(0).get<std::uint64_t>(), DecodeAge(proof.at(1))});
  }
  return report;
}

/** Reads the members that only gateways of this version send. */
void DecodeCurrentFields(const json& value, GatewayMessage& message) {
  const auto kind = value.at("kind").get<unsigned>();
  if (kind > static_cast<unsigned>(GatewayMessageKind::kView))
    throw MalformedGatewayMessage("unknown kind of message: " +
                                  std::to_string(kind));
  message.kind = static_cast<GatewayMessageKind>(kind);
  message.sender = DecodeMember(value.at("sender"));
  message.leader = value.value("leader", "");
  message.sequence = value.at("sequence").get<std::uint64_t>();
  message.acknowledged = value.value("acknowledged", std::uint64_t{0});
  message.gateway_count = value.at("gateways").get<std::size_t>();
  for (const json& entry : value.at("roster")) {
    message.roster.push_back({DecodeMember(entry.at(0)),
                              milliseconds(entry.at(1).get<std::uint32_t>())});
  }
}

GatewayMessage DecodeFields(const json& value) {
  GatewayMessage message;
  message.sender.address = value.at("from").get<std::string>();
  ParseSocketAddress(message.sender.address);
  if (value.contains("kind"))
    DecodeCurrentFields(value, message);
  message.revision = {value.value("era", std::uint64_t{0}),
                      value.at("revision").get<std::uint64_t>()};
  if (value.contains("uses"))
    message.uses = DecodeUses(value.at("uses"));
  for (const json& known : value.at("peers")) {
    message.known_addresses.push_back(known.get<std::string>());
    ParseSocketAddress(message.known_addresses.back());
  }
  for (const json& place : value.at("parts")) {
    message.segments.push_back({EndpointId(place.at(0).get<std::string>()),
                                place.at(1).get<std::uint64_t>()});
  }
  if (value.contains("quarantine"))
    message.quarantine = DecodeQuarantine(value.at("quarantine"));
  if (value.contains("streams"))
    message.streams = DecodeStreamNews(value.at("streams"));
  return message;
}

}  // namespace

std::string EncodeGatewayMessage(const GatewayMessage& message) {
  json roster = json::array();
  for (const RosterEntry& entry : message.roster)
    roster.push_back({EncodeMember(entry.member), entry.age.count()});
  json segments = json::array();
  for (const SegmentLocation& place : message.segments)
    segments.push_back({place.endpoint.str(), place.segment});
  json value = {{"from", message.sender.address},
                {"era", message.revision.era},
                {"revision", message.revision.number},
                {"peers", message.known_addresses},
                {"parts", std::move(segments)},
                {"kind", static_cast<unsigned>(message.kind)},
                {"sender", EncodeMember(message.sender)},
                {"leader", message.leader},
                {"sequence", message.sequence},
                {"gateways", message.gateway_count},
                {"roster", std::move(roster)}};
  if (message.uses)
    value["uses"] = EncodeUses(*message.uses);
  if (!message.quarantine.IsEmpty())
    value["quarantine"] = EncodeQuarantine(message.quarantine);
  if (message.streams.Count() != 0)
    value["streams"] = EncodeStreamNews(message.streams);
  std::string bytes;
  json::to_cbor(value, bytes);
  return message.acknowledged == 0
             ? bytes
             : WithAcknowledged(std::move(bytes), message.acknowledged);
}

std::string WithAcknowledged(std::string bytes, std::uint64_t sequence) {
  // RFC 8949, 3: the first byte of a short map holds its number of members.
  constexpr unsigned char kEmptyMap = 0xa0;
  constexpr unsigned char kMaxShortMap = 0xb7;
  const auto map_byte = static_cast<unsigned char>(bytes.at(0));
  if (map_byte < kEmptyMap || map_byte >= kMaxShortMap)
    throw std::logic_error("message is not a short CBOR map");
  bytes.front() = static_cast<char>(map_byte + 1);
  json::to_cbor("acknowledged", bytes);
  json::to_cbor(sequence, bytes);
  return bytes;
}

GatewayMessage DecodeGatewayMessage(std::string_view datagram) {
  try {
    return DecodeFields(ParseCbor(datagram));
  } catch (const json::exception& error) {
    throw MalformedGatewayMessage(error.what());
  } catch (const std::invalid_argument& error) {
    throw MalformedGatewayMessage(error.what());
  }
}

}  // namespace buckthornpath
