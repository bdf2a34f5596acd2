/** @file byte_budget.h Limit on the bytes that all requests buffer together. */

#ifndef SRC_GATEWAY_BYTE_BUDGET_H_
#define SRC_GATEWAY_BYTE_BUDGET_H_

#include <cstddef>
#include <limits>
#include <utility>

namespace buckthornpath {

/**
 * Bytes that all requests of a process may buffer. A part is reserved for
 * holders of few bytes, so that small requests are served while large ones
 * have used up the rest. Not thread-safe.
 */
class ByteBudget {
 public:
  /** Most bytes of one holder that the reserved part is for. */
  static constexpr std::size_t kSmallHolder = std::size_t{64} * 1024;

  explicit ByteBudget(std::size_t limit, std::size_t reserved = 0)
      : available(limit), reserved(reserved) {}

  /**
   * @param held Bytes that the holder has taken before.
   * @return False if too few bytes are left; nothing is taken then.
   */
  bool TryTake(std::size_t bytes, std::size_t held) {
    const std::size_t kept = held + bytes > kSmallHolder ? this->reserved : 0;
    if (bytes + kept > this->available)
      return false;
    this->available -= bytes;
    return true;
  }

  void Release(std::size_t bytes) { this->available += bytes; }

  std::size_t Available() const { return this->available; }

 private:
  std::size_t available;
  std::size_t reserved;
};

/** What one holder has taken from a budget; returned at the end. */
class ByteShare {
 public:
  explicit ByteShare(
      ByteBudget& budget,
      std::size_t limit = std::numeric_limits<std::size_t>::max())
      : budget(budget), limit(limit) {}
  ~ByteShare() { this->ReleaseAll(); }
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;

  /** @return False if the holder or the budget has reached its limit. */
  bool TryTake(std::size_t bytes) {
    if (bytes > this->limit - this->taken ||
        !this->budget.TryTake(bytes, this->taken))
      return false;
    this->taken += bytes;
    return true;
  }

  std::size_t Taken() const { return this->taken; }

  void ReleaseAll() { this->budget.Release(std::exchange(this->taken, 0)); }

 private:
  ByteBudget& budget;
  std::size_t limit;
  std::size_t taken = 0;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_BYTE_BUDGET_H_
