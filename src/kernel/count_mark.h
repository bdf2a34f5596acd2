/** @file count_mark.h Scoped counter of live objects. */

#ifndef SRC_KERNEL_COUNT_MARK_H_
#define SRC_KERNEL_COUNT_MARK_H_

namespace buckthornpath {

/**
 * Adds one to a counter for the lifetime of this object.
 * @tparam Count An integer, plain or atomic.
 */
template <class Count>
class CountMark {
 public:
  explicit CountMark(Count& count) : count(count) { ++this->count; }
  ~CountMark() { --this->count; }
  CountMark(const CountMark&) = delete;
  CountMark& operator=(const CountMark&) = delete;

 private:
  Count& count;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_COUNT_MARK_H_
