/** @file forward_session.h One request on its way to an endpoint and back. */

#ifndef SRC_GATEWAY_FORWARD_SESSION_H_
#define SRC_GATEWAY_FORWARD_SESSION_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/alarm.h"
#include "gateway/caller_connection.h"
#include "gateway/event_relay.h"
#include "gateway/gateway_state.h"
#include "gateway/request_class.h"
#include "gateway/request_record.h"

namespace buckthornpath {

/** How one attempt at an endpoint ended. */
enum class AttemptEnd {
  kAnswered,     ///< The caller has its whole answer.
  kNoRoom,       ///< No endpoint had room in time; nothing was sent.
  kUnreachable,  ///< No connection could be opened; nothing was sent.
  kNotExecuted,  ///< The endpoint says that it did not run the request.
  kFailed,       ///< The endpoint ran the request and answered a failure.
  kBroken,       ///< The request was sent; no whole answer came.
};

/**
 * Carries one request: finds its route and organisation, waits for room, sends
 * it, and passes the answer on. A request that may run only once is sent again
 * only if nothing of it was sent or its endpoint says that it did not run.
 */
class ForwardSession {
 public:
  using Clock = std::chrono::steady_clock;

  ForwardSession(GatewayState& state, CallerExchange& exchange);
  ~ForwardSession();

  /** Answers the exchange. */
  asio::awaitable<void> Run();

 private:
  /** A whole answer of an endpoint that was not passed on yet. */
  struct HeldAnswer {
    unsigned status = 0;
    HeaderFieldList fields;
    std::string body;
  };

  void StartClock();

  asio::awaitable<void> Attempts();
  asio::awaitable<AttemptEnd> Attempt();
  bool MayTryAgain(AttemptEnd end);

  /** @return The endpoint to use, or null if the wait is over. */
  asio::awaitable<EndpointHandle> FindRoom();

  /** Chooses an endpoint and starts there. @return Null if none has room. */
  EndpointHandle TakePlace();
  asio::awaitable<bool> OpenConnection(const EndpointBelief& endpoint);
  ForwardRequest MakeRequest(const EndpointBelief& endpoint) const;

  asio::awaitable<AttemptEnd> SendTo(EndpointBelief& endpoint);

  /** Reads the head of the answer that belongs to this request. */
  asio::awaitable<bool> ReadOwnHead();
  asio::awaitable<AttemptEnd> TakeAnswer(EndpointBelief& endpoint);

  /** Holds a whole answer. @return False if it broke off. */
  asio::awaitable<bool> TakeWhole(unsigned status);
  asio::awaitable<void> SendHeld();
  asio::awaitable<AttemptEnd> RelayStream(unsigned status);
  asio::awaitable<bool> PassOn(unsigned status, std::string_view piece);
  HeaderFieldList CallerFields() const;
  void NoteAnswerHead(EndpointBelief& endpoint);

  /** Its prompt no longer waits to be read. */
  void ReleaseUnread(EndpointBelief& endpoint);
  void NoteEnd(EndpointBelief& endpoint, AttemptEnd end);

  asio::awaitable<void> Conclude(AttemptEnd end);
  asio::awaitable<void> Refuse(Refusal refusal);
  std::chrono::milliseconds RetryAfter() const;
  std::chrono::milliseconds TimeLeft() const;

  /** Ends what is in progress: the caller left or the time is up. */
  void Abort();

  GatewayState& state;
  CallerExchange& exchange;
  std::shared_ptr<const RoutingTable> table;  ///< In force when it came.
  RequestClass request;
  RequestRecord record;
  Clock::time_point give_up_at;  ///< Final answer is due.
  Alarm limit_alarm;
  WakeSignal room;
  EndpointHandle offered;  ///< Endpoint that a wait has found.
  bool is_aborted = false;
  bool is_time_up = false;
  bool may_have_run = false;  ///< An endpoint may have begun to work on it.
  bool is_head_sent = false;  ///< The caller has the head of an answer.
  int attempts = 0;           ///< Endpoints that the request was sent to.
  int unreachable = 0;
  std::vector<EndpointId> excluded;
  std::unique_ptr<EndpointConnection> connection;
  /** Idle time of the connection before this request; nothing if new. */
  std::optional<std::chrono::milliseconds> idle_before;
  std::int64_t unread_tokens = 0;
  EventRelay relay;
  AnswerFacts answer;  ///< Of the head that was read last.
  std::optional<HeldAnswer> held;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_FORWARD_SESSION_H_
