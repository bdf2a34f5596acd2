/** @file url_text.cc Text in the targets of HTTP requests (RFC 3986). */

#include "kernel/url_text.h"

#include <algorithm>
#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/src.hpp>

namespace buckthornpath {

namespace {

namespace urls = boost::urls;

constexpr auto kPathChars = urls::unreserved_chars + '/';

}  // namespace

std::string MakeTarget(std::string_view path,
                       std::initializer_list<QueryField> query) {
  std::string target(path);
  char separator = '?';
  for (const auto& [name, value] : query) {
    target += separator;
    target += urls::encode(name, urls::unreserved_chars);
    target += '=';
    target += urls::encode(value, urls::unreserved_chars);
    separator = '&';
  }
  return target;
}

std::string EncodePath(std::string_view text) {
  return urls::encode(text, kPathChars);
}

std::optional<std::string> DecodeUrlText(std::string_view text) {
  const auto encoded = urls::make_pct_string_view(text);
  if (!encoded)
    return std::nullopt;
  return encoded->decode();
}

bool IsPlainName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return urls::unreserved_chars(c);
  });
}

}  // namespace buckthornpath
