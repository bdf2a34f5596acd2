/** @file message_codec.cc Encodes messages as CBOR with nlohmann-json. */

#include "wire/message_codec.h"

#include "kernel/cbor.h"
#include "kernel/json_types.h"
#include "wire/load_report_json.h"

namespace buckthornpath {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Hello, endpoint, incarnation, now, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallRequest,
                                   ticket,
                                   attempt,
                                   organisation,
                                   profile,
                                   chat,
                                   method,
                                   path,
                                   body,
                                   after,
                                   loads)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResumeRequest,
                                   ticket,
                                   attempt,
                                   organisation,
                                   after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelRequest, ticket, organisation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallAccepted, attempt, running, queued)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallRefused,
                                   attempt,
                                   outcome,
                                   reason,
                                   detail,
                                   retry_after,
                                   running,
                                   queued,
                                   loads)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallChunk, attempt, sequence, data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallFinished,
                                   attempt,
                                   chunks,
                                   bytes,
                                   status,
                                   content_type)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat, attempt)

namespace {

using nlohmann::json;

/** Decodes fields as the alternative of Message with a given index. */
template <std::size_t I = 0>
Message DecodeAlternative(std::size_t index, const json& fields) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (index != I)
      return DecodeAlternative<I + 1>(index, fields);
    return fields.get<std::variant_alternative_t<I, Message>>();
  } else {
    throw MalformedMessage("unknown message type");
  }
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  const json fields = std::visit(
      [](const auto& alternative) { return json(alternative); }, message);
  std::string bytes;
  json::to_cbor(json::array({message.index(), fields}),
                nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

Message DecodeMessage(std::string_view bytes) {
  try {
    const json parsed = ParseCbor(bytes);
    return DecodeAlternative(parsed.at(0).get<std::size_t>(), parsed.at(1));
  } catch (const json::exception& error) {
    throw MalformedMessage(error.what());
  }
}

}  // namespace buckthornpath
