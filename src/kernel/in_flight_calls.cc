/** @file in_flight_calls.cc The calls that a process has in flight, by name. */

#include "kernel/in_flight_calls.h"

#include <utility>

namespace buckthornpath {

InFlightCalls::ScopedCall::ScopedCall(InFlightCalls& calls, std::string name)
    : calls(calls) {
  const OrderedLock lock(calls.mutex);
  this->number = calls.next_number++;
  calls.names.emplace(this->number, std::move(name));
}

InFlightCalls::ScopedCall::~ScopedCall() {
  const OrderedLock lock(this->calls.mutex);
  this->calls.names.erase(this->number);
}

void InFlightCalls::ScopedCall::SetName(std::string name) {
  const OrderedLock lock(this->calls.mutex);
  this->calls.names[this->number] = std::move(name);
}

std::size_t InFlightCalls::Size() const {
  const OrderedLock lock(this->mutex);
  return this->names.size();
}

std::vector<std::string> InFlightCalls::Names() const {
  const OrderedLock lock(this->mutex);
  std::vector<std::string> result;
  result.reserve(this->names.size());
  for (const auto& [number, name] : this->names)
    result.push_back(name);
  return result;
}

}  // namespace buckthornpath
