/** @file forward_session.h Forwards one request to an endpoint. */

#ifndef SRC_GATEWAY_FORWARD_SESSION_H_
#define SRC_GATEWAY_FORWARD_SESSION_H_

#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/attempt_result.h"
#include "gateway/caller_connection.h"
#include "gateway/cancellable_timer.h"
#include "gateway/endpoint_reservation.h"
#include "gateway/event_relay.h"
#include "gateway/gateway_state.h"
#include "gateway/request_class.h"
#include "gateway/request_record.h"
#include "gateway/standby_attempt.h"

namespace buckthornpath {

/**
 * Forwards one request: finds its route and organisation, waits for an endpoint
 * with capacity, sends the request and relays the response. A request that is
 * not idempotent is retried only if nothing of it was sent, or if the endpoint
 * states that it did not run the request.
 */
class ForwardSession {
 public:
  using Clock = std::chrono::steady_clock;

  ForwardSession(GatewayState& state, CallerExchange& exchange);
  ~ForwardSession();

  /** Forwards the request and sends the response or an error. */
  asio::awaitable<void> Run();

  /** @return What the request waits for, for logs. */
  nlohmann::json Describe(Clock::time_point now) const;

 private:
  /** Connect timeout: several round trips within a region. */
  static constexpr std::chrono::milliseconds kConnectTimeout{300};

  /** Interval at which a stalled stream that stays is looked at. */
  static constexpr std::chrono::milliseconds kStallCheckInterval{200};

  /** Time that must be left for another attempt. */
  static constexpr std::chrono::milliseconds kMinTimeLeft{20};

  /** Events of a response after which its request has crashed no endpoint. */
  static constexpr std::size_t kProofEvents = 3;

  /** What a request waits for. */
  enum class Phase { kQueued, kConnecting, kSent, kStreaming, kAnswering };

  /** A complete response of an endpoint that is not yet sent to the caller. */
  struct BufferedResponse {
    unsigned status = 0;
    HeaderFieldList fields;
    std::string body;
  };

  void StartDeadline();

  asio::awaitable<void> RunAttempts();

  asio::awaitable<AttemptResult> Attempt();

  /** Opens a connection to an endpoint and sends the request, or goes on with
   * the response head that a standby attempt has read. */
  asio::awaitable<AttemptResult> TryEndpoint(EndpointState& endpoint,
                                             bool has_head);

  /** @return True if nothing has kept a request from an endpoint since it was
   * reserved: the last look before it is sent. */
  bool MaySendTo(const EndpointReservation& reserved,
                 const EndpointConnection& open);

  /** Waits for word that the process on the present connection is the one of
   * the endpoint's entry, if a stream is to go on there. For one that begins
   * there, the word is only asked for. */
  asio::awaitable<void> ConfirmConnection();

  /** @return True if endpoints crash under the request. */
  bool IsQuarantined() const;

  /** @return Why the request must not be sent to any endpoint; empty if it may
   * be. */
  std::optional<AttemptResult> RuledOut() const;

  /** Records whether the request is suspected of crashing endpoints. */
  void RecordSuspicion(const EndpointHandle& endpoint, AttemptResult result);

  /** @return True if the response shows that an endpoint can answer the
   * request; a crash comes with the first events at the latest. */
  bool IsProven() const { return this->AttemptEvents() >= kProofEvents; }
  bool MayRetry(AttemptResult result);

  /** Chooses an endpoint and counts the request there.
   * @return Nothing if no endpoint has capacity. */
  EndpointReservation TryReserve(const std::vector<EndpointId>& excluded);
  asio::awaitable<bool> OpenConnection(const EndpointState& endpoint);
  ForwardRequest MakeRequest(const EndpointState& endpoint) const;

  /** @return What the choice of an endpoint depends on. The result refers to
   * this object and to the excluded endpoints. */
  EndpointQuery MakeQuery(const std::vector<EndpointId>& excluded) const;

  asio::awaitable<AttemptResult> SendTo(EndpointState& endpoint);
  asio::awaitable<AttemptResult> ReadResponse(EndpointState& endpoint);

