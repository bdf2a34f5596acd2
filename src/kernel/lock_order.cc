/** @file lock_order.cc Check of the locking order in debug builds. */

#include "kernel/lock_order.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace buckthornpath {

namespace {

#ifdef NDEBUG
constexpr bool kIsOrderChecked = false;
#else
constexpr bool kIsOrderChecked = true;
#endif

thread_local std::vector<LockRank> held_ranks;

/** Aborts if the thread holds a lock of the same or a higher rank. */
void CheckLockOrder(LockRank rank) {
  const bool in_order = std::all_of(held_ranks.begin(), held_ranks.end(),
                                    [&](LockRank held) { return held < rank; });
  if (in_order)
    return;
  std::fprintf(stderr, "lock order violated: rank %d is not above all held\n",
               static_cast<int>(rank));
  std::abort();
}

}  // namespace

void OrderedMutex::lock() {
  if (kIsOrderChecked)
    CheckLockOrder(this->rank);
  this->mutex.lock();
  if (kIsOrderChecked)
    held_ranks.push_back(this->rank);
}

void OrderedMutex::unlock() {
  if (kIsOrderChecked) {
    auto held = std::find(held_ranks.rbegin(), held_ranks.rend(), this->rank);
    if (held != held_ranks.rend())
      held_ranks.erase(std::next(held).base());
  }
  this->mutex.unlock();
}

}  // namespace buckthornpath
