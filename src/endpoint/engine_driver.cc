/** @file engine_driver.cc Registry of engine drivers. */

#include "endpoint/engine_driver.h"

#include <map>

namespace buckthornpath {

namespace {

std::map<std::string, const EngineDriver*>& Registry() {
  static std::map<std::string, const EngineDriver*> registry;
  return registry;
}

}  // namespace

EngineDriver::EngineDriver(std::string name, std::string description)
    : name(std::move(name)), description(std::move(description)) {
  Registry()[this->name] = this;
}

const EngineDriver* EngineDriver::Find(const std::string& name) {
  const auto found = Registry().find(name);
  return found == Registry().end() ? nullptr : found->second;
}

}  // namespace buckthornpath
