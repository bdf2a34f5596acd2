/** @file caller_request.h Authenticates and parses callers' requests. */

#ifndef SRC_ROUTER_CALLER_REQUEST_H_
#define SRC_ROUTER_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

#include "fleet/published_type.h"
#include "kernel/http_type.h"
#include "router/problem.h"
#include "wire/ticket.h"

namespace buckthornpath {

/** Operation that a caller requests. */
enum class CallerAction { kRun, kResume, kCancel, kIssueTicket };

/** A caller's request after authentication. */
struct CallerRequest {
  CallerAction action = CallerAction::kRun;
  OrganisationId organisation;
  Profile profile;          ///< Empty for kResume and kCancel.
  Service service;          ///< Empty for kResume and kCancel.
  ChatId chat;              ///< Empty if the request has none.
  std::string hint;         ///< Location hint that the caller returned.
  std::string ticket_text;  ///< Empty unless the caller holds a ticket.
  std::optional<Ticket> ticket;
  std::string method;
  std::string path;
  std::string body;
  std::uint64_t after = 0;  ///< Last chunk that the caller has.
};

/** Thrown if a request is refused; carries the problem for the caller. */
class RequestRefused : public std::runtime_error {
 public:
  explicit RequestRefused(Problem problem)
      : std::runtime_error(problem.type), reason(std::move(problem)) {}

  const Problem& Reason() const { return this->reason; }

 private:
  Problem reason;
};

/** @return True if a request carries the id of a call that may exist. */
bool ReferencesCall(const HttpRequest& http);

/**
 * Authenticates and parses a request.
 * @throws RequestRefused If it is malformed, unauthenticated or not allowed.
 */
CallerRequest ReadCallerRequest(const HttpRequest& http,
                                const Configuration& configuration,
                                const TicketCodec& ticket_codec);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CALLER_REQUEST_H_
