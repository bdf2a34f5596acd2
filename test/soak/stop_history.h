/** @file stop_history.h Judges requests around planned stops of gateways. */

#ifndef TEST_SOAK_STOP_HISTORY_H_
#define TEST_SOAK_STOP_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/soak_history.h"

namespace buckthornpath {

/** Time from SIGTERM to SIGKILL on the platform. */
inline constexpr std::chrono::milliseconds kStopGrace{8000};

/** Time that a caller allows for a chat, and for other requests. */
inline constexpr std::chrono::milliseconds kChatDeadline{10000};
inline constexpr std::chrono::milliseconds kPlainDeadline{2500};

/** Kinds of request of the planned-stop soak. */
inline constexpr const char* kChatPrefix = "chat-";    ///< Resumable stream.
inline constexpr const char* kDraftPrefix = "draft-";  ///< Runs at most once.

/** @return True if a request with this id is answered by a stream. */
bool IsStream(const std::string& id);

/** Number of the last event of a complete stream: the number at the end of the
 * request's id. */
int LastEventOf(const std::string& id);

/**
 * Thread-safe record of requests, of what endpoints did for them, and of the
 * stops of gateways. There are no faults but those that endpoints may have, so
 * a request that ends without a whole answer needs an excuse that the platform
 * allows.
 */
class StopHistory {
 public:
  using Clock = std::chrono::steady_clock;

  /** Records that a request has reached an endpoint. */
  void RecordArrival(const std::string& id, const std::string& endpoint);

  /** Records that an endpoint works on a request at this time. */
  void RecordWork(const std::string& id);

  /** Records that an endpoint has ended the last run of a request. */
  void RecordEnd(const std::string& id);

  /** Records that an endpoint refuses a request as not run. */
  void RecordRefusal(const std::string& id);

  /** Records what the caller of a request has seen. Sorts out requests that it
   * has given up. */
  void RecordOutcome(const CallOutcome& outcome);

  void RecordStop(std::size_t gateway);

  /** Records that a gateway has ended. @param exit_code -1: by a signal, which
   * is right only before it handles signals. */
  void RecordExit(std::size_t gateway, int exit_code, bool was_starting);

  /** @return Counts, and one text for each request that was lost. */
  SoakResult Finish();

 private:
  struct Work {
    std::vector<std::string> endpoints;  ///< Of all runs, in order.
    Clock::time_point last_at{};         ///< Latest event of any endpoint.
    int refusals = 0;
    bool has_ended = false;
  };
  struct Ended {
    CallOutcome outcome;
    Clock::time_point at;
  };

  void CheckAnswer(const CallOutcome& outcome);
  void CheckLost(const Ended& ended);

  /** @return Latest stop of a gateway before a time; zero if there is none. */
  Clock::time_point StopBefore(std::size_t gateway, Clock::time_point time);

  std::mutex mutex;
  SoakResult result;
  std::map<std::string, Work> work;
  std::map<std::size_t, std::vector<Clock::time_point>> stops;
  std::vector<Ended> unanswered;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_STOP_HISTORY_H_
