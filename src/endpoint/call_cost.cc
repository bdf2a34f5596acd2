/** @file call_cost.cc Estimates the cost of a call in tokens. */

#include "endpoint/call_cost.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace buckthornpath {

namespace {

/** Average number of bytes of text per token. */
constexpr std::size_t kBytesPerToken = 4;

/** Generated tokens assumed for a call without `max_tokens`. */
constexpr std::int64_t kDefaultMaxTokens = 256;

/** Upper limit of `max_tokens` in the estimate. */
constexpr std::int64_t kMaxTokens = 1000000;

}  // namespace

std::int64_t EstimateCost(const std::string& body) {
  const auto prompt = static_cast<std::int64_t>(body.size() / kBytesPerToken);
  const auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("messages"))
    return 1 + prompt;
  const auto limit = parsed.find("max_tokens");
  if (limit == parsed.end() || !limit->is_number_integer())
    return prompt + kDefaultMaxTokens;
  return prompt +
         std::clamp<std::int64_t>(limit->get<std::int64_t>(), 1, kMaxTokens);
}

}  // namespace buckthornpath
