/** @file control_traffic.h Byte counts of control-plane traffic. */

#ifndef SRC_KERNEL_CONTROL_TRAFFIC_H_
#define SRC_KERNEL_CONTROL_TRAFFIC_H_

#include <cstddef>

namespace buckthornpath {

/** Purpose of control-plane traffic. */
enum class ControlTrafficKind {
  kLoad,      ///< Load reports between processes.
  kGossip,    ///< Configuration and membership updates.
  kPlatform,  ///< Reads of the configuration service and the VM list.
};

enum class ControlDirection { kSent, kReceived };

/** Adds bytes to the metric control_bytes_total{direction,kind}. */
void CountControlTraffic(ControlTrafficKind kind,
                         ControlDirection direction,
                         std::size_t bytes);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_CONTROL_TRAFFIC_H_
