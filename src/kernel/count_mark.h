/** @file count_mark.h A count of the objects that live. */

#ifndef SRC_KERNEL_COUNT_MARK_H_
#define SRC_KERNEL_COUNT_MARK_H_

namespace buckthornpath {

/** Counts itself while it lives. @tparam Count A number, plain or atomic. */
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
