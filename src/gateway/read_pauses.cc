/** @file read_pauses.cc Pauses between reads that fail in a row. */

#include "gateway/read_pauses.h"

#include <algorithm>

namespace buckthornpath {

using std::chrono::milliseconds;

milliseconds ReadPauses::Next() {
  milliseconds longest = kFirst;
  for (int i = 1; i < this->faults && longest < kMax; ++i)
    longest = std::min(2 * longest, kMax);
  ++this->faults;
  std::uniform_int_distribution<milliseconds::rep> jitter(longest.count() / 2,
                                                          longest.count());
  return milliseconds(jitter(this->random));
}

milliseconds ReadPauses::AfterFault(milliseconds read_time) {
  if (this->faults == 0) {
    this->faults = 1;
    return milliseconds(0);
  }
  return std::max(this->Next() - read_time, milliseconds(0));
}

milliseconds ReadPauses::AfterOutage() {
  this->faults = std::max(this->faults, 1);
  return this->Next();
}

}  // namespace buckthornpath
