/** @file reported_items.h Items that have been logged as unusable. */

#ifndef SRC_KERNEL_REPORTED_ITEMS_H_
#define SRC_KERNEL_REPORTED_ITEMS_H_

#include <cstddef>
#include <set>
#include <string>

namespace buckthornpath {

/** Keys of items that have been logged as unusable. Each is logged once, as its
 * writer may renew it every second. */
class ReportedItems {
 public:
  /** @return True if the item is to be logged: it has not been since it was
   * last usable, and the limit is not reached. */
  bool Add(const std::string& key) {
    return this->keys.size() < kMaxKeys && this->keys.insert(key).second;
  }

  /** Records that an item is usable or removed. */
  void Remove(const std::string& key) { this->keys.erase(key); }

 private:
  static constexpr std::size_t kMaxKeys = 1024;

  std::set<std::string> keys;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_REPORTED_ITEMS_H_
