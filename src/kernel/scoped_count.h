/** @file scoped_count.h Scoped counter of live objects. */

#ifndef SRC_KERNEL_SCOPED_COUNT_H_
#define SRC_KERNEL_SCOPED_COUNT_H_

namespace buckthornpath {

/**
 * Adds one to a counter for the lifetime of this object.
 * @tparam Count An integer, plain or atomic.
 */
template <class Count>
class ScopedCount {
 public:
  explicit ScopedCount(Count& count) : count(count) { ++this->count; }
  ~ScopedCount() { --this->count; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  Count& count;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_SCOPED_COUNT_H_
