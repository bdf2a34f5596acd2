/** @file answer_follower.h Follows an answer through several routers. */

#ifndef SRC_CLI_ANSWER_FOLLOWER_H_
#define SRC_CLI_ANSWER_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kernel/http_client.h"
#include "wire/event_stream.h"

namespace buckthornpath {

/** What became of a call. */
struct FollowedAnswer {
  bool complete = false;
  std::string outcome = "unknown";  ///< As the fleet says; see outcome_type.h.
  std::string problem;              ///< Problem document, or empty.
  std::string fault;                ///< Why the last connection was lost.
  std::uint64_t chunks = 0;
  std::size_t resumed = 0;  ///< Connections after the first.
  SocketAddress router;     ///< The last one used.
  std::string location;     ///< Hint to be returned with the next call.
};

/** Sends one call under a ticket; goes on with another router if one fails. */
class AnswerFollower {
 public:
  using ChunkHandler = std::function<void(const std::string& data)>;

  /**
   * @param request The call, with its ticket as `Idempotency-Key`.
   * @param on_chunk Given each piece of the answer, once and in order.
   * @pre There is a router.
   */
  AnswerFollower(std::vector<SocketAddress> routers,
                 HttpRequest request,
                 ChunkHandler on_chunk)
      : routers(std::move(routers)),
        request(std::move(request)),
        on_chunk(std::move(on_chunk)) {}

  /** Follows the answer to its end, or until every router failed in vain. */
  asio::awaitable<FollowedAnswer> Run();

 private:
  asio::awaitable<void> Attempt(SocketAddress router);
  void ReadEvent(const ServerSentEvent& event);
  void ReadWhole(const HttpResponse& head, const std::string& body);

  std::vector<SocketAddress> routers;
  HttpRequest request;
  ChunkHandler on_chunk;
  FollowedAnswer answer;
  bool ended = false;
};

}  // namespace buckthornpath

#endif  // SRC_CLI_ANSWER_FOLLOWER_H_
