/** @file placement_estimate.cc Cost of serving a request at one endpoint. */

#include "buckthornpath/placement_estimate.h"

#include <algorithm>
#include <cstdint>

namespace buckthornpath {

namespace {

/** Cost of one running request, in prompt tokens: it lengthens each decode
 * step, for every stream, by about a hundredth of the prefill time of 100
 * tokens. */
constexpr double kRunningRequestCost = 150.0;

/** Cost of one running request of a plain service, in the same unit:
 * a difference of a few requests outweighs the distance. */
constexpr double kPlainRequestCost = 1000.0;

/** Cost of a different failure domain, in prompt tokens: about half a
 * millisecond of latency each way. */
constexpr double kCrossDomainCost = 100.0;

/** Cost of a failure rate of 1, in prompt tokens. */
constexpr double kFailureCost = 60000.0;

/** Cost of an endpoint that is warming up, in prompt tokens: the delay of a
 * long prompt at half the prefill speed. */
constexpr double kWarmUpCost = 10000.0;

/** Cost of each token of a shared prefix that is not cached, in prompt tokens:
 * prefilling it again delays every stream of the endpoint and evicts other
 * segments. With this weight a chat's prompt of 700 tokens waits at its home
 * endpoint behind one prompt of 12,000 tokens, about 0.1 s, but not behind
 * two. */
constexpr double kUncachedTokenCost = 25.0;

/** Fraction of that cost that is waived at a segment's home endpoint while the
 * segment is not known to be cached there. */
constexpr double kHomeDiscount = 0.8;

/** Cost of each token ahead beyond those prefilled in time, in addition to
 * the token itself. */
constexpr double kLateTokenCost = 12.0;

/** Size of a shared prompt from which on prefilling it again delays the
 * endpoint's streams by more than a few steps. */
constexpr std::uint32_t kLongPromptTokens = 3000;

}  // namespace

double PlacementCost(const PlacementInputs& inputs) {
  const double ahead = inputs.prefill_backlog / inputs.speed;
  const double running =
      (inputs.is_plain ? kPlainRequestCost : kRunningRequestCost) *
      inputs.running_requests;
  // The request's own part is prefilled wherever it goes.
  double cost = ahead + (running + inputs.own_tokens) / inputs.speed;
  // Endpoints of a plain service are few, and a failure domain may have more of
  // its callers than of its endpoints.
  if (!inputs.is_plain && inputs.is_other_domain)
    cost += kCrossDomainCost;
  cost += kFailureCost * inputs.failure_rate;
  if (inputs.is_warming_up)
    cost += kWarmUpCost;
  const double discount = inputs.is_home ? kHomeDiscount : 0.0;
  cost += (1 - discount) * kUncachedTokenCost * inputs.uncached_tokens;
  if (inputs.tokens_in_time >= 0) {
    const double until_first =
        ahead + (inputs.own_tokens + inputs.uncached_tokens) / inputs.speed;
    cost += kLateTokenCost * std::max(until_first - inputs.tokens_in_time, 0.0);
  }
  return cost;
}

bool IsShortPrompt(std::span<const PromptSegment> prompt) {
  std::uint64_t shared = 0;
  if (!prompt.empty()) {
    for (const PromptSegment& segment : prompt.first(prompt.size() - 1))
      shared += segment.tokens;
  }
  return shared > 0 && shared < kLongPromptTokens;
}

}  // namespace buckthornpath
