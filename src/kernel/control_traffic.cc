/** @file control_traffic.cc Byte counts of control-plane traffic. */

#include "kernel/control_traffic.h"

#include <array>

#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr std::array<const char*, 3> kKindNames = {"load", "gossip",
                                                   "platform"};
constexpr std::array<const char*, 2> kDirectionNames = {"sent", "received"};

}  // namespace

void CountControlTraffic(ControlTrafficKind kind,
                         ControlDirection direction,
                         std::size_t bytes) {
  std::string labels = "direction=\"";
  labels.append(kDirectionNames.at(static_cast<std::size_t>(direction)))
      .append("\",kind=\"")
      .append(kKindNames.at(static_cast<std::size_t>(kind)))
      .append("\"");
  ProcessMetrics().Add("control_bytes_total", labels, bytes);
}

}  // namespace buckthornpath
