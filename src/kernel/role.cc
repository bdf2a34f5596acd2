/** @file role.cc Registry of roles. */

#include "kernel/role.h"

namespace buckthornpath {

namespace {

std::vector<const RoleFactory*>& Registry() {
  static std::vector<const RoleFactory*> registry;
  return registry;
}

}  // namespace

RoleFactory::RoleFactory(std::string name, std::string description, Maker maker)
    : name(std::move(name)),
      description(std::move(description)),
      maker(std::move(maker)) {
  Registry().push_back(this);
}

const RoleFactory* RoleFactory::Find(const std::string& name) {
  for (const RoleFactory* factory : Registry()) {
    if (factory->Name() == name)
      return factory;
  }
  return nullptr;
}

const std::vector<const RoleFactory*>& RoleFactory::All() {
  return Registry();
}

}  // namespace buckthornpath
