/** @file byte_budget.h Limit on the bytes that all requests buffer together. */

#ifndef SRC_GATEWAY_BYTE_BUDGET_H_
#define SRC_GATEWAY_BYTE_BUDGET_H_

#include <cstddef>
#include <utility>

namespace buckthornpath {

/** Bytes that all requests of a process may buffer. Not thread-safe. */
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : available(limit) {}

  /** @return False if too few bytes are left; nothing is taken then. */
  bool TryTake(std::size_t bytes) {
    if (bytes > this->available)
      return false;
    this->available -= bytes;
    return true;
  }

  void Release(std::size_t bytes) { this->available += bytes; }

 private:
  std::size_t available;
};

/** What one request has taken from a budget; returned at the end. */
class ByteShare {
 public:
  ByteShare(ByteBudget& budget, std::size_t limit)
      : budget(budget), limit(limit) {}
  ~ByteShare() { this->ReleaseAll(); }
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;

  /** @return False if the request or the budget has reached its limit. */
  bool TryTake(std::size_t bytes) {
    if (this->taken + bytes > this->limit || !this->budget.TryTake(bytes))
      return false;
    this->taken += bytes;
    return true;
  }

  void ReleaseAll() { this->budget.Release(std::exchange(this->taken, 0)); }

 private:
  ByteBudget& budget;
  std::size_t limit;
  std::size_t taken = 0;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_BYTE_BUDGET_H_
