/** @file response_check.cc Rules for HTTP responses that the library's parser
 * leaves to its user. */

#include "kernel/response_check.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <vector>

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

// RFC 9110, section 15.
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;
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

/** @return The elements of a list that may stand in several fields, without
 * empty ones (RFC 9110, section 5.6.1). */
std::vector<std::string_view> ListElements(const http::fields& fields,
                                           http::field name) {
  std::vector<std::string_view> elements;
  const auto [begin, end] = fields.equal_range(name);
  for (auto line = begin; line != end; ++line) {
    std::string_view list(line->value().data(), line->value().size());
    while (!list.empty()) {
      const std::size_t comma = std::min(list.find(','), list.size());
      const std::string_view element = TrimSpaces(list.substr(0, comma));
      list.remove_prefix(std::min(comma + 1, list.size()));
      if (!element.empty())
        elements.push_back(element);
    }
  }
  return elements;
}

bool HasBody(const ResponseHead& head, bool is_to_head_request) {
  const unsigned status = head.result_int();
  return status >= kMinFinalStatus && status != kNoContent &&
         status != kNotModified && !is_to_head_request;
}

/** @return True if an element of Accept-Encoding allows a coding. */
bool AllowsCoding(std::string_view element, std::string_view coding) {
  const std::size_t name_end = std::min(element.find(';'), element.size());
  const std::string_view name = TrimSpaces(element.substr(0, name_end));
  const std::string_view weight = element.substr(name_end);
  // A weight of zero excludes the coding.
  const bool is_excluded =
      weight.find('=') != std::string_view::npos &&
      weight.find_first_of("123456789") == std::string_view::npos;
  return !is_excluded && (name == "*" || beast::iequals(name, coding));
}

}  // namespace

boost::system::error_code CheckResponseHead(const ResponseHead& head,
                                            bool is_to_head_request) {
  if (!IsFinalStatus(head.result_int()) && !IsInterimResponse(head))
    return http::error::bad_status;
  const auto codings = ListElements(head, http::field::transfer_encoding);
  const bool is_only_chunked =
      codings.size() == 1 && beast::iequals(codings.front(), "chunked");
  if (head.count(http::field::transfer_encoding) > 0 &&
      HasBody(head, is_to_head_request) &&
      (head.version() < kVersion11 || !is_only_chunked))
    return http::error::bad_transfer_encoding;
  return {};
}

bool HasAcceptedCodings(const ResponseHead& head,
                        bool is_to_head_request,
                        const http::fields& request) {
  if (!HasBody(head, is_to_head_request))
    return true;
  const auto accepted = ListElements(request, http::field::accept_encoding);
  const auto codings = ListElements(head, http::field::content_encoding);
  return std::all_of(
      codings.begin(), codings.end(), [&](std::string_view coding) {
        return beast::iequals(coding, "identity") ||
               std::any_of(accepted.begin(), accepted.end(),
                           [&](std::string_view element) {
                             return AllowsCoding(element, coding);
                           });
      });
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

bool IsFinalStatus(unsigned status) {
  return status >= kMinFinalStatus && status <= kMaxFinalStatus;
}

bool IsInterimResponse(const ResponseHead& head) {
  return head.result_int() / 100 == 1 &&
         head.result_int() != kSwitchingProtocols;
}

}  // namespace buckthornpath
