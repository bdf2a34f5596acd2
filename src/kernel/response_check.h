/** @file response_check.h Rules for HTTP responses that the library's parser
 * leaves to its user. */

#ifndef SRC_KERNEL_RESPONSE_CHECK_H_
#define SRC_KERNEL_RESPONSE_CHECK_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

namespace buckthornpath {

using ResponseHead = boost::beast::http::response_header<>;

/**
 * Checks the head of a response that was parsed without an error.
 * @param is_to_head_request True if the response has no body for this reason.
 * @return `bad_status` if the status code is not defined by RFC 9110, or
 * accepts an upgrade, for which no request of ours asks;
 * `bad_transfer_encoding` if a body has a transfer coding other than chunked,
 * which no request of ours accepts, or if the version does not allow chunks.
 */
boost::system::error_code CheckResponseHead(const ResponseHead& head,
                                            bool is_to_head_request);

/**
 * @param request Fields of the request. Without Accept-Encoding it asks for the
 * body as it is: callers and readers of ours then decode none.
 * @return True if the body has no content coding that the request does not
 * accept.
 */
bool HasAcceptedCodings(const ResponseHead& head,
                        bool is_to_head_request,
                        const boost::beast::http::fields& request);

/** Finds the end of a response head whose bytes arrive in pieces. */
class HeadScanner {
 public:
  /** @param received All bytes that have arrived since the head began.
   * @return Size of the head; 0 while it is incomplete. */
  std::size_t FindEnd(std::string_view received);

 private:
  std::size_t searched = 0;  ///< Bytes before which no end begins.
};

/** @return True if a line of a head begins with a blank. The parser takes it
 * for a part of the field before it, whatever field the line was to be; a
 * gateway may reject such a response (RFC 9112, section 5.2). */
bool HasFoldedLine(std::string_view head);

/** Limit of the interim responses before one final response. */
inline constexpr int kMaxInterimResponses = 16;

/** @return True if a status code ends an exchange. */
bool IsFinalStatus(unsigned status);

/** @return True if another response to the same request follows. */
bool IsInterimResponse(const ResponseHead& head);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_RESPONSE_CHECK_H_
