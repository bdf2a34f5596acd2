/** @file fencing_token.h Fencing tokens of model orders. */

#ifndef SRC_ENDPOINT_FENCING_TOKEN_H_
#define SRC_ENDPOINT_FENCING_TOKEN_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace buckthornpath {

/**
 * Fencing token of an order: an engine may refuse an order whose token is not
 * greater than the highest it has seen, so that an outdated issuer has no
 * effect. At most 53 bits, which a JSON number represents exactly.
 */
enum class FencingToken : std::uint64_t {};

/**
 * Generates increasing fencing tokens for one process. The upper bits are an
 * epoch: greater than that of the engine's highest token and not less than the
 * wall clock in milliseconds. The lower bits are a counter.
 */
class FencingTokenGenerator {
 public:
  /**
   * Begins a new epoch.
   * @param highest Highest token that the engine has seen; 0 for none.
   * @param wall_clock May be wrong; an epoch above `highest` is used then.
   */
  FencingTokenGenerator(FencingToken highest,
                        std::chrono::system_clock::time_point wall_clock);

  /** @return The next token, or nothing if the epoch has no more. */
  std::optional<FencingToken> Next();

 private:
  std::uint64_t epoch_bits = 0;  ///< The epoch, shifted into the upper bits.
  std::uint64_t counter = 0;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_FENCING_TOKEN_H_
