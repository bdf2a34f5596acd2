/** @file resumable_call.h A call that other routers can resume. */

#ifndef SRC_CLI_RESUMABLE_CALL_H_
#define SRC_CLI_RESUMABLE_CALL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kernel/http_client.h"
#include "wire/event_stream.h"

namespace buckthornpath {

/** Result of a call. */
struct CallResult {
  bool complete = false;
  std::string outcome = "unknown";  ///< See outcome_type.h.
  std::string problem;  ///< Problem document in JSON; empty if none came.
  std::string connection_error;   ///< Error of the last failed connection.
  std::uint64_t chunk_count = 0;  ///< Chunks received.
  std::size_t resume_count = 0;   ///< Connections after the first.
  SocketAddress router;           ///< Router of the last connection.
  std::string location;           ///< Hint to send with the chat's next call.
};

/**
 * Sends one call under a ticket. If a connection fails, resumes the response
 * after the last chunk received, through the next router; without a chunk,
 * sends the call again under the same ticket.
 */
class ResumableCall {
 public:
  using ChunkHandler = std::function<void(const std::string& data)>;

  /**
   * @param request The call, with its ticket as `Idempotency-Key`.
   * @param on_chunk Called once for each chunk of the response, in order.
   * @pre The list of routers is not empty.
   */
  ResumableCall(std::vector<SocketAddress> routers,
                HttpRequest request,
                ChunkHandler on_chunk)
      : routers(std::move(routers)),
        request(std::move(request)),
        on_chunk(std::move(on_chunk)) {}

  /**
   * Runs until the response has ended, or until too many attempts in a row
   * brought no new chunk. Connection errors are reported in the result.
   */
  asio::awaitable<CallResult> Run();

 private:
  asio::awaitable<void> Attempt(SocketAddress router);
  void HandleEvent(const ServerSentEvent& event);
  void HandleUnstreamedResponse(const HttpResponse& head,
                                const std::string& body);

  std::vector<SocketAddress> routers;
  HttpRequest request;
  ChunkHandler on_chunk;
  CallResult result;
  bool is_finished = false;
};

}  // namespace buckthornpath

#endif  // SRC_CLI_RESUMABLE_CALL_H_
