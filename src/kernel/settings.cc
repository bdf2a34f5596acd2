/** @file settings.cc Settings of one daemon. */

#include "kernel/settings.h"

#include <fstream>
#include <set>
#include <sstream>

#include "kernel/socket_address.h"
#include "table/role_requirement_table.h"
#include "table/settings_table.h"

namespace buckthornpath {

namespace {

/** Appends an error for each non-empty address that cannot be parsed. */
void CheckAddresses(const Settings& settings,
                    std::vector<DocumentFault>& faults) {
  std::set<std::string> checked;  // A setting has a row per role.
  for (const RoleRequirement& row : kRoleRequirements) {
    const std::string& text = settings.*row.member;
    if (!row.is_address || text.empty() || !checked.insert(row.name).second)
      continue;
    try {
      ParseSocketAddress(text);
    } catch (const std::invalid_argument& error) {
      faults.push_back({std::string("/") + row.name, error.what()});
    }
  }
}

/** Shorter keys could be found by brute force. */
constexpr std::size_t kMinSecretLength = 16;

void CheckSecret(const Settings& settings, std::vector<DocumentFault>& faults) {
  const std::string& secret = settings.ticket_secret;
  if (!secret.empty() && secret.size() < kMinSecretLength) {
    faults.push_back({"/ticket_secret", "must have at least " +
                                            std::to_string(kMinSecretLength) +
                                            " characters"});
  }
}

void CheckTimeouts(const Settings& settings,
                   std::vector<DocumentFault>& faults) {
  if (settings.silence_timeout.count() > 0 &&
      settings.silence_timeout <= settings.heartbeat_interval) {
    faults.push_back(
        {"/silence_timeout", "must be longer than heartbeat_interval"});
  }
}

}  // namespace

std::span<const FieldRow<Settings>> SettingRows() {
  return kSettingRows;
}

Settings ParseSettings(const std::string& text) {
  std::vector<DocumentFault> faults;
  const nlohmann::json object = ParseJsonWithComments(text);
  Settings settings = ReadDocument(object, SettingRows(), "", faults);
  CheckAddresses(settings, faults);
  CheckTimeouts(settings, faults);
  CheckSecret(settings, faults);
  if (!faults.empty())
    throw InvalidDocument(std::move(faults));
  return settings;
}

Settings LoadSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    throw InvalidDocument(path, "cannot be read");
  return ParseSettings(text.str());
}

std::vector<std::string> ChangedSettings(const Settings& left,
                                         const Settings& right) {
  std::vector<std::string> changed;
  for (const FieldRow<Settings>& row : kSettingRows) {
    const bool differs = std::visit(
        [&](auto member) { return left.*member != right.*member; }, row.member);
    if (differs)
      changed.emplace_back(row.name);
  }
  return changed;
}

std::vector<DocumentFault> MissingSettings(const Settings& settings,
                                           const std::string& role) {
  std::vector<DocumentFault> faults;
  for (const RoleRequirement& row : kRoleRequirements) {
    if (row.role == role && (settings.*row.member).empty()) {
      faults.push_back({std::string("/") + row.name,
                        "is required by the role '" + role + "'"});
    }
  }
  return faults;
}

}  // namespace buckthornpath
