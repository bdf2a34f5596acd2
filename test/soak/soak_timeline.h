/** @file soak_timeline.h What a soak has done, with the time of the logs. */

#ifndef TEST_SOAK_SOAK_TIMELINE_H_
#define TEST_SOAK_SOAK_TIMELINE_H_

#include <chrono>
#include <string>

namespace buckthornpath {

/** Lines on the actions of a run, for its evidence. */
class SoakTimeline {
 public:
  void Add(const std::string& text) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    this->lines += std::to_string(now.count()) + " " + text + "\n";
  }
  const std::string& Lines() const { return this->lines; }

 private:
  std::string lines;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_SOAK_TIMELINE_H_
