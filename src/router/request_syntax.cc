/** @file request_syntax.cc Checks the syntax of callers' requests. */

#include "router/request_syntax.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <cctype>
#include <string_view>

namespace buckthornpath {

namespace {

/** Headers that a request may contain only once. */
constexpr std::array<std::string_view, 6> kSingleHeaders = {
    "Authorization",   "X-Profile",     "X-Chat",
    "Idempotency-Key", "Last-Event-ID", "X-Location"};

constexpr std::array<std::string_view, 5> kServiceMethods = {
    "GET", "POST", "PUT", "PATCH", "DELETE"};
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::array<std::string_view, 2> kPostPaths = {"/v1/chat/completions",
                                                        "/v1/tickets"};

bool IsHexDigit(char digit) {
  return std::isxdigit(static_cast<unsigned char>(digit)) != 0;
}

bool IsPrintable(char letter) {
  return std::isgraph(static_cast<unsigned char>(letter)) != 0;
}

/** @return True if each '%' begins a valid code of a non-control character. */
bool IsValidPercentEncoding(std::string_view text) {
  for (auto mark = text.find('%'); mark != std::string_view::npos;
       mark = text.find('%', mark + 1)) {
    const std::string_view code = text.substr(mark + 1, 2);
    if (code.size() < 2 || !IsHexDigit(code[0]) || !IsHexDigit(code[1]))
      return false;
    const bool is_control =
        code[0] == '0' || code[0] == '1' || boost::iequals(code, "7f");
    if (is_control)
      return false;
  }
  return true;
}

}  // namespace

std::string FindSyntaxError(const HttpRequest& http) {
  const std::string& target = http.target;
  if (!std::all_of(target.begin(), target.end(), IsPrintable))
    return "the target must be printable ASCII";
  if (!IsValidPercentEncoding(target))
    return "the target's percent-encoding is not sound";
  for (const std::string_view name : kSingleHeaders) {
    const auto& fields = http.headers.Fields();
    const auto count = std::count_if(
        fields.begin(), fields.end(),
        [&](const auto& field) { return boost::iequals(field.first, name); });
    if (count > 1)
      return "the header " + std::string(name) + " is given twice";
  }
  return "";
}

bool IsMethodAllowed(const HttpRequest& http) {
  const std::string_view path = http.Path();
  if (std::find(kPostPaths.begin(), kPostPaths.end(), path) !=
      kPostPaths.end()) {
    return http.method == "POST";
  }
  if (path.substr(0, kServicesPrefix.size()) != kServicesPrefix)
    return true;
  return std::find(kServiceMethods.begin(), kServiceMethods.end(),
                   http.method) != kServiceMethods.end();
}

}  // namespace buckthornpath
