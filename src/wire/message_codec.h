/** @file message_codec.h Encoding of messages between processes. */

#ifndef SRC_WIRE_MESSAGE_CODEC_H_
#define SRC_WIRE_MESSAGE_CODEC_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "wire/message_type.h"

namespace buckthornpath {

/** Thrown if bytes do not decode to a valid message. */
class MalformedMessage : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** @return The message as a CBOR array of its type index and its fields. */
std::string EncodeMessage(const Message& message);

/** @throws MalformedMessage If the bytes are not a valid message. */
Message DecodeMessage(std::string_view bytes);

}  // namespace buckthornpath

#endif  // SRC_WIRE_MESSAGE_CODEC_H_
