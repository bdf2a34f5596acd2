/** @file model_order_fencing.cc Fencing tokens of model orders. */

#include "endpoint/model_order_fencing.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr unsigned kCounterBits = 12;
constexpr std::uint64_t kMaxEpoch = (std::uint64_t{1} << 41U) - 1;

/** Zero point of epochs, 2020-01-01 00:00:00 UTC, as Unix time. */
constexpr std::chrono::seconds kEpochStart{1577836800};

std::uint64_t EpochOf(system_clock::time_point wall_clock) {
  const auto since_start = std::chrono::duration_cast<milliseconds>(
      wall_clock.time_since_epoch() - kEpochStart);
  return static_cast<std::uint64_t>(
      std::max<milliseconds::rep>(since_start.count(), 0));
}

}  // namespace

FencingSequence::FencingSequence(FencingNumber highest,
                                 system_clock::time_point wall_clock) {
  const std::uint64_t seen =
      static_cast<std::uint64_t>(highest) >> kCounterBits;
  const std::uint64_t epoch =
      std::min(std::max(seen + 1, EpochOf(wall_clock)), kMaxEpoch);
  this->first = epoch << kCounterBits;
}

std::optional<FencingNumber> FencingSequence::Next() {
  if (this->counter + 1 >= (std::uint64_t{1} << kCounterBits))
    return std::nullopt;
  return FencingNumber{this->first | ++this->counter};
}

}  // namespace buckthornpath
