/** @file sweep_callers.h Callers that record calls and reported outcomes. */

#ifndef TEST_SWEEP_SWEEP_CALLERS_H_
#define TEST_SWEEP_SWEEP_CALLERS_H_

#include <string>

#include "fakes/fake_program.h"
#include "harness/local_fleet.h"

namespace buckthornpath {

/** One caller: makes calls of each kind and retries through other routers. */
class SweepCaller {
 public:
  SweepCaller(const LocalFleet& fleet, HistoryFile& history, std::size_t number)
      : fleet(fleet), history(history), number(number) {}

  /** Makes a number of calls, one after another. */
  void Run(std::size_t calls);

 private:
  /** Sends a call under a ticket and retries at once through other routers. */
  void CallWithTicket(const HttpRequest& request, bool streamed);

  /** Sends a call under one ticket through both routers concurrently. */
  void CallThroughBothRouters(const HttpRequest& request);

  /** Sends a call and cancels it while it may be running. */
  void CallAndCancel(const HttpRequest& request);

  /** Reads a stream in several connections, each through the next router. */
  void CallAndResume(const HttpRequest& request);

  /** Sends a call without a ticket, once. */
  void CallWithoutTicket(const HttpRequest& request,
                         bool streamed,
                         bool repeatable);

  /** @return True if the call was answered or reported as not run. */
  bool Attempt(const SocketAddress& router,
               const HttpRequest& request,
               bool streamed);
  bool AttemptPlain(const SocketAddress& router, const HttpRequest& request);
  bool AttemptStream(const SocketAddress& router, const HttpRequest& request);

  void RecordInvocation(const HttpRequest& request,
                        bool streamed,
                        bool repeatable);
  void RecordOutcome(const HttpRequest& request, const std::string& outcome);

  /** @return A ticket, or empty if no attempt succeeded. */
  std::string IssueTicket(const std::string& profile);
  SocketAddress NextRouter();

  const LocalFleet& fleet;
  HistoryFile& history;
  std::size_t number;
  std::size_t next_router = 0;
};

}  // namespace buckthornpath

#endif  // TEST_SWEEP_SWEEP_CALLERS_H_
