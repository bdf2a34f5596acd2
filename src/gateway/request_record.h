/** @file request_record.h Access log entry and metrics of a request. */

#ifndef SRC_GATEWAY_REQUEST_RECORD_H_
#define SRC_GATEWAY_REQUEST_RECORD_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/request_class.h"

namespace buckthornpath {

/** @return Time between two time points, truncated to milliseconds. */
inline std::chrono::milliseconds Elapsed(
    std::chrono::steady_clock::time_point from,
    std::chrono::steady_clock::time_point to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/** Log name of an attempt whose response is incomplete. */
inline constexpr const char* kBrokenAttempt = "broken";

/** Log name of an attempt that was given up for another one, as its endpoint
 * had paused the stream. */
inline constexpr const char* kStalledAttempt = "stalled";

/** @return Ids of prompt segments in hexadecimal, as in request headers; at
 * most eight. */
std::vector<std::string> FormatSegmentIds(
    std::span<const std::uint64_t> segments);

/** Collects the data of a request for its access log entry and the metrics. */
class RequestRecord {
 public:
  using Clock = std::chrono::steady_clock;

  explicit RequestRecord(Clock::time_point received_at)
      : received_at(received_at) {}

  /** Records that the request was sent to an endpoint; the last call counts. */
  void RecordSent(Clock::time_point now) { this->sent_at = now; }

  /** Records the arrival of a response head; the first call counts. */
  void RecordFirstByte(Clock::time_point now);

  /**
   * Records the result of an attempt.
   * @param end Log name of the result.
   * @param events Events that the endpoint sent in this attempt.
   * @param silent_since Time of the last thing that it sent, or of the request.
   */
  void RecordAttempt(const EndpointState& endpoint,
                     const char* end,
                     std::size_t events,
                     Clock::time_point silent_since,
                     Clock::time_point now);

  /** Records the prompt tokens that the endpoint of the last attempt had not
   * cached. */
  void RecordUncachedTokens(std::int64_t tokens) {
    this->attempts.back()["uncached_tokens"] = tokens;
  }

  /** Records the queue's estimate of the wait when the request was refused. */
  void RecordEstimatedWait(std::chrono::milliseconds wait) {
    this->estimated_wait = wait;
  }

  /** Records the status sent to the caller. */
  void RecordStatus(unsigned status) { this->final_status = status; }

  /** Records the segments in quarantine because of which the request was
   * refused. */
  void RecordQuarantine(const QuarantinedRequest& found) {
    this->quarantined_segments = found.segments;
  }

  /** Records the version at which a stream that the caller takes up goes on. */
  void RecordStreamVersion(const std::string& version) {
    this->stream_version = version;
  }

  /** Records why the request was not served. */
  void RecordReason(const char* why) { this->reason = why; }

  /**
   * Updates the metrics and writes the log entry.
   * @param version Version of the configuration used; 0 if there was none.
   * @param is_disconnected True if the caller has disconnected.
   */
  void Write(const RequestClass& request,
             const GatewayState& state,
             std::uint64_t version,
             bool is_disconnected) const;

 private:
  void Count(const RequestClass& request,
             bool is_disconnected,
             Clock::time_point now) const;

  Clock::time_point received_at;
  Clock::time_point sent_at{};
  Clock::time_point first_byte_at{};
  unsigned final_status = 0;
  const char* reason = "served";
  nlohmann::json attempts = nlohmann::json::array();
  std::optional<std::chrono::milliseconds> estimated_wait;
  std::string stream_version;  ///< Empty if it is not taken up.
  bool has_broken_attempt = false;
  SegmentSet quarantined_segments;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_REQUEST_RECORD_H_
