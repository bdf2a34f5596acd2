/** @file call_session.h Carries one call from its caller to an endpoint. */

#ifndef SRC_ROUTER_CALL_SESSION_H_
#define SRC_ROUTER_CALL_SESSION_H_

#include <optional>

#include "kernel/in_flight_calls.h"
#include "kernel/settings.h"
#include "router/answer_writer.h"
#include "router/caller_request.h"
#include "router/dialogue_pool.h"
#include "router/placement.h"
#include "router/request_machine.h"
#include "router/retry_limiter.h"

namespace buckthornpath {

/** What a session needs of its router. */
struct SessionContext {
  const Settings& settings;
  Placement& placement;
  const TicketMint& mint;
  MemberList& members;
  RetryLimiter& retries;
  DialoguePool& pool;
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
  /** Opens a dialogue, or takes an idle one, and sends the call. */
  asio::awaitable<void> Attempt(const Member& member);

  /**
   * Sends the call again under the same ticket, for the rest of its answer,
   * until the endpoint is heard of. A repeatable call tries this once.
   * @param can_move Whether another endpoint is left to try.
   */
  asio::awaitable<void> Recover(const Member& member, bool can_move);

  /** @throws DialogueLost */
  asio::awaitable<void> SendCall(EndpointDialogue& dialogue);

  /** @return A request for the rest of the current ticket's answer. */
  ResumeRequest ResumeMessage() const;

  /** Relays until the call has ended and keeps the dialogue for the next. */
  asio::awaitable<void> RelayAndKeep(const Member& member,
                                     EndpointDialogue dialogue);

  /** Relays messages until the call has ended. @throws DialogueLost */
  asio::awaitable<void> Relay(EndpointDialogue& dialogue);

  /** @return True if the message ends the call. */
  asio::awaitable<bool> Handle(const Message& message,
                               const EndpointId& endpoint);

  /** Takes what an endpoint says of a call without an answer. */
  /** @return Why the endpoint refused, as far as this router knows better. */
  std::string ReasonOf(const CallRefused& refused,
                       const EndpointId& endpoint) const;
  void NoteRefusal(const CallRefused& refused, const EndpointId& endpoint);

  /** Notes that a dialogue was lost. */
  void NoteLoss(const Member& member, const std::string& reason);

  void LogRoute(const PlacementDecision& decision, const Member& choice) const;

  SessionContext context;
  CallerRequest request;
  AnswerWriter writer;
  RequestMachine machine;
  std::uint32_t attempt = 0;   ///< Endpoints tried.
  std::uint32_t dialogue = 0;  ///< Attempt number on the wire.
  std::chrono::steady_clock::time_point last_heard;
  std::string ticket;                  ///< Of the current attempt.
  Problem problem;                     ///< Why the last attempt ended.
  std::vector<LoadReport> reports;     ///< Carried by the next attempt.
  std::optional<CallRefused> refusal;  ///< That ended the last attempt.
};

/**
 * Takes an idle dialogue or opens one.
 * @throws DialogueLost If the endpoint cannot be reached.
 */
asio::awaitable<EndpointDialogue> OpenOrReuse(const SessionContext& context,
                                              const Member& member);

/** @return What an endpoint process calls an outcome. */
Outcome ParseOutcome(const std::string& name);

/**
 * Mints a ticket at the best endpoint that can be reached.
 * @throws RequestRefused If none can.
 */
asio::awaitable<std::string> MintTicketFor(const SessionContext& context,
                                           const CallerRequest& request);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CALL_SESSION_H_
