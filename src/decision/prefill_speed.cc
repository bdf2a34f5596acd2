/** @file prefill_speed.cc How fast the engines of a service prefill prompts. */

#include "buckthornpath/prefill_speed.h"

#include <algorithm>
#include <cmath>

namespace buckthornpath {

namespace {

/** Factor on the weight of earlier responses: the last hundred count. */
constexpr double kForgetting = 0.99;

/** Weight of responses below which the defaults are used. */
constexpr double kMinWeight = 20;

/** Mean square deviation of the tokens below which no slope can be fitted. */
constexpr double kMinVariance = 100.0 * 100.0;

constexpr double kDefaultBaseMs = 50;
constexpr double kDefaultMsPerToken = 0.015;

/** Bounds of the time of one token: 5 to 1,000 tokens in a millisecond. */
constexpr double kMinMsPerToken = 0.001;
constexpr double kMaxMsPerToken = 0.2;

}  // namespace

void PrefillSpeed::Record(double tokens, std::chrono::milliseconds time) {
  const auto ms = static_cast<double>(time.count());
  for (double* sum : {&this->weight, &this->sum_tokens, &this->sum_ms,
                      &this->sum_tokens_squared, &this->sum_product})
    *sum *= kForgetting;
  this->weight += 1;
  this->sum_tokens += tokens;
  this->sum_ms += ms;
  this->sum_tokens_squared += tokens * tokens;
  this->sum_product += tokens * ms;
}

PrefillSpeed::Line PrefillSpeed::Fit() const {
  if (this->weight < kMinWeight)
    return {kDefaultBaseMs, kDefaultMsPerToken};
  const double mean_tokens = this->sum_tokens / this->weight;
  const double mean_ms = this->sum_ms / this->weight;
  const double variance =
      this->sum_tokens_squared / this->weight - mean_tokens * mean_tokens;
  double slope = kDefaultMsPerToken;
  if (variance > kMinVariance) {
    slope =
        (this->sum_product / this->weight - mean_tokens * mean_ms) / variance;
  }
  slope = std::clamp(slope, kMinMsPerToken, kMaxMsPerToken);
  return {std::max(mean_ms - slope * mean_tokens, 0.0), slope};
}

std::chrono::milliseconds PrefillSpeed::TimeFor(double tokens) const {
  const Line line = this->Fit();
  return std::chrono::milliseconds(
      std::lround(line.base_ms + line.ms_per_token * tokens));
}

double PrefillSpeed::TokensWithin(std::chrono::milliseconds time) const {
  const Line line = this->Fit();
  const double left = static_cast<double>(time.count()) - line.base_ms;
  return std::max(left, 0.0) / line.ms_per_token;
}

}  // namespace buckthornpath
