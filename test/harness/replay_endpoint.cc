/** @file replay_endpoint.cc Endpoints of replays, known by their numbers. */

#include "harness/replay_endpoint.h"

#include <string>

namespace buckthornpath {

namespace {

constexpr std::size_t kDomains = 5;
const std::string kIdPrefix = "endpoint-";

}  // namespace

FailureDomainId ReplayDomain(std::size_t number) {
  return FailureDomainId(
      std::string(1, static_cast<char>('a' + number % kDomains)));
}

EndpointId ReplayEndpointId(std::size_t number) {
  return EndpointId(kIdPrefix + std::to_string(number));
}

std::size_t ReplayEndpointNumber(const EndpointId& id) {
  return std::stoul(id.str().substr(kIdPrefix.size()));
}

EndpointEntry ReplayEntry(const ServiceName& service,
                          std::size_t number,
                          std::size_t slots) {
  constexpr std::size_t kFirstPort = 1000;
  EndpointEntry entry;
  entry.id = ReplayEndpointId(number);
  entry.service = service;
  entry.address = "10.0.0.1:" + std::to_string(kFirstPort + number);
  entry.failure_domain = ReplayDomain(number);
  entry.slots = slots;
  return entry;
}

}  // namespace buckthornpath
