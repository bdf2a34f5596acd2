/** @file settings.cc Settings of one daemon. */

#include "kernel/settings.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

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

/** Suffixes of times, in milliseconds. */
const std::map<std::string_view, double> kTimeUnits = {{"", 1.0},
                                                       {"ms", 1.0},
                                                       {"s", 1000.0}};

/** Suffixes of percentages; "1.5x" is 150 %. */
const std::map<std::string_view, double> kPercentUnits = {{"", 1.0},
                                                          {"x", 100.0}};

/** Suffixes of other numbers: none. */
const std::map<std::string_view, double> kNoUnits = {{"", 1.0}};

const std::map<std::string_view, double>& UnitsOf(const FieldRule& rule) {
  if (rule.type == "time")
    return kTimeUnits;
  return rule.unit == "%" ? kPercentUnits : kNoUnits;
}

/** Largest number that a setting can hold exactly as a double. */
constexpr double kMaxExactNumber = 9007199254740992.0;

/** A number with an optional suffix, as in "8.5s". */
struct NumberText {
  std::optional<double> number;  ///< Empty for a blank text or a mere suffix.
  std::string_view suffix;
};

NumberText SplitNumber(std::string_view text) {
  NumberText split;
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error == std::errc()) {
    split.number = number;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  }
  split.suffix = text;
  return split;
}

/**
 * Converts a number, or a text that holds one, to an integer. Fractions are
 * rounded down, so that no limit exceeds what was configured.
 * @return The integer; null if the value states none; the value itself if it
 * cannot be converted.
 */
nlohmann::json ToInteger(const nlohmann::json& value, const FieldRule& rule) {
  NumberText split;
  if (value.is_number_float()) {
    split.number = value.get<double>();
  } else if (value.is_string()) {
    split = SplitNumber(value.get_ref<const std::string&>());
  } else {
    return value;
  }
  const auto unit = UnitsOf(rule).find(split.suffix);
  if (unit == UnitsOf(rule).end())
    return value;
  if (!split.number)
    return nullptr;
  const double scaled = std::floor(*split.number * unit->second);
  if (!(std::abs(scaled) <= kMaxExactNumber))
    return value;
  return static_cast<std::int64_t>(scaled);
}

/**
 * Replaces numbers and times that a platform's template has rendered as
 * fractions or texts by integers, and removes those that are null or blank so
 * that the default applies.
 */
void NormaliseNumbers(nlohmann::json& object,
                      std::vector<DocumentFault>& faults) {
  if (!object.is_object())
    return;
  for (const FieldRow<Settings>& row : kSettingRows) {
    const FieldRule rule = RuleOf(row);
    const auto found = object.find(rule.name);
    const bool is_time = rule.type == "time";
    if (found == object.end() || (rule.type != "number" && !is_time))
      continue;
    const nlohmann::json number = ToInteger(*found, rule);
    if (number.is_null()) {
      object.erase(found);
    } else if (number.is_number_integer()) {
      *found = number;
    } else {
      faults.push_back(
          {"/" + rule.name,
           "is " + found->dump() + ", must be a number" +
               (is_time ? " of ms or a text such as \"8.5s\"" : "")});
      object.erase(found);
    }
  }
}

}  // namespace

std::span<const FieldRow<Settings>> SettingRows() {
  return kSettingRows;
}

Settings ParseSettings(const std::string& text) {
  std::vector<DocumentFault> faults;
  nlohmann::json object = ParseJsonWithComments(text);
  NormaliseNumbers(object, faults);
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
