/** @file drain.h Graceful shutdown. */

#ifndef SRC_DAEMON_DRAIN_H_
#define SRC_DAEMON_DRAIN_H_

#include <atomic>
#include <chrono>

#include "kernel/role.h"

namespace buckthornpath {

/** Exit codes of the daemon. */
enum class ExitCode { kDrained = 0, kFault = 1, kCutOff = 3 };

/**
 * Ends a process once all calls in flight have been answered. Only a second
 * signal or the drain timeout cuts a call off.
 */
class Drain {
 public:
  Drain(WorkerPool& pool, Role& role, std::chrono::milliseconds limit)
      : pool(pool), role(role), limit(limit) {}

  /** Begins the drain; a further request changes nothing. */
  void Request();

  /** Begins the drain; a second signal cuts off what is in flight. */
  void Signal();

  /** @return How the process ended. */
  ExitCode Result() const { return this->result; }

 private:
  using Clock = std::chrono::steady_clock;

  asio::awaitable<void> Run();

  /** Waits for calls in flight. @return False if they took too long. */
  asio::awaitable<bool> AwaitCalls(Clock::time_point deadline);

  /**
   * Waits until no exchange has been open for a while.
   * @return False if that took too long.
   */
  asio::awaitable<bool> AwaitQuiet(Clock::time_point deadline);

  /** Ends the process and says which calls are cut off. */
  void CutOff(const char* reason);

  WorkerPool& pool;
  Role& role;
  std::chrono::milliseconds limit;
  std::atomic<bool> requested = false;
  std::atomic<int> signals = 0;
  std::atomic<ExitCode> result = ExitCode::kDrained;
};

}  // namespace buckthornpath

#endif  // SRC_DAEMON_DRAIN_H_
