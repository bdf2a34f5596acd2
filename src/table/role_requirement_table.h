/** @file role_requirement_table.h Settings that roles require. */

#ifndef SRC_TABLE_ROLE_REQUIREMENT_TABLE_H_
#define SRC_TABLE_ROLE_REQUIREMENT_TABLE_H_

#include <string_view>

#include "kernel/settings.h"

namespace buckthornpath {

/** A setting that is an address or that a role requires. */
struct RoleRequirement {
  const char* name;
  std::string Settings::*member;
  std::string_view role;  ///< Role that requires it; empty if none does.
  bool is_address;        ///< Must be an IP address and a port.
};

inline constexpr RoleRequirement kRoleRequirements[] = {
    {"operator_address", &Settings::operator_address, "", true},
    {"configuration_address", &Settings::configuration_address, "", true},
    {"vm_list_address", &Settings::vm_list_address, "router", true},
    {"vm_list_address", &Settings::vm_list_address, "endpoint", true},
    {"caller_address", &Settings::caller_address, "router", true},
    {"caller_address", &Settings::caller_address, "gateway", true},
    {"ready_address", &Settings::ready_address, "gateway", true},
    {"gossip_address", &Settings::gossip_address, "gateway", true},
    {"ticket_secret", &Settings::ticket_secret, "router", false},
    {"ticket_secret", &Settings::ticket_secret, "endpoint", false},
    {"dialogue_address", &Settings::dialogue_address, "endpoint", true},
    {"engine_address", &Settings::engine_address, "endpoint", true},
    {"service", &Settings::service, "endpoint", false},
};

}  // namespace buckthornpath

#endif  // SRC_TABLE_ROLE_REQUIREMENT_TABLE_H_
