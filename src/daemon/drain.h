/** @file drain.h Graceful shutdown of a process. */

#ifndef SRC_DAEMON_DRAIN_H_
#define SRC_DAEMON_DRAIN_H_

#include <atomic>
#include <chrono>

#include "kernel/role.h"

namespace buckthornpath {

/** Exit codes of the daemon. */
enum class ExitCode { kDrained = 0, kFault = 1, kCutOff = 3 };

/**
 * Ends a process once all calls in flight have been answered. Calls are cut off
 * only on an interrupt (SIGINT) during the drain or on the drain timeout.
 */
class Drain {
 public:
  Drain(WorkerPool& pool, Role& role, std::chrono::milliseconds limit)
      : pool(pool), role(role), limit(limit) {}

  /** Begins the drain; has no effect if it has begun already. */
  void Request();

  /** Begins the drain; if it has begun already, cuts off calls in flight. */
  void Interrupt();

  /** @return Exit code of the process; valid after the pool has stopped. */
  ExitCode Result() const { return this->result; }

 private:
  using Clock = std::chrono::steady_clock;

  asio::awaitable<void> Run();

  /** Waits for calls in flight. @return False if the deadline passed first. */
  asio::awaitable<bool> AwaitCalls(Clock::time_point deadline);

  /**
   * Waits until there has been no call and no open exchange for kQuietTime.
   * @return False if the deadline passed first.
   */
  asio::awaitable<bool> AwaitQuiet(Clock::time_point deadline);

  /** Logs the calls in flight, which are cut off, and ends the process. */
  void CutOff(const char* reason);

  WorkerPool& pool;
  Role& role;
  std::chrono::milliseconds limit;
  std::atomic<bool> requested = false;
  std::atomic<ExitCode> result = ExitCode::kDrained;
};

}  // namespace buckthornpath

#endif  // SRC_DAEMON_DRAIN_H_
