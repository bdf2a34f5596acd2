/** @file uptime.h Clock of membership, gossip and configuration. */

#ifndef SRC_FLEET_UPTIME_H_
#define SRC_FLEET_UPTIME_H_

#include <chrono>

#include "kernel/boot_clock.h"

namespace buckthornpath {

/** @return Time since the VM booted, including time spent suspended. */
inline std::chrono::milliseconds Uptime() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now().time_since_epoch());
}

}  // namespace buckthornpath

#endif  // SRC_FLEET_UPTIME_H_
