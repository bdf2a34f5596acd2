/** @file call_session.h Carries one call from its caller to an endpoint. */

#ifndef SRC_ROUTER_CALL_SESSION_H_
#define SRC_ROUTER_CALL_SESSION_H_

#include <optional>

#include "kernel/in_flight_calls.h"
#include "kernel/settings.h"
#include "router/answer_writer.h"
#include "router/caller_request.h"
#include "router/endpoint_dialogue.h"
#include "router/placement.h"

namespace buckthornpath {

/** What a session needs of its router. */
struct SessionContext {
  const Settings& settings;
  Placement& placement;
  const TicketMint& mint;
  InFlightCalls::Mark& in_flight;  ///< Named after the call's ticket.
};

/** One call: chooses endpoints, hands over, streams back and recovers. */
class CallSession {
 public:
  CallSession(const SessionContext& context,
              CallerRequest request,
              HttpExchange& exchange);

  /** Serves the call to its end. @throws HttpError If the caller is gone. */
  asio::awaitable<void> Run();

 private:
  /** How one attempt at an endpoint ended. */
  enum class AttemptEnd {
    kAnswered,   ///< The caller has its answer or a final refusal.
    kRefused,    ///< The endpoint has not run it and never will.
    kUnreached,  ///< Nothing was sent to the endpoint.
    kLost,       ///< The endpoint may have run it.
  };

  asio::awaitable<AttemptEnd> Attempt(const Member& member);
  asio::awaitable<AttemptEnd> Recover(const Member& member);
  asio::awaitable<void> SendCall(EndpointDialogue& dialogue);

  /** @return A request for the rest of the current ticket's answer. */
  ResumeRequest ResumeMessage() const;

  /** Relays the endpoint's messages until the attempt ends. */
  asio::awaitable<AttemptEnd> Relay(EndpointDialogue& dialogue);

  void LogRoute(const PlacementDecision& decision, const Member& choice) const;

  SessionContext context;
  CallerRequest request;
  AnswerWriter writer;
  std::uint32_t attempt = 0;
  std::string ticket;  ///< Of the current attempt.
  Problem problem;     ///< Why the last attempt ended.
};

/**
 * Mints a ticket at the best endpoint that can be reached.
 * @throws RequestRefused If none can.
 */
asio::awaitable<std::string> MintTicketFor(const SessionContext& context,
                                           const CallerRequest& request);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CALL_SESSION_H_
