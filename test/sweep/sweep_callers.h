/** @file sweep_callers.h Callers that note what they asked and were told. */

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
  /** A call under a ticket, retried through the other routers at once. */
  void CallWithTicket(const HttpRequest& request, bool streamed);

  /** One ticket through both routers at the same time. */
  void CallAtOnce(const HttpRequest& request);

  /** A call that its caller cancels while it may be running. */
  void CallAndCancel(const HttpRequest& request);

  /** Reads a stream in pieces, each through the next router. */
  void CallAndResume(const HttpRequest& request);

  /** A call without a ticket, never retried unless it is repeatable. */
  void CallWithoutTicket(const HttpRequest& request,
                         bool streamed,
                         bool repeatable);

  /** @return True if the call is settled. */
  bool TryOnce(const SocketAddress& router,
               const HttpRequest& request,
               bool streamed);
  bool TryPlain(const SocketAddress& router, const HttpRequest& request);
  bool TryStream(const SocketAddress& router, const HttpRequest& request);

  void NoteInvoke(const HttpRequest& request, bool streamed, bool repeatable);
  void NoteTold(const HttpRequest& request, const std::string& outcome);

  /** @return A ticket, or empty if none was to be had. */
  std::string MintTicket(const std::string& profile);
  SocketAddress NextRouter();

  const LocalFleet& fleet;
  HistoryFile& history;
  std::size_t number;
  std::size_t next_router = 0;
};

}  // namespace buckthornpath

#endif  // TEST_SWEEP_SWEEP_CALLERS_H_
