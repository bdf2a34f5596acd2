/** @file control_traffic.h Counts the bytes that a process spends on control.
 */

#ifndef SRC_KERNEL_CONTROL_TRAFFIC_H_
#define SRC_KERNEL_CONTROL_TRAFFIC_H_

#include <cstddef>

namespace buckthornpath {

/** What control bytes are spent on. */
enum class ControlKind {
  kLoad,      ///< Loads that processes report to each other.
  kGossip,    ///< News of configuration and members.
  kPlatform,  ///< Reads of the configuration service and the VM list.
};

enum class ControlDirection { kSent, kReceived };

/** Adds bytes to control_bytes_total{direction,kind}. */
void CountControlBytes(ControlKind kind,
                       ControlDirection direction,
                       std::size_t bytes);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_CONTROL_TRAFFIC_H_
