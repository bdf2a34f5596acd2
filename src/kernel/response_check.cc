/** @file response_check.cc Rules for HTTP responses that the library's parser
 * leaves to its user. */

#include "kernel/response_check.h"

#include <boost/beast/http/error.hpp>

namespace buckthornpath {

namespace {

namespace http = boost::beast::http;

// RFC 9110, section 15.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

}  // namespace

boost::system::error_code CheckResponseHead(const ResponseHead& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus ||
      status == kSwitchingProtocols)
    return http::error::bad_status;
  return {};
}

bool IsInterimResponse(const ResponseHead& head) {
  return head.result_int() / 100 == 1;
}

}  // namespace buckthornpath
