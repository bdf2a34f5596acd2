/** @file settings_table.h Every setting of the daemon, one row each. */

#ifndef SRC_TABLE_SETTINGS_TABLE_H_
#define SRC_TABLE_SETTINGS_TABLE_H_

#include "kernel/settings.h"

namespace buckthornpath {

// clang-format off
inline constexpr FieldRow<Settings> kSettingRows[] = {
    // name, member, unit, default, minimum, maximum, choices, help
    {"vm", &Settings::vm, "", Required{}, 1, 64, "",
     "Name of the VM that the process runs on."},
    {"failure_domain", &Settings::failure_domain, "", Required{}, 1, 64, "",
     "Failure domain of the VM."},
    {"region", &Settings::region, "", "", 0, 64, "",
     "Region of the VM."},
    {"operator_address", &Settings::operator_address, "", Required{}, 3, 64, "",
     "IP number and port for operators: status, metrics, drain."},
    {"configuration_address", &Settings::configuration_address, "", Required{}, 3, 64, "",
     "IP number and port of the configuration service."},
    {"vm_list_address", &Settings::vm_list_address, "", Required{}, 3, 64, "",
     "IP number and port of the VM list."},
    {"caller_address", &Settings::caller_address, "", "", 0, 64, "",
     "Router: IP number and port for callers."},
    {"dialogue_address", &Settings::dialogue_address, "", "", 0, 64, "",
     "Endpoint: IP number and port for routers."},
    {"engine_address", &Settings::engine_address, "", "", 0, 64, "",
     "Endpoint: IP number and port of the model engine or plain service."},
    {"service", &Settings::service, "", "", 0, 64, "",
     "Endpoint: name of the service that the endpoint belongs to."},
    {"gossip_address", &Settings::gossip_address, "", "", 0, 64, "",
     "IP number and port for other processes of the fleet; no gossip if empty."},
    {"gossip_seeds", &Settings::gossip_seeds, "", "", 0, 1024, "",
     "Gossip addresses, separated by commas, asked besides those of the VM list."},
    {"ticket_secret", &Settings::ticket_secret, "", Required{}, 16, 256, "",
     "Key that authenticates tickets; the same on every process."},
    {"placement_policy", &Settings::placement_policy, "", "hint", 1, 32, "hint|bounded_hash|hash|least_load|random",
     "Router: way of choosing the endpoint for a chat."},
    {"log_level", &Settings::log_level, "", "info", 1, 16, "debug|info|warning|error",
     "Lowest level that is logged."},
    {"worker_count", &Settings::worker_count, "", 2, 1, 64, "",
     "Threads of the worker pool."},
    {"max_body_bytes", &Settings::max_body_bytes, "bytes", 4194304, 1024, 67108864, "",
     "Largest body of a caller's request."},
    {"max_running", &Settings::max_running, "", 64, 1, 65536, "",
     "Endpoint: most calls running at once."},
    {"max_queued", &Settings::max_queued, "", 1024, 0, 65536, "",
     "Endpoint: most calls waiting at once."},
    {"outcome_entries", &Settings::outcome_entries, "", 200000, 16, 4000000, "",
     "Endpoint: most calls remembered."},
    {"outcome_bytes", &Settings::outcome_bytes, "bytes", 134217728, 65536, 1073741824, "",
     "Endpoint: most bytes of answers remembered."},
    {"max_attempts", &Settings::max_attempts, "", 3, 1, 16, "",
     "Router: most endpoints tried for one call."},
    {"chat_memory_entries", &Settings::chat_memory_entries, "", 20000, 0, 10000000, "",
     "Router: most chats whose last endpoint is remembered."},
    {"vm_list_interval", &Settings::vm_list_interval, "ms", 1000, 50, 60000, "",
     "Time between two readings of the VM list."},
    {"configuration_wait", &Settings::configuration_wait, "ms", 10000, 100, 300000, "",
     "Longest time that one watch of the configuration waits."},
    {"gossip_interval", &Settings::gossip_interval, "ms", 1000, 20, 60000, "",
     "Time between two exchanges of gossip."},
    {"connect_timeout", &Settings::connect_timeout, "ms", 500, 10, 60000, "",
     "Longest time that a connection attempt takes."},
    {"heartbeat_interval", &Settings::heartbeat_interval, "ms", 400, 20, 60000, "",
     "Endpoint: time between heartbeats on a dialogue that waits."},
    {"silence_timeout", &Settings::silence_timeout, "ms", 1200, 50, 60000, "",
     "Router: silence after which a dialogue's connection is given up."},
    {"recovery_timeout", &Settings::recovery_timeout, "ms", 5000, 100, 300000, "",
     "Router: longest time spent on reaching a silent endpoint again."},
    {"ticket_lifetime", &Settings::ticket_lifetime, "ms", 60000, 1000, 3600000, "",
     "Time within which a ticket's call may start."},
    {"answer_retention", &Settings::answer_retention, "ms", 300000, 1000, 86400000, "",
     "Endpoint: time that an outcome is remembered after its ticket's end."},
    {"load_report_age", &Settings::load_report_age, "ms", 2000, 10, 600000, "",
     "Router: age above which an endpoint's load report counts no longer."},
    {"drain_timeout", &Settings::drain_timeout, "ms", 600000, 100, 86400000, "",
     "Longest wait for running calls when the process drains."},
};
// clang-format on

}  // namespace buckthornpath

#endif  // SRC_TABLE_SETTINGS_TABLE_H_
