/** @file endpoint_availability.h Why an endpoint gets no requests. */

#ifndef BUCKTHORNPATH_ENDPOINT_AVAILABILITY_H_
#define BUCKTHORNPATH_ENDPOINT_AVAILABILITY_H_

#include <array>
#include <chrono>
#include <cstdint>

namespace buckthornpath {

/** How far an endpoint may be used. */
enum class EndpointUse {
  kNormal,
  kLastResort,  ///< Only if no other endpoint is left.
  kNever,
};

/** What an endpoint has said of itself in its responses to this gateway. */
struct EndpointStatement {
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Start of the process that said it, as published; 0 if unknown. */
  std::int64_t born_ms = 0;
  TimePoint leaving_since{};  ///< First time that it said so; zero: never.
  TimePoint closed_until{};   ///< Until then it wants no requests.
};

/**
 * Availability of one endpoint to this gateway. Its states are a table, most
 * severe first, with the name that logs and the operator interface show; the
 * first one that holds decides. Does no I/O. Not thread-safe.
 */
class EndpointAvailability {
 public:
  using TimePoint = EndpointStatement::TimePoint;

  /** A state of an endpoint. */
  struct State {
    const char* name;
    EndpointUse use;
    bool (EndpointAvailability::*holds)(TimePoint now) const;
  };

  /** @param leaving_time Time for which an endpoint that says it leaves may
   * still be used as a last resort. */
  explicit EndpointAvailability(std::chrono::milliseconds leaving_time)
      : leaving_time(leaving_time) {}

  /** @return The state at a time; one in the future assumes that nothing else
   * happens until then. */
  const State& StateAt(TimePoint now) const;

  /** @return All states. */
  static const std::array<State, 9>& AllStates();

  /** @return Outstanding requests of this process. */
  std::int64_t OpenRequests() const { return this->open_requests; }
  TimePoint LastRequestAt() const { return this->last_request_at; }
  const EndpointStatement& Statement() const { return this->statement; }

  void Withdraw() { this->is_withdrawn = true; }

  /** Sets whether the endpoint is published as draining. */
  void SetDraining(bool draining) { this->is_draining = draining; }

  /** Sets whether the failure domain of the endpoint is evacuated. */
  void SetEvacuated(bool evacuated) { this->is_evacuated = evacuated; }
  bool IsEvacuated() const { return this->is_evacuated; }

  /** Sets what an endpoint with the same id has said before. */
  void SetStatement(const EndpointStatement& said) { this->statement = said; }

  /** Records that the endpoint says it leaves. */
  void RecordLeaving(TimePoint now);

  /** Records until when the endpoint wants no requests. */
  void RecordClosed(TimePoint until) { this->statement.closed_until = until; }

  void RecordRequest(TimePoint now);
  void RecordRequestEnd() { --this->open_requests; }
  void RecordResponse(TimePoint now) { this->last_response_at = now; }

  /** Records a complete response. */
  void RecordServed() { this->backoff = {}; }

  /** Records that no connection could be opened. */
  void RecordUnreachable(TimePoint now);

  /** Records that another process answered at the endpoint's address. */
  void RecordMisdirected(TimePoint now);

 private:
  bool IsWithdrawn(TimePoint /*now*/) const { return this->is_withdrawn; }
  bool IsDraining(TimePoint /*now*/) const { return this->is_draining; }
  bool HasLeft(TimePoint now) const;
  bool IsEvacuatedAt(TimePoint /*now*/) const { return this->is_evacuated; }
  bool IsClosed(TimePoint now) const;
  bool IsBackingOff(TimePoint now) const;
  bool IsSilent(TimePoint now) const;
  bool IsLeaving(TimePoint now) const;
  bool IsUsable(TimePoint /*now*/) const { return true; }

  std::chrono::milliseconds leaving_time;
  EndpointStatement statement;
  std::int64_t open_requests = 0;
  TimePoint last_response_at{};  ///< Last response data received.
  TimePoint last_request_at{};   ///< Last request sent.
  TimePoint unanswered_since{};  ///< First request sent since then.
  TimePoint backoff_until{};
  std::chrono::milliseconds backoff{};
  bool is_withdrawn = false;  ///< Requests may still be running.
  bool is_draining = false;
  bool is_evacuated = false;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ENDPOINT_AVAILABILITY_H_
