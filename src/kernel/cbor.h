/** @file cbor.h Reads CBOR that may come from anywhere. */

#ifndef SRC_KERNEL_CBOR_H_
#define SRC_KERNEL_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace buckthornpath {

/**
 * Parses CBOR. The library's parser recurses once for each level of nesting,
 * so that values nested too deep would end the process.
 * @throws nlohmann::json::exception If the bytes are no CBOR or nested too
 * deep.
 */
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_CBOR_H_
