/** @file placement_estimate.h Cost of serving a request at one endpoint. */

#ifndef BUCKTHORNPATH_PLACEMENT_ESTIMATE_H_
#define BUCKTHORNPATH_PLACEMENT_ESTIMATE_H_

#include <span>

#include "buckthornpath/engine_memory.h"

namespace buckthornpath {

/** What is known of a request and of an endpoint that could serve it. */
struct PlacementInputs {
  double prefill_backlog = 0;   ///< Prompt tokens ahead at the endpoint.
  double running_requests = 0;  ///< At the endpoint, from all gateways.
  double own_tokens = 0;        ///< Of the prompt, shared with no other.
  double uncached_tokens = 0;   ///< Of the shared prompt.
  /** Tokens that the service's engines prefill before the request's target
   * latency is at risk; negative if it states none. */
  double tokens_in_time = -1;
  double failure_rate = 0;  ///< Of the endpoint, 0 to 1.
  double speed = 1;         ///< Of the endpoint, relative to its service.
  bool is_plain = false;    ///< The service takes no prompts.
  bool is_home = false;     ///< First endpoint of the prompt's order.
  bool is_other_domain = false;
  bool is_warming_up = false;
};

/**
 * Estimates what a request costs at an endpoint: time until its first token,
 * harm to the requests there, and prompts prefilled again. Handles short
 * prompts behind long ones: tokens ahead that put the request's target latency
 * at risk count several times, so that it goes to an endpoint where fewer wait.
 * @return Cost in prompt tokens.
 */
double PlacementCost(const PlacementInputs& inputs);

/** @return True if prefilling the shared prompt again delays others so little
 * that the request should leave a busy endpoint before others do. */
bool IsShortPrompt(std::span<const PromptSegment> prompt);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_PLACEMENT_ESTIMATE_H_
