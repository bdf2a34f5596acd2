/** @file http_type.cc HTTP requests and responses, independent of the library.
 */

#include "kernel/http_type.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cctype>

#include "kernel/url_text.h"

namespace buckthornpath {

void HttpHeaders::Append(std::string name, std::string value) {
  this->fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> HttpHeaders::Find(std::string_view name) const {
  for (const auto& [field, value] : this->fields) {
    if (boost::algorithm::iequals(field, name))
      return value;
  }
  return std::nullopt;
}

bool IsFieldValue(std::string_view text) {
  const bool has_control =
      std::any_of(text.begin(), text.end(),
                  [](unsigned char c) { return std::iscntrl(c) != 0; });
  return !has_control && !text.starts_with(' ') && !text.ends_with(' ');
}

std::string_view HttpRequest::Path() const {
  return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::optional<std::string> HttpRequest::QueryParameter(
    std::string_view name) const {
  const auto question_mark = this->target.find('?');
  if (question_mark == std::string::npos)
    return std::nullopt;
  std::string_view rest =
      std::string_view(this->target).substr(question_mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) != name)
      continue;
    if (equals == std::string_view::npos)
      return std::string();
    return DecodeUrlText(pair.substr(equals + 1));
  }
  return std::nullopt;
}

}  // namespace buckthornpath
