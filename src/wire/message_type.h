/** @file message_type.h Messages between a router and an endpoint process. */

#ifndef SRC_WIRE_MESSAGE_TYPE_H_
#define SRC_WIRE_MESSAGE_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "buckthornpath/load_view.h"
#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** First message on a connection; identifies the endpoint process. */
struct Hello {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::chrono::milliseconds now{};  ///< Age of the incarnation when sent.
  std::string service;
};

/**
 * Sent by a router to run a call, or to attach to it if the endpoint process
 * already knows its ticket.
 */
struct CallRequest {
  std::string ticket;  ///< Identifies the call; see ticket.h.
  std::uint32_t attempt = 0;
  std::string organisation;
  std::string profile;
  std::string chat;
  std::string method;
  std::string path;
  std::string body;
  std::uint64_t after = 0;        ///< Last chunk that the caller has.
  std::vector<LoadReport> loads;  ///< Reported by refusals of this call.
};

/**
 * Sent by a router to get the rest of a known call's answer; never runs the
 * call.
 */
struct ResumeRequest {
  std::string ticket;
  std::uint32_t attempt = 0;
  std::string organisation;
  std::uint64_t after = 0;
};

/** Sent by a router to cancel a call. */
struct CancelRequest {
  std::string ticket;
  std::string organisation;
};

/** Sent by an endpoint process that admitted a call; the chunks follow. */
struct CallAccepted {
  std::uint32_t attempt = 0;
  std::int64_t running = 0;
  std::int64_t queued = 0;
};

/**
 * Sent by an endpoint process instead of an answer: the state of a call that it
 * refused, cancelled or cannot answer.
 */
struct CallRefused {
  std::uint32_t attempt = 0;
  std::string outcome;  ///< Name of an Outcome.
  std::string reason;   ///< Name of a problem type.
  std::string detail;
  std::chrono::milliseconds retry_after{};
  std::int64_t running = 0;
  std::int64_t queued = 0;
  std::vector<LoadReport> loads;  ///< The least loaded endpoints it knows.
};

/** Sent by an endpoint process: one chunk of the answer. */
struct CallChunk {
  std::uint32_t attempt = 0;
  std::uint64_t sequence = 0;  ///< Starts at 1.
  std::string data;
};

/** Sent by an endpoint process: the answer is complete. */
struct CallFinished {
  std::uint32_t attempt = 0;
  std::uint64_t chunks = 0;
  std::uint64_t bytes = 0;
  std::uint32_t status = 200;
  std::string content_type;
};

/** Sent by an endpoint process while it has nothing else to send. */
struct Heartbeat {
  std::uint32_t attempt = 0;
};

using Message = std::variant<Hello,
                             CallRequest,
                             ResumeRequest,
                             CancelRequest,
                             CallAccepted,
                             CallRefused,
                             CallChunk,
                             CallFinished,
                             Heartbeat>;

}  // namespace buckthornpath

#endif  // SRC_WIRE_MESSAGE_TYPE_H_
