/** @file codec.h Messages as bytes. */

#ifndef SRC_WIRE_CODEC_H_
#define SRC_WIRE_CODEC_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "wire/message_type.h"

namespace buckthornpath {

/** Bytes that are no message. */
class MalformedMessage : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** @return The message in CBOR. */
std::string EncodeMessage(const Message& message);

/** @throws MalformedMessage If the bytes are no message. */
Message DecodeMessage(std::string_view bytes);

}  // namespace buckthornpath

#endif  // SRC_WIRE_CODEC_H_
