/** @file caller.h Requests of a caller. */

#ifndef REVIEW_COMMON_CALLER_H_
#define REVIEW_COMMON_CALLER_H_

#include <string>

#include "net.h"
#include "record.h"

namespace review {

/** A request as a caller sends it. */
struct CallerRequest {
  std::string id;
  std::string target;
  std::string method = "POST";
  std::string key = "key-a";
  std::string body;
  std::string more_fields;  ///< Lines with their CRLF.
  milliseconds deadline{2500};
  milliseconds send_time{0};  ///< Over which the body is sent.
  /** Time without any answer after which the caller leaves; zero: never. */
  milliseconds patience{0};
};

/** What the caller sees. */
struct CallerResult {
  std::string id;
  TimePoint started_at{};
  TimePoint sent_at{};  ///< Time at which the last byte was sent.
  TimePoint ended_at{};
  int status = 0;            ///< 0: no head of a response arrived.
  bool is_complete = false;  ///< A whole response arrived.
  bool is_closed = false;    ///< The connection ended before that.
  Message response;
};

/** Sends a request on an open connection and reads its response, until the
 * caller's deadline and a little longer. */
CallerResult Exchange(const Socket& socket,
                      const CallerRequest& request,
                      Record& record);

/** Does the same on a new connection, which it closes. */
CallerResult Call(const Address& address,
                  const CallerRequest& request,
                  Record& record);

}  // namespace review

#endif  // REVIEW_COMMON_CALLER_H_
