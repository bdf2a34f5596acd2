/** @file stream_records.h Records of streams and gateways of tests that need no
 * network. */

#ifndef TEST_HARNESS_STREAM_RECORDS_H_
#define TEST_HARNESS_STREAM_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "buckthornpath/gateway_roster.h"
#include "buckthornpath/stream_origins.h"

namespace buckthornpath {

inline const StreamOrigin kOld{ServiceName("llm"), "v1"};
inline const StreamOrigin kNew{ServiceName("llm"), "v2"};

inline StreamKey Key(std::uint64_t number) {
  return {number, ~number};
}

/** @return Records of streams that the old version has begun. */
inline std::vector<StreamRecord> Records(std::size_t first, std::size_t count) {
  std::vector<StreamRecord> records;
  records.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    records.push_back({Key(first + i), kOld});
  return records;
}

inline GatewayMember Member(const std::string& domain, std::size_t number) {
  GatewayMember member;
  member.address = "10.0.0." + std::to_string(number) + ":1";
  member.failure_domain = FailureDomainId(domain);
  return member;
}

}  // namespace buckthornpath

#endif  // TEST_HARNESS_STREAM_RECORDS_H_
