/** @file response_check.cc Rules for HTTP responses that the library's parser
 * leaves to its user. */

#include "kernel/response_check.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

// RFC 9110, section 15.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

/** The first version of HTTP that has transfer codings. */
constexpr unsigned kVersion11 = 11;

std::string_view TrimSpaces(std::string_view text) {
  constexpr std::string_view kSpaces = " \t";
  const std::size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

/** @return True if the list of transfer codings is "chunked"; empty elements
 * are allowed (RFC 9110, section 5.6.1). */
bool IsOnlyChunked(const ResponseHead& head) {
  bool is_chunked = false;
  const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
  for (auto line = begin; line != end; ++line) {
    std::string_view list(line->value().data(), line->value().size());
    while (!list.empty()) {
      const std::size_t comma = std::min(list.find(','), list.size());
      const std::string_view coding = TrimSpaces(list.substr(0, comma));
      list.remove_prefix(std::min(comma + 1, list.size()));
      if (coding.empty())
        continue;
      if (is_chunked || !beast::iequals(coding, "chunked"))
        return false;
      is_chunked = true;
    }
  }
  return is_chunked;
}

bool HasBody(unsigned status) {
  return status >= 200 && status != kNoContent && status != kNotModified;
}

}  // namespace

boost::system::error_code CheckResponseHead(const ResponseHead& head,
                                            bool is_to_head_request) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus ||
      status == kSwitchingProtocols)
    return http::error::bad_status;
  const bool is_coded = head.count(http::field::transfer_encoding) > 0 &&
                        HasBody(status) && !is_to_head_request;
  if (is_coded && (head.version() < kVersion11 || !IsOnlyChunked(head)))
    return http::error::bad_transfer_encoding;
  return {};
}

std::size_t HeadScanner::FindEnd(std::string_view received) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::size_t end = received.find(kEnd, this->searched);
  if (end != std::string_view::npos)
    return end + kEnd.size();
  // The end may have arrived in part.
  this->searched = received.size() - std::min(received.size(), kEnd.size() - 1);
  return 0;
}

bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

bool IsInterimResponse(const ResponseHead& head) {
  return head.result_int() / 100 == 1;
}

}  // namespace buckthornpath
