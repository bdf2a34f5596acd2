/** @file gossip_codec.cc Encodes gossip messages as authenticated datagrams. */

#include "wire/gossip_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <nlohmann/json.hpp>

#include "kernel/cbor.h"
#include "wire/message_codec.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

constexpr std::size_t kMacBytes = 16;

/** Domain separation: keeps these MACs distinct from other uses of the key. */
constexpr std::string_view kDomainSeparator = "gossip:";

json UpdateToJson(const MemberUpdate& update) {
  return json::array({update.vm.str(), update.epoch,
                      static_cast<std::uint64_t>(update.incarnation),
                      static_cast<int>(update.status)});
}

MemberUpdate UpdateFromJson(const json& item) {
  MemberUpdate update;
  update.vm = VmId(item.at(0).get<std::string>());
  update.epoch = item.at(1).get<std::uint64_t>();
  update.incarnation = Incarnation{item.at(2).get<std::uint64_t>()};
  const int status = item.at(3).get<int>();
  if (status < 0 || status > static_cast<int>(MemberStatus::kDown))
    throw MalformedMessage("unknown member status");
  update.status = static_cast<MemberStatus>(status);
  return update;
}

json ToFields(const GossipExchange& exchange) {
  json updates = json::array();
  for (const MemberUpdate& item : exchange.updates)
    updates.push_back(UpdateToJson(item));
  return json::array({exchange.is_reply, UpdateToJson(exchange.sender),
                      exchange.active_index.revision,
                      exchange.active_index.digest, std::move(updates)});
}

json ToFields(const ValueChunkRequest& request) {
  return json::array({request.name, request.offset});
}

json ToFields(const ValueChunk& piece) {
  const std::vector<std::uint8_t> data(piece.data.begin(), piece.data.end());
  return json::array(
      {piece.is_found, piece.size, piece.offset, json::binary(data)});
}

GossipExchange ReadExchange(const json& fields) {
  GossipExchange exchange;
  exchange.is_reply = fields.at(0).get<bool>();
  exchange.sender = UpdateFromJson(fields.at(1));
  exchange.active_index.revision = fields.at(2).get<std::uint64_t>();
  exchange.active_index.digest = fields.at(3).get<std::uint64_t>();
  for (const json& item : fields.at(4))
    exchange.updates.push_back(UpdateFromJson(item));
  return exchange;
}

ValueChunk ReadValueChunk(const json& fields) {
  ValueChunk piece;
  piece.is_found = fields.at(0).get<bool>();
  piece.size = fields.at(1).get<std::uint32_t>();
  piece.offset = fields.at(2).get<std::uint32_t>();
  const auto& data = fields.at(3).get_binary();
  piece.data.assign(data.begin(), data.end());
  return piece;
}

GossipMessage ReadMessage(std::size_t kind, const json& fields) {
  if (kind == 0)
    return ReadExchange(fields);
  if (kind == 1) {
    return ValueChunkRequest{fields.at(0).get<std::string>(),
                             fields.at(1).get<std::uint32_t>()};
  }
  if (kind == 2)
    return ReadValueChunk(fields);
  throw MalformedMessage("unknown gossip message type");
}

}  // namespace

std::string GossipCodec::ComputeMac(std::string_view bytes) const {
  const std::string text = std::string(kDomainSeparator) + std::string(bytes);
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), this->key.data(), static_cast<int>(this->key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  return {reinterpret_cast<const char*>(mac.data()), kMacBytes};
}

std::string GossipCodec::Encode(const GossipDatagram& datagram) const {
  json fields =
      std::visit([](const auto& alternative) { return ToFields(alternative); },
                 datagram.message);
  std::string bytes;
  json::to_cbor(json::array({datagram.nonce, datagram.message.index(),
                             std::move(fields)}),
                nlohmann::detail::output_adapter<char>(bytes));
  return this->ComputeMac(bytes) + bytes;
}

GossipDatagram GossipCodec::Decode(std::string_view bytes) const {
  if (bytes.size() < kMacBytes)
    throw MalformedMessage("datagram shorter than its authentication code");
  const std::string_view body = bytes.substr(kMacBytes);
  const std::string mac = this->ComputeMac(body);
  if (CRYPTO_memcmp(mac.data(), bytes.data(), kMacBytes) != 0)
    throw MalformedMessage("datagram has an invalid authentication code");
  try {
    const json parsed = ParseCbor(body);
    return {parsed.at(0).get<std::uint64_t>(),
            ReadMessage(parsed.at(1).get<std::size_t>(), parsed.at(2))};
  } catch (const json::exception& error) {
    throw MalformedMessage(error.what());
  }
}

}  // namespace buckthornpath
