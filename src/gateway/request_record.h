/** @file request_record.h What is told of a request once it has ended. */

#ifndef SRC_GATEWAY_REQUEST_RECORD_H_
#define SRC_GATEWAY_REQUEST_RECORD_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "gateway/gateway_state.h"
#include "gateway/request_class.h"

namespace buckthornpath {

/** @return Whole milliseconds from one time to another. */
inline std::chrono::milliseconds Elapsed(
    std::chrono::steady_clock::time_point from,
    std::chrono::steady_clock::time_point to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/** Collects what a request met, for its line in the log and the metrics. */
class RequestRecord {
 public:
  using Clock = std::chrono::steady_clock;

  explicit RequestRecord(Clock::time_point received_at)
      : received_at(received_at) {}

  /** Notes that the request was sent to an endpoint; the last time counts. */
  void NoteSent(Clock::time_point now) { this->sent_at = now; }

  /** Notes the head of an endpoint's answer; the first one counts. */
  void NoteFirstByte(Clock::time_point now);

  /** Notes how an attempt ended. @param end Name for the log. */
  void NoteAttempt(const EndpointBelief& endpoint,
                   const char* end,
                   Clock::time_point now);

  /** Notes the status that the caller gets. */
  void NoteStatus(unsigned status) { this->final_status = status; }

  /** Notes why the request was not served. */
  void NoteReason(const char* why) { this->reason = why; }

  /**
   * Counts the request and writes its line.
   * @param version Of the configuration that decided; 0 if none did.
   * @param is_gone The caller has left.
   */
  void Write(const RequestClass& request,
             const GatewayState& state,
             std::uint64_t version,
             bool is_gone) const;

 private:
  void Count(const RequestClass& request,
             bool is_gone,
             Clock::time_point now) const;

  Clock::time_point received_at;
  Clock::time_point sent_at{};
  Clock::time_point first_byte_at{};
  unsigned final_status = 0;
  const char* reason = "served";
  nlohmann::json attempts = nlohmann::json::array();
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_REQUEST_RECORD_H_
