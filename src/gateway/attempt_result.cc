/** @file attempt_result.cc Result of one attempt to forward a request. */

#include "gateway/attempt_result.h"

#include <array>

#include "gateway/request_record.h"

namespace buckthornpath {

namespace {

constexpr std::array<AttemptResultRow, 10> kAttemptResults = {{
    {"answered", EndpointResult::kServed},
    {"no_room", std::nullopt},
    {"withheld", std::nullopt},
    {"quarantined", std::nullopt},
    {"draining", std::nullopt},
    {"unreachable", EndpointResult::kUnreachable},
    {"not_executed", EndpointResult::kFull},
    {"failed", EndpointResult::kFailed},
    {kBrokenAttempt, EndpointResult::kBroken},
    {kStalledAttempt, EndpointResult::kBroken},
}};

}  // namespace

const AttemptResultRow& RowOf(AttemptResult result) {
  return kAttemptResults.at(static_cast<std::size_t>(result));
}

}  // namespace buckthornpath
