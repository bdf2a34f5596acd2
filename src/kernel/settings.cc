/** @file settings.cc Settings of one daemon. */

#include "kernel/settings.h"

#include <fstream>
#include <sstream>

#include "table/settings_table.h"

namespace buckthornpath {

std::span<const FieldRow<Settings>> SettingRows() {
  return kSettingRows;
}

Settings ParseSettings(const std::string& text) {
  std::vector<DocumentFault> faults;
  const nlohmann::json object = ParseJsonWithComments(text);
  Settings settings = ReadDocument(object, SettingRows(), "", faults);
  if (!faults.empty())
    throw DocumentRefused(std::move(faults));
  return settings;
}

Settings LoadSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    throw DocumentRefused(path, "cannot be read");
  return ParseSettings(text.str());
}

}  // namespace buckthornpath
