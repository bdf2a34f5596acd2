/** @file call_session.h Forwards one call from its caller to an endpoint. */

#ifndef SRC_ROUTER_CALL_SESSION_H_
#define SRC_ROUTER_CALL_SESSION_H_

#include <optional>

#include "kernel/in_flight_calls.h"
#include "kernel/settings.h"
#include "router/caller_request.h"
#include "router/endpoint_channel_pool.h"
#include "router/placement.h"
#include "router/request_state_machine.h"
#include "router/response_writer.h"
#include "router/retry_limiter.h"

namespace buckthornpath {

/** Objects of the router that a call session uses. */
struct SessionContext {
  const Settings& settings;
  Placement& placement;
  const TicketCodec& ticket_codec;
  MemberList& members;
  RetryLimiter& retries;
  EndpointChannelPool& pool;
  InFlightCalls::ScopedCall& in_flight;  ///< Named after the call's ticket.
};

/**
 * Serves one call: selects endpoints, sends the call, relays the answer and
 * recovers from lost connections.
 */
class CallSession {
 public:
  CallSession(const SessionContext& context,
              CallerRequest request,
              HttpExchange& exchange);

  /**
   * Serves the call until the caller has its answer or a problem.
   * @throws HttpError If the caller has disconnected.
   */
  asio::awaitable<void> Run();

 private:
  /** Sends the call to one endpoint and relays its answer. */
  asio::awaitable<void> TryEndpoint(const Member& member);

  /**
   * Sends the call again under the same ticket, for the rest of its answer,
   * until the endpoint replies or recovery_timeout has passed since its last
   * message. A repeatable call without a caller's ticket tries this once if
   * another endpoint is left.
   * @param can_fail_over Whether another endpoint is left to try.
   */
  asio::awaitable<void> Recover(const Member& member, bool can_fail_over);

  /** Sends the call or resume request. @throws ConnectionLost */
  asio::awaitable<void> SendCall(EndpointChannel& channel);

  /** @return A request for the rest of the current ticket's answer. */
  ResumeRequest MakeResumeRequest() const;

  /** Relays until the call has ended, then pools the connection. */
  asio::awaitable<void> RelayAndPool(const Member& member,
                                     EndpointChannel channel);

  /** Relays messages until the call has ended. @throws ConnectionLost */
  asio::awaitable<void> Relay(EndpointChannel& channel);

  /** Handles one message. @return True if it ends the call. */
  asio::awaitable<bool> HandleMessage(const Message& message,
                                      const EndpointId& endpoint);

  /** @return The reason of a refusal, corrected from the member list. */
  std::string RefusalReason(const CallRefused& refused,
                            const EndpointId& endpoint) const;
  /** Records the state that an endpoint sent instead of an answer. */
  void RecordRefusal(const CallRefused& refused, const EndpointId& endpoint);

  /** Records a lost connection and drops the idle ones to that address. */
  void RecordConnectionLoss(const Member& member, const std::string& reason);

  void LogRoute(const PlacementDecision& decision, const Member& choice) const;

  SessionContext context;
  CallerRequest request;
  ResponseWriter writer;
  RequestStateMachine machine;
  std::uint32_t attempt_count = 0;   ///< Endpoints tried.
  std::uint32_t attempt_number = 0;  ///< Identifies the attempt in messages.
  std::chrono::steady_clock::time_point last_message_at;
  std::string ticket;                  ///< Of the current attempt.
  Problem problem;                     ///< Why the last attempt ended.
  std::vector<LoadReport> reports;     ///< Sent with the next attempt.
  std::optional<CallRefused> refusal;  ///< Ended the last attempt.
};

/**
 * Takes an idle connection from the pool or opens one.
 * @throws ConnectionLost If the endpoint cannot be reached.
 */
asio::awaitable<EndpointChannel> TakeOrOpenChannel(
    const SessionContext& context,
    const Member& member);

/** @return The outcome of that name; kUnknown if there is none. */
Outcome ParseOutcome(const std::string& name);

/**
 * Issues a ticket for the best candidate that can be reached.
 * @throws RequestRefused If none can be reached.
 */
asio::awaitable<std::string> IssueTicketForRequest(
    const SessionContext& context,
    const CallerRequest& request);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CALL_SESSION_H_
