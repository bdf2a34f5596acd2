/** @file boot_clock.h A clock that also counts the time a VM is suspended. */

#ifndef SRC_KERNEL_BOOT_CLOCK_H_
#define SRC_KERNEL_BOOT_CLOCK_H_

#include <ctime>

#include <chrono>

namespace buckthornpath {

/** Monotonic clock over CLOCK_BOOTTIME; keeps counting through suspension. */
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() {
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) +
                      std::chrono::nanoseconds(spec.tv_nsec));
  }
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_BOOT_CLOCK_H_
