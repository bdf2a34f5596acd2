/** @file fencing_token.cc Fencing tokens of model orders. */

#include "endpoint/fencing_token.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr unsigned kCounterBits = 12;
constexpr std::uint64_t kMaxEpoch = (std::uint64_t{1} << 41U) - 1;

/** Zero point of epochs, 2020-01-01 00:00:00 UTC, as Unix time. */
constexpr std::chrono::seconds kEpochZero{1577836800};

std::uint64_t EpochAt(system_clock::time_point wall_clock) {
  const auto since_start = std::chrono::duration_cast<milliseconds>(
      wall_clock.time_since_epoch() - kEpochZero);
  return static_cast<std::uint64_t>(
      std::max<milliseconds::rep>(since_start.count(), 0));
}

}  // namespace

FencingTokenGenerator::FencingTokenGenerator(
    FencingToken highest,
    system_clock::time_point wall_clock) {
  const std::uint64_t highest_epoch =
      static_cast<std::uint64_t>(highest) >> kCounterBits;
  const std::uint64_t epoch =
      std::min(std::max(highest_epoch + 1, EpochAt(wall_clock)), kMaxEpoch);
  this->epoch_bits = epoch << kCounterBits;
}

std::optional<FencingToken> FencingTokenGenerator::Next() {
  if (this->counter + 1 >= (std::uint64_t{1} << kCounterBits))
    return std::nullopt;
  return FencingToken{this->epoch_bits | ++this->counter};
}

}  // namespace buckthornpath
