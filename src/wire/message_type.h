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

/** First message on a connection: who the endpoint process is. */
struct Hello {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::chrono::milliseconds now{};  ///< Age of the incarnation.
  std::string service;
};

/** Router: run a call, or attach to it if it is known already. */
struct CallRequest {
  std::string ticket;  ///< Names the call; see ticket.h.
  std::uint32_t attempt = 0;
  std::string organisation;
  std::string profile;
  std::string chat;
  std::string method;
  std::string path;
  std::string body;
  std::uint64_t after = 0;        ///< Last chunk that the caller has.
  std::vector<LoadReport> loads;  ///< What refusals of this call reported.
};

/** Router: send a known call's answer from a chunk on; never runs it. */
struct ResumeRequest {
  std::string ticket;
  std::uint32_t attempt = 0;
  std::string organisation;
  std::uint64_t after = 0;
};

/** Router: stop a call. */
struct CancelRequest {
  std::string ticket;
  std::string organisation;
};

/** Endpoint: the call is admitted; its chunks follow. */
struct CallAccepted {
  std::uint32_t attempt = 0;
  std::int64_t running = 0;
  std::int64_t queued = 0;
};

/** Endpoint: the call's state without an answer. */
struct CallRefused {
  std::uint32_t attempt = 0;
  std::string outcome;  ///< Name of an Outcome.
  std::string reason;   ///< Name of a problem type.
  std::string detail;
  std::chrono::milliseconds retry_after{};
  std::int64_t running = 0;
  std::int64_t queued = 0;
  std::vector<LoadReport> loads;  ///< Least loaded endpoints it knows of.
};

/** Endpoint: one piece of the answer. */
struct CallChunk {
  std::uint32_t attempt = 0;
  std::uint64_t sequence = 0;  ///< Counts from 1.
  std::string data;
};

/** Endpoint: the answer is whole. */
struct CallFinished {
  std::uint32_t attempt = 0;
  std::uint64_t chunks = 0;
  std::uint64_t bytes = 0;
  std::uint32_t status = 200;
  std::string content_type;
};

/** Endpoint: the dialogue is alive and nothing is new. */
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
