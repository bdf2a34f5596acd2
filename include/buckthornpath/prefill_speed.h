/** @file prefill_speed.h How fast the engines of a service prefill prompts. */

#ifndef BUCKTHORNPATH_PREFILL_SPEED_H_
#define BUCKTHORNPATH_PREFILL_SPEED_H_

#include <chrono>

namespace buckthornpath {

/**
 * Time to the first token as a linear function of the prompt tokens that an
 * engine has to prefill before it, learnt from the responses of a service:
 * least squares, in which older responses count less. Not thread-safe.
 */
class PrefillSpeed {
 public:
  /**
   * Records a response.
   * @param tokens Prompt tokens ahead of its first token, its own included.
   * @param time From sending the request to its first token.
   */
  void Record(double tokens, std::chrono::milliseconds time);

  /** @return Expected time to the first token behind these tokens. */
  std::chrono::milliseconds TimeFor(double tokens) const;

  /** @return Tokens that are prefilled within a time; 0 if it passes before
   * any first token. */
  double TokensWithin(std::chrono::milliseconds time) const;

 private:
  struct Line {
    double base_ms;
    double ms_per_token;
  };

  Line Fit() const;

  double weight = 0;
  double sum_tokens = 0;
  double sum_ms = 0;
  double sum_tokens_squared = 0;
  double sum_product = 0;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_PREFILL_SPEED_H_
