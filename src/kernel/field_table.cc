/** @file field_table.cc Schema of JSON documents as a table of fields. */

#include "kernel/field_table.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace buckthornpath {

namespace {

std::string FormatFaults(const std::vector<DocumentFault>& faults) {
  std::ostringstream text;
  for (const DocumentFault& fault : faults) {
    text << (text.tellp() > 0 ? "; " : "") << fault.path << ": "
         << fault.reason;
  }
  return text.str();
}

bool IsOneOf(const std::string& value, const std::string& choices) {
  std::istringstream list(choices);
  for (std::string choice; std::getline(list, choice, '|');) {
    if (choice == value)
      return true;
  }
  return false;
}

bool HasType(const nlohmann::json& value, const std::string& type) {
  if (type == "text")
    return value.is_string();
  if (type == "flag")
    return value.is_boolean();
  return value.is_number_integer();
}

std::string RangeText(const FieldRule& rule) {
  std::ostringstream text;
  text << "must be from " << rule.minimum << " to " << rule.maximum;
  if (rule.type == "text")
    text << " characters";
  if (!rule.unit.empty())
    text << " " << rule.unit;
  return text.str();
}

bool IsInRange(const nlohmann::json& value, const FieldRule& rule) {
  if (value.is_boolean())
    return true;
  if (value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX)) {
    return false;
  }
  const std::int64_t size =
      value.is_string() ? static_cast<std::int64_t>(
                              value.get_ref<const std::string&>().size())
                        : value.get<std::int64_t>();
  return size >= rule.minimum && size <= rule.maximum;
}

/** Parser callback that reports duplicate member names of an object, which the
 * parser then leaves out. */
class DuplicateNameFinder {
 public:
  bool operator()(int /*depth*/,
                  nlohmann::json::parse_event_t event,
                  nlohmann::json& parsed) {
    using Event = nlohmann::json::parse_event_t;
    if (event == Event::object_start)
      this->open_objects.emplace_back();
    if (event == Event::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!this->open_objects.back().names.insert(name).second) {
        this->open_objects.back().has_duplicate = true;
        this->faults.push_back(
            {"/" + name, "occurs more than once in one object"});
      }
    }
    if (event != Event::object_end)
      return true;
    const bool has_duplicate = this->open_objects.back().has_duplicate;
    this->open_objects.pop_back();
    return !has_duplicate;
  }

  std::vector<DocumentFault> faults;

 private:
  struct OpenObject {
    std::set<std::string> names;
    bool has_duplicate = false;
  };

  std::vector<OpenObject> open_objects;
};

}  // namespace

InvalidDocument::InvalidDocument(std::vector<DocumentFault> faults)
    : std::runtime_error(FormatFaults(faults)), faults(std::move(faults)) {}

InvalidDocument::InvalidDocument(std::string path, std::string reason)
    : InvalidDocument(
          std::vector<DocumentFault>{{std::move(path), std::move(reason)}}) {}

bool ValidateField(const nlohmann::json& value,
                   const FieldRule& rule,
                   const std::string& path,
                   std::vector<DocumentFault>& faults) {
  if (!HasType(value, rule.type)) {
    faults.push_back({path, "must be of type " + rule.type});
    return false;
  }
  if (!IsInRange(value, rule)) {
    faults.push_back({path, RangeText(rule)});
    return false;
  }
  if (!rule.choices.empty() &&
      !IsOneOf(value.get<std::string>(), rule.choices)) {
    faults.push_back({path, "must be one of " + rule.choices});
    return false;
  }
  return true;
}

nlohmann::json ParseJsonWithComments(const std::string& text) {
  std::vector<DocumentFault> faults;
  nlohmann::json parsed = ParseJsonWithComments(text, faults);
  if (!faults.empty())
    throw InvalidDocument(std::move(faults));
  return parsed;
}

nlohmann::json ParseJsonWithComments(const std::string& text,
                                     std::vector<DocumentFault>& left_out) {
  DuplicateNameFinder finder;
  nlohmann::json parsed;
  try {
    parsed = nlohmann::json::parse(text, std::ref(finder), true, true);
  } catch (const nlohmann::json::parse_error& error) {
    throw InvalidDocument("", error.what());
  }
  left_out = std::move(finder.faults);
  return parsed;
}

std::string ReplaceInvalidUtf8(const std::string& text) {
  // The serializer of the library replaces; the parser rejects.
  using nlohmann::json;
  return json::parse(
             json(text).dump(-1, ' ', false, json::error_handler_t::replace))
      .get<std::string>();
}

void CheckUnknownFields(const nlohmann::json& object,
                        const std::vector<FieldRule>& rules,
                        const std::string& path,
                        std::vector<DocumentFault>& faults) {
  for (const auto& item : object.items()) {
    const std::string& name = item.key();
    const bool is_known =
        std::any_of(rules.begin(), rules.end(),
                    [&](const FieldRule& rule) { return rule.name == name; });
    if (is_known)
      continue;
    std::string field_path = path;
    field_path.append("/").append(name);
    faults.push_back({std::move(field_path), "is not a known field"});
  }
}

nlohmann::json DefaultValue(const FieldDefault& value) {
  return std::visit(
      [](auto alternative) -> nlohmann::json {
        if constexpr (std::is_same_v<decltype(alternative), Required>) {
          return nullptr;
        } else {
          return alternative;
        }
      },
      value);
}

}  // namespace buckthornpath