  /** Buffers a complete response. @return False if it is truncated. */
  asio::awaitable<bool> BufferResponse(unsigned status);
  asio::awaitable<void> SendBufferedResponse();
  HeaderFieldList ResponseFields() const;
  void RecordResponseHead(EndpointState& endpoint);

  void FinishAttempt(EndpointState& endpoint, AttemptResult result);

  /** @return Events that the endpoint of the last attempt has sent. */
  std::size_t AttemptEvents() const {
    return this->relay.EventCount() - this->events_before_attempt;
  }

  asio::awaitable<void> FinishExchange(AttemptResult result);
  asio::awaitable<void> Refuse(Refusal refusal);
  std::chrono::milliseconds TimeLeft() const;

  // Admission and the wait for an endpoint: forward_wait.cc.

  /** @return False if the service is overloaded and the request is refused. */
  bool IsAdmitted();

  /** Waits for an endpoint with capacity and reserves it; there is no
   * reservation if the request could not start in time. */
  asio::awaitable<void> WaitForEndpoint();

  /** @return True if an endpoint of the service may be used now, or is expected
   * to be at a later time. */
  bool HasEndpointBy(Clock::time_point time) const;

  /** @return What decides the request's place in the queue of its service. */
  WaitingRequest MakeWaitingRequest() const;

  /** Lets the admission of a service without prompts follow its responses. */
  void RecordLoadOfService(AttemptResult result, Clock::time_point now);

  /** @return Time after which the refused caller should return. */
  std::chrono::milliseconds RetryAfter();

  // The software version that has begun the stream: forward_version.cc.

  /** Finds the version at which a stream that the caller takes up has to go on.
   * @return The refusal if nothing proves it. */
  asio::awaitable<std::optional<Refusal>> FindStreamVersion();

  /** @return What began the stream that the caller takes up, if it is known. */
  asio::awaitable<std::optional<StreamOrigin>> FindOrigin();

  /** @return The only version of the service, if it proves that of the stream.
   */
  asio::awaitable<std::optional<std::string>> FindSoleVersion();

  /** @return Time for which the sole version of the service must have been
   * that to prove itself. */
  std::chrono::milliseconds ProofTime() const;

  /** @return When a stream that nothing proves may be proven by its service
   * having one version; nothing if it is proven, or will not be. */
  std::optional<Clock::time_point> ProofDue() const;

  /** Records the version of the present endpoint as that of the stream that it
   * sends events of. */
  void RecordStreamBegin();

  /** @return True if another software version has been published under the name
   * of the present endpoint since it was reserved. */
  bool IsEndpointReplaced() const {
    return this->reservation.Endpoint()->Entry().version !=
           this->reservation.Version();
  }

  /** @return True if the process on the present connection may be another than
   * the one of the endpoint's entry, which states the version. */
  bool IsVersionDoubtful() const;

  /** @return Id of the request that brought the first event of the stream;
   * empty if that is not known. */
  const std::string& BegunBy() const;

  /** Records the stream for callers that take it up. */
  void RecordStreamOrigin();

  /** Records that nothing proves the version of the stream any more. */
  void RecordContradiction();

  // Relaying a stream: forward_stream.cc.

  asio::awaitable<AttemptResult> RelayStream(unsigned status);

  /** @return Whether the stream was given up for the standby attempt; one that
   * broke off waits for that attempt, if there is one. */
  asio::awaitable<AttemptResult> HandleStreamBreak();

  /** Relays what has arrived of the stream. @return False if the attempt has to
   * end. */
  asio::awaitable<bool> RelayEvents(unsigned status, std::string& chunk);

  /** Records, once an attempt, that an endpoint can answer the request. */
  void RecordProof();
  asio::awaitable<bool> RelayChunk(unsigned status, std::string_view chunk);

  /** Starts a standby attempt once the stream has been silent for a time. The
   * present endpoint is given up when the other one has begun. */
  void WatchForStall(std::chrono::milliseconds time);

