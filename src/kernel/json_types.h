/** @file json_types.h JSON conversion of StrongId and of durations. */

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

/** Durations are written as integer milliseconds. */
template <>
struct adl_serializer<std::chrono::milliseconds> {
  static void to_json(json& out, const std::chrono::milliseconds& time) {
    out = time.count();
  }
  /**
   * @throws json::out_of_range If the duration exceeds 100 years in either
   * direction, so that sums of durations cannot overflow.
   */
  static void from_json(const json& in, std::chrono::milliseconds& time) {
    constexpr std::chrono::hours kMaxDuration{24 * 365 * 100};
    time = std::chrono::milliseconds(in.get<std::int64_t>());
    if (time > kMaxDuration || time < -kMaxDuration)
      throw json::out_of_range::create(401, "duration longer than 100 years",
                                       nullptr);
  }
};

}  // namespace nlohmann

#endif  // SRC_KERNEL_JSON_TYPES_H_
