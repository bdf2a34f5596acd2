/** @file record.h What a case has sent, answered and run. */

#ifndef REVIEW_COMMON_RECORD_H_
#define REVIEW_COMMON_RECORD_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "net.h"

namespace review {

/** Writes lines with the milliseconds since the start of the case. */
class Record {
 public:
  explicit Record(const std::string& path)
      : file(path), started_at(Clock::now()) {}

  /** @return Milliseconds from the start of the case to a time. */
  std::int64_t At(TimePoint time) const {
    return std::chrono::duration_cast<milliseconds>(time - this->started_at)
        .count();
  }

  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    this->file << this->At(Clock::now()) << " " << text << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  TimePoint started_at;
};

}  // namespace review

#endif  // REVIEW_COMMON_RECORD_H_
