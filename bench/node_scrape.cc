/** @file node_scrape.cc Reads metrics and load from the operator servers of a
 * fleet. */

#include "node_scrape.h"

#include <algorithm>
#include <sstream>

#include "harness/caller.h"
#include "kernel/http_type.h"

namespace buckthornpath {

namespace {

constexpr const char* kControlBytes = "buckthornpath_control_bytes_total";

std::string ReadMetrics(const SocketAddress& address) {
  HttpRequest request;
  request.target = "/metrics";
  try {
    return CallHttp(address, request).body;
  } catch (const HttpError&) {
    return "";
  }
}

}  // namespace

double SumMetric(const std::string& text, const std::string& name) {
  std::istringstream lines(text);
  double sum = 0.0;
  for (std::string line; std::getline(lines, line);) {
    const auto end = line.find_first_of("{ ");
    if (line.substr(0, end) != name)
      continue;
    sum += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sum;
}

ControlBytes ScrapeControlBytes(const LocalFleet& fleet,
                                std::size_t routers,
                                const Deployment& deployment) {
  ControlBytes bytes;
  const auto read = [&](const SocketAddress& address) {
    bytes[FormatSocketAddress(address)] =
        SumMetric(ReadMetrics(address), kControlBytes);
  };
  for (std::size_t i = 0; i < routers; ++i)
    read(fleet.RouterOperator(i));
  const std::size_t endpoints =
      deployment.model_replicas + deployment.plain_replicas;
  for (std::size_t i = 0; i < endpoints; ++i)
    read(fleet.EndpointOperator(i));
  return bytes;
}

double MaxIncrease(const ControlBytes& before, const ControlBytes& after) {
  double maximum = 0.0;
  for (const auto& [address, bytes] : after) {
    const auto found = before.find(address);
    if (found != before.end())
      maximum = std::max(maximum, bytes - found->second);
  }
  return maximum;
}

LoadSample ScrapeLoad(const LocalFleet& fleet, const Deployment& deployment) {
  LoadSample sample;
  double sum = 0.0;
  for (std::size_t i = 0; i < deployment.model_replicas; ++i) {
    const auto status = LocalFleet::StatusOf(fleet.EndpointOperator(i));
    if (!status.is_object())
      continue;
    const double running = status.value("running", 0.0);
    sum += running;
    sample.maximum = std::max(sample.maximum, running);
  }
  sample.mean = sum / static_cast<double>(deployment.model_replicas);
  return sample;
}

}  // namespace buckthornpath
