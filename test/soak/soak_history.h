/** @file soak_history.h What callers and endpoints saw, and the verdict. */

#ifndef TEST_SOAK_SOAK_HISTORY_H_
#define TEST_SOAK_SOAK_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/soak_run.h"

namespace buckthornpath {

/** Kinds of request that the soak sends; the kind begins the request's id. */
inline constexpr const char* kOnce = "once-";    ///< May run once.
inline constexpr const char* kMany = "many-";    ///< May be repeated.
inline constexpr const char* kTalk = "talk-";    ///< A stream that resumes.
inline constexpr const char* kKnown = "known-";  ///< On a route added later.
inline constexpr const char* kLeft = "left-";    ///< Its caller leaves.

/** Events of a stream. */
inline constexpr int kEvents = 6;

/** Bound of the platform on an endpoint that leaves. */
inline constexpr std::chrono::milliseconds kDrainTime{2000};

/** Retries that the gateways are set to: a share of the requests in percent,
 * and what may be saved up. */
inline constexpr int kRetryPercent = 5;
inline constexpr int kRetrySlack = 8;

/** Log bytes a second that each gateway is set to. */
inline constexpr std::uint64_t kLogBytes = 16000;

/** How one request ended for its caller. */
struct CallerEnd {
  std::string id;
  std::size_t gateway = 0;
  std::uint64_t version = 0;  ///< Of its route; 0 if it was always there.
  std::chrono::steady_clock::time_point sent_at;
  unsigned status = 0;     ///< 0: no head of an answer came.
  bool is_whole = false;   ///< The answer ended as complete.
  bool is_silent = false;  ///< Nothing came within the caller's patience.
  std::string body;
};

/** Collects what was seen from outside; the only source of a verdict. */
class SoakHistory {
 public:
  using Clock = std::chrono::steady_clock;

  void NoteRun(const std::string& id,
               const std::string& organisation,
               bool has_key,
               const std::string& endpoint);
  void NoteEnd(const CallerEnd& end);
  void NoteFault();

  /** Notes that an endpoint begins to leave, or is back. */
  void NoteLeaving(const std::string& endpoint, bool leaves);

  /** Notes that a gateway was killed, or has been started again. */
  void NoteKill(std::size_t gateway);
  void NoteStart(std::size_t gateway);

  /** Notes that the store has acknowledged a configuration. */
  void NoteVersion(std::uint64_t version);
  std::uint64_t NewestVersion();

  /** Notes that a caller left, and when the endpoint knew of it. */
  void NoteCallerLeft(const std::string& id);
  void NoteWorkStopped(const std::string& id);

  /** Notes the memory of one gateway. */
  void NoteMemory(std::size_t gateway, std::uint64_t bytes);

  /** Checks the bytes that a gateway has logged since a time. */
  void CheckLog(std::size_t gateway,
                std::uint64_t bytes,
                Clock::time_point since);

  void Violate(const std::string& text);

  /** @return All that was found; call it once everything has ended. */
  SoakResult Finish();

 private:
  void CheckRoute(const CallerEnd& end);
  void CheckSuccess(const CallerEnd& end);
  void CheckStream(const CallerEnd& end);
  void CheckRuns();
  void CheckLost();
  void CheckRetries();
  void CheckDepartures();
  bool WasKilled(std::size_t gateway,
                 Clock::time_point from,
                 Clock::time_point to) const;

  std::mutex mutex;
  SoakResult result;
  std::map<std::string, int> runs;
  std::map<std::string, std::string> service_of;  ///< By request id.
  std::map<std::string, Clock::time_point> left_at;
  std::map<std::uint64_t, Clock::time_point> versions;
  /** Greatest version that the process of a gateway was seen to know. */
  std::map<std::size_t, std::uint64_t> known;
  std::map<std::size_t, Clock::time_point> started;
  int starts = 0;
  std::vector<std::pair<std::size_t, Clock::time_point>> kills;
  std::vector<std::pair<CallerEnd, Clock::time_point>> unanswered;
  std::vector<std::string> refused;
  std::map<std::string, Clock::time_point> callers_left;
  std::map<std::string, Clock::time_point> work_stopped;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_SOAK_HISTORY_H_
