/** @file model_order_fencing.h Numbers that fence off older issuers of orders.
 */

#ifndef SRC_ENDPOINT_MODEL_ORDER_FENCING_H_
#define SRC_ENDPOINT_MODEL_ORDER_FENCING_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace buckthornpath {

/**
 * Number that an order carries; an engine may refuse one that is not above the
 * highest it has seen. At most 53 bits, so that JSON keeps it exact.
 */
enum class FencingNumber : std::uint64_t {};

/**
 * Draws rising fencing numbers for one process. The upper bits are an epoch,
 * above that of the engine's highest number and not below the wall clock in
 * milliseconds; the lower ones are a counter.
 */
class FencingSequence {
 public:
  /**
   * Begins an epoch of its own.
   * @param highest Highest number that the engine has seen; 0 for none.
   * @param wall_clock Time of day; may be wrong.
   */
  FencingSequence(FencingNumber highest,
                  std::chrono::system_clock::time_point wall_clock);

  /** @return The next number; nothing once the epoch is used up. */
  std::optional<FencingNumber> Next();

 private:
  std::uint64_t first = 0;  ///< The epoch, in the upper bits.
  std::uint64_t counter = 0;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_FENCING_H_
