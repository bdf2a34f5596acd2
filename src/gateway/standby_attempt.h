/** @file standby_attempt.h Next attempt of a stream whose endpoint pauses. */

#ifndef SRC_GATEWAY_STANDBY_ATTEMPT_H_
#define SRC_GATEWAY_STANDBY_ATTEMPT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/attempt_result.h"
#include "gateway/endpoint_connection.h"
#include "gateway/endpoint_reservation.h"
#include "gateway/gateway_state.h"
#include "gateway/platform_adapter.h"

namespace buckthornpath {

/**
 * Sends a stream's request to another endpoint while the present connection
 * stays open, and reads the head of the response. The present endpoint is given
 * up only once the other one has begun. Not thread-safe.
 */
class StandbyAttempt final
    : public std::enable_shared_from_this<StandbyAttempt> {
 public:
  using Clock = std::chrono::steady_clock;

  enum class Status {
    kOpening,  ///< Nothing has been sent yet.
    kSent,     ///< The endpoint may have begun.
    kReady,    ///< The endpoint streams.
    kEnded,    ///< The attempt has failed.
  };

  /** @param must_confirm The stream has begun: the endpoint must be the process
   * that its entry describes. */
  StandbyAttempt(GatewayState& state,
                 EndpointReservation reservation,
                 ForwardRequest request,
                 std::string request_id,
                 bool must_confirm);

  /**
   * Begins.
   * @param may_send Asked once a connection is open, and confirmed if it must
   * be and can be; nothing is sent if it returns false.
   * @param on_end Called once, when the status is final.
   */
  void Start(std::chrono::milliseconds connect_timeout,
             std::function<bool()> may_send,
             std::function<void()> on_end);

  /** Closes the connection; no handler is called any more. */
  void Cancel();

  Status State() const { return this->status; }

  /** @return Why the attempt has failed. @pre Its status is kEnded. */
  AttemptResult Failure() const { return this->failure; }
  const EndpointHandle& Endpoint() const {
    return this->reservation.Endpoint();
  }
  Clock::time_point StartedAt() const { return this->reservation.Time(); }
  const EndpointReservation& Reservation() const { return this->reservation; }

  /** @pre A connection has been opened. */
  const EndpointConnection& Connection() const { return *this->connection; }

  /** @return What the head of the response says. */
  const ResponseMetadata& Response() const { return this->response; }
  unsigned ResponseStatus() const;

  /** Hand over the attempt. @pre Its status is kReady. */
  EndpointReservation TakeReservation() { return std::move(this->reservation); }
  std::unique_ptr<EndpointConnection> TakeConnection() {
    return std::move(this->connection);
  }

 private:
  /** Runs an attempt. The parameter keeps it alive from the start, as its owner
   * may let go of it before the task first runs. */
  static asio::awaitable<void> Run(std::shared_ptr<StandbyAttempt> attempt,
                                   std::chrono::milliseconds connect_timeout);

  /** @return Why the attempt has failed; empty if the endpoint streams. */
  asio::awaitable<std::optional<AttemptResult>> Open(
      std::chrono::milliseconds connect_timeout);
  std::optional<AttemptResult> JudgeHead() const;

  /** Returns the connection to the pool, which closes it. */
  void ReleaseConnection();

  GatewayState& state;
  EndpointReservation reservation;
  EndpointId endpoint_id;
  ForwardRequest request;
  std::string request_id;
  bool must_confirm;
  std::function<bool()> may_send;
  std::function<void()> on_end;
  std::unique_ptr<EndpointConnection> connection;
  ResponseMetadata response;
  Status status = Status::kOpening;
  AttemptResult failure = AttemptResult::kBroken;
  bool is_running = false;
  bool is_cancelled = false;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_STANDBY_ATTEMPT_H_
