/** @file ticket.cc Signed tickets that identify calls. */

#include "wire/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include "kernel/cbor.h"
#include "kernel/json_types.h"

namespace buckthornpath {

namespace {

constexpr std::string_view kTicketPrefix = "bpt1.";
constexpr std::size_t kNonceBytes = 12;
constexpr std::size_t kSignatureBytes = 16;

std::string ToBase64Url(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  while (!text.empty() && text.back() == '=')
    text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> FromBase64Url(std::string_view text) {
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  const std::size_t padding = (4 - padded.size() % 4) % 4;
  padded.append(padding, '=');
  std::string bytes(padded.size(), '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(padded.data()),
                      static_cast<int>(padded.size()));
  if (length < static_cast<int>(padding))
    return std::nullopt;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

nlohmann::json ToJson(const Ticket& ticket) {
  return nlohmann::json::array({ticket.endpoint, ticket.address,
                                static_cast<std::uint64_t>(ticket.incarnation),
                                ticket.organisation, ticket.nonce,
                                ticket.issued, ticket.expiry});
}

Ticket FromJson(const nlohmann::json& fields) {
  Ticket ticket;
  fields.at(0).get_to(ticket.endpoint);
  fields.at(1).get_to(ticket.address);
  ticket.incarnation = Incarnation{fields.at(2).get<std::uint64_t>()};
  fields.at(3).get_to(ticket.organisation);
  fields.at(4).get_to(ticket.nonce);
  fields.at(5).get_to(ticket.issued);
  fields.at(6).get_to(ticket.expiry);
  return ticket;
}

}  // namespace

std::string TicketCodec::Sign(std::string_view text) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), this->secret.data(), static_cast<int>(this->secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &length);
  return ToBase64Url(std::string_view(
      reinterpret_cast<const char*>(digest.data()), kSignatureBytes));
}

std::string TicketCodec::Encode(const Ticket& ticket) const {
  const auto cbor = nlohmann::json::to_cbor(ToJson(ticket));
  const std::string body = ToBase64Url(std::string(cbor.begin(), cbor.end()));
  return std::string(kTicketPrefix) + body + "." + this->Sign(body);
}

std::optional<Ticket> TicketCodec::Decode(std::string_view text) const {
  if (!HasTicketPrefix(text))
    return std::nullopt;
  text.remove_prefix(kTicketPrefix.size());
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos)
    return std::nullopt;
  const std::string_view body = text.substr(0, dot);
  const std::string_view signature = text.substr(dot + 1);
  const std::string expected = this->Sign(body);
  if (signature.size() != expected.size() ||
      CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) != 0) {
    return std::nullopt;
  }
  const auto bytes = FromBase64Url(body);
  if (!bytes)
    return std::nullopt;
  try {
    return FromJson(ParseCbor(*bytes));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string TicketCodec::NewNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error(
        "RAND_bytes failed: no random bytes for a ticket nonce");
  }
  return ToBase64Url(std::string_view(
      reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

bool HasTicketPrefix(std::string_view text) {
  return text.substr(0, kTicketPrefix.size()) == kTicketPrefix;
}

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += kDigits[digest.at(i) >> 4U];
    hex += kDigits[digest.at(i) & 15U];
  }
  return hex;
}

}  // namespace buckthornpath
