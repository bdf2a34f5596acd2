/** @file json_types.h JSON forms of the strong types. */

#ifndef SRC_KERNEL_JSON_TYPES_H_
#define SRC_KERNEL_JSON_TYPES_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "buckthornpath/strong_id_type.h"

namespace nlohmann {

template <class Tag>
struct adl_serializer<buckthornpath::StrongId<Tag>> {
  static void to_json(json& out, const buckthornpath::StrongId<Tag>& id) {
    out = id.str();
  }
  static void from_json(const json& in, buckthornpath::StrongId<Tag>& id) {
    id = buckthornpath::StrongId<Tag>(in.get<std::string>());
  }
};

/** Durations travel as whole milliseconds. */
template <>
struct adl_serializer<std::chrono::milliseconds> {
  static void to_json(json& out, const std::chrono::milliseconds& time) {
    out = time.count();
  }
  static void from_json(const json& in, std::chrono::milliseconds& time) {
    time = std::chrono::milliseconds(in.get<std::int64_t>());
  }
};

}  // namespace nlohmann

#endif  // SRC_KERNEL_JSON_TYPES_H_