  /** Logs what is done about a silent stream, once for each choice.
   * @param reason Why the stream stays; empty if it moves. */
  void RecordSilence(const char* reason);

  /** @return Time without events after which a stream has stalled. */
  std::chrono::milliseconds StallTimeout() const;

  // Moving a stream that stalls: forward_standby.cc.

  /** Sends the request to another endpoint as well.
   * @return Why this can't be done; empty if it is done. */
  const char* StartStandby();

  /** @return Endpoints that must not be asked to take the stream over. Once the
   * attempts are used up, only endpoints that have had the request are left. */
  std::vector<EndpointId> StandbyExclusions() const;

  /** Takes back that the standby attempt counts as one. */
  void UncountStandby();

  /** @return True if nothing has ruled out the standby attempt meanwhile. */
  bool MaySendStandby();

  /** Gives the present endpoint up if the standby attempt has succeeded. */
  void HandleStandbyEnd();

  /** Records the result of a standby attempt that has failed. */
  void RecordStandbyFailure();

  /** @return True if there is a standby attempt whose endpoint streams. */
  bool HasStandbyBegun() const;

  /** Waits until the standby attempt has begun or failed, if there is one. */
  asio::awaitable<void> AwaitStandby();

  /** Goes on with the standby attempt as the present one. */
  void AdoptStandby();
  void CancelStandby();

  /** Ends I/O in progress: the caller disconnected, the deadline passed or the
   * process ends. */
  void Abort();

  /** Records that the request or its response has made progress. */
  void RecordProgress(Phase next) {
    this->phase = next;
    this->progress_at = Clock::now();
    this->silence_reason.reset();
  }

  GatewayState& state;
  CallerExchange& exchange;
  std::list<const ForwardSession*>::iterator position;  ///< In the state.
  Phase phase = Phase::kQueued;
  Clock::time_point progress_at{};  ///< Of the present attempt.
  /** Reason that was logged last for a silent stream. */
  std::optional<std::string_view> silence_reason;
  std::shared_ptr<const RoutingTable> table;  ///< Current at arrival.
  RequestClass request;
  RequestRecord record;
  Clock::time_point deadline;  ///< Time at which the response is due.
  CancellableTimer deadline_timer;
  CancellableTimer stall_timer;
  WakeSignal capacity_signal;
  WakeSignal standby_signal;        ///< The standby attempt has ended.
  EndpointReservation reservation;  ///< Of the attempt in progress.
  /** Attempt that may replace the one in progress; null if there is none. */
  std::shared_ptr<StandbyAttempt> standby;
  bool is_standby_counted = false;  ///< Among the attempts.
  bool is_proof_recorded = false;   ///< Of the present attempt.
  /** Endpoints that may have run a part of the stream, and have not failed. */
  std::vector<EndpointId> paused_endpoints;
  bool is_aborted = false;
  bool is_timed_out = false;
  bool is_cut_off = false;    ///< The process ends before the response.
  bool may_have_run = false;  ///< An endpoint may have started the request.
  bool is_head_sent = false;  ///< A response head was sent to the caller.
  int attempts = 0;           ///< Times that the request was sent.
  int connect_failures = 0;
  std::vector<EndpointId> excluded_endpoints;
  /** Version of the endpoints that may go on with the stream; empty if it has
   * not begun. */
  std::optional<std::string> stream_version;
  bool is_unproven = false;  ///< Nothing proves the version of the stream.
  /** The stream has begun, and its version may be proven later. */
  bool is_version_doubtful = false;
  std::unique_ptr<EndpointConnection> connection;
  /** Idle time of the connection before this request; empty if it is new. */
  std::optional<std::chrono::milliseconds> previous_idle_time;
  EventRelay relay;
  std::size_t events_before_attempt = 0;  ///< Of earlier attempts.
  ByteShare response_bytes;               ///< Of the buffered response.
  ResponseMetadata response;              ///< From the head that was read last.
  std::optional<BufferedResponse> buffered_response;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_FORWARD_SESSION_H_
