/** @file reference_page.cc Writes reference pages from the tables of fields. */

#include "cli/reference_page.h"

#include <boost/algorithm/string/replace.hpp>

namespace buckthornpath {

namespace {

std::string DefaultText(const FieldRule& rule) {
  const nlohmann::json value = DefaultValue(rule.default_value);
  return value.is_null() ? "required" : "`" + value.dump() + "`";
}

std::string AllowedText(const FieldRule& rule) {
  if (!rule.choices.empty())
    return boost::replace_all_copy(rule.choices, "|", ", ");
  if (rule.type == "flag")
    return "true, false";
  return std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum) +
         (rule.type == "text" ? " characters" : "");
}

}  // namespace

void WriteFieldTable(std::ostream& out,
                     const std::string& title,
                     const std::vector<FieldRule>& rules) {
  out << "## " << title
      << "\n\n| name | type | unit | default | allowed | what it is |\n"
         "| --- | --- | --- | --- | --- | --- |\n";
  for (const FieldRule& rule : rules) {
    out << "| `" << rule.name << "` | " << rule.type << " | " << rule.unit
        << " | " << DefaultText(rule) << " | " << AllowedText(rule) << " | "
        << rule.help << " |\n";
  }
  out << "\n";
}

}  // namespace buckthornpath
