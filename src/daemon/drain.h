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
 * Ends a process once all calls in flight have been answered. Only an
 * interrupt during the drain or the drain timeout cuts a call off.
 */
class Drain {
 public:
  Drain(WorkerPool& pool, Role& role, std::chrono::milliseconds limit)
      : pool(pool), role(role), limit(limit) {}

  /** Begins the drain; a further request changes nothing. */
  void Request();

  /** Begins the drain; once it has begun, cuts off what is in flight. */
  void Interrupt();

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
  std::atomic<ExitCode> result = ExitCode::kDrained;
};

}  // namespace buckthornpath

#endif  // SRC_DAEMON_DRAIN_H_
