/** @file cbor.h CBOR parser for untrusted input. */

#ifndef SRC_KERNEL_CBOR_H_
#define SRC_KERNEL_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace buckthornpath {

/**
 * Parses CBOR with a limit on the nesting depth: the library's parser recurses
 * once per level, so that deeply nested input would overflow the stack and
 * crash the process.
 * @throws nlohmann::json::exception If the bytes are not valid CBOR or are
 * nested more than 32 levels deep.
 */
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_CBOR_H_
