/** @file call_cost.h Estimates the cost of a call in tokens. */

#ifndef SRC_ENDPOINT_CALL_COST_H_
#define SRC_ENDPOINT_CALL_COST_H_

#include <cstdint>
#include <string>

namespace buckthornpath {

/**
 * @param body Body of a chat completion, or of any other request.
 * @return Tokens of the prompt, estimated from its length, plus the largest
 *     number of tokens to be generated.
 */
std::int64_t EstimateCost(const std::string& body);

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_CALL_COST_H_
