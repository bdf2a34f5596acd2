/** @file settings.h Settings of one daemon. */

#ifndef SRC_KERNEL_SETTINGS_H_
#define SRC_KERNEL_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "kernel/field_table.h"

namespace buckthornpath {

/** Values of all settings; table/settings_table.h describes each. */
struct Settings {
  std::string vm;
  std::string failure_domain;
  std::string region;
  std::string operator_address;
  std::string configuration_address;
  std::string vm_list_address;
  std::string caller_address;
  std::string ready_address;
  std::string dialogue_address;
  std::string engine_address;
  std::string service;
  std::string gossip_address;
  std::string gossip_seeds;
  std::string ticket_secret;
  std::string placement_policy;
  std::string start_order;
  std::string log_level;
  std::int64_t log_bytes_per_second = 0;
  std::int64_t worker_count = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t max_header_bytes = 0;
  std::int64_t max_connections = 0;
  std::int64_t memory_limit = 0;
  std::int64_t descriptor_limit = 0;
  std::int64_t max_running = 0;
  std::int64_t max_queued = 0;
  std::int64_t outcome_entries = 0;
  std::int64_t outcome_bytes = 0;
  std::int64_t max_attempts = 0;
  std::int64_t max_moves = 0;
  std::int64_t retry_budget_percent = 0;
  std::int64_t retry_slack = 0;
  std::string cold_senders;
  std::int64_t cold_overage = 0;
  std::int64_t cold_slack = 0;
  std::int64_t load_multiple = 0;
  std::int64_t short_prompt_load_multiple = 0;
  std::int64_t link_capacity = 0;
  std::int64_t chat_memory_entries = 0;
  std::chrono::milliseconds vm_list_interval{};
  std::chrono::milliseconds configuration_wait{};
  std::chrono::milliseconds gossip_interval{};
  std::chrono::milliseconds connect_timeout{};
  std::chrono::milliseconds read_timeout{};
  std::chrono::milliseconds heartbeat_interval{};
  std::chrono::milliseconds silence_timeout{};
  std::chrono::milliseconds recovery_timeout{};
  std::chrono::milliseconds ticket_lifetime{};
  std::chrono::milliseconds answer_retention{};
  std::chrono::milliseconds load_report_age{};
  std::chrono::milliseconds load_exchange_interval{};
  std::chrono::milliseconds load_max_age{};
  std::chrono::milliseconds order_interval{};
  std::chrono::milliseconds assignment_settle{};
  std::chrono::milliseconds order_lifetime{};
  std::chrono::milliseconds drain_timeout{};
  std::chrono::milliseconds endpoint_leave_time{};
};

std::span<const FieldRow<Settings>> SettingRows();

/**
 * Parses settings from JSON with comments and validates them. Addresses must be
 * IP addresses with ports.
 * @throws InvalidDocument With all errors, if there are any.
 */
Settings ParseSettings(const std::string& text);

/**
 * Reads a settings file.
 * @throws InvalidDocument With all errors, or if the file cannot be read.
 */
Settings LoadSettings(const std::string& path);

/** @return Names of the settings whose values differ. */
std::vector<std::string> ChangedSettings(const Settings& left,
                                         const Settings& right);

/** @return An error for each setting that a role requires and that is empty. */
std::vector<DocumentFault> MissingSettings(const Settings& settings,
                                           const std::string& role);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_SETTINGS_H_
