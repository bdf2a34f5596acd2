/** @file drain.h Graceful shutdown of a process. */

#ifndef SRC_DAEMON_DRAIN_H_
#define SRC_DAEMON_DRAIN_H_

#include <atomic>
#include <chrono>

#include "kernel/role.h"

namespace buckthornpath {

/** Exit codes of the daemon. */
enum class ExitCode {
  kDrained = 0,
  kError = 1,  ///< Unknown role, invalid settings, or an exception.
  kForced = 3  ///< Calls in flight were cut off.
};

/**
 * Ends a process once all calls in flight have been answered. Calls are cut off
 * only on an interrupt (SIGINT) during the drain, or shortly before the drain
 * timeout.
 */
class Drain {
 public:
  Drain(WorkerPool& pool, Role& role, std::chrono::milliseconds timeout)
      : pool(pool), role(role), timeout(timeout) {}

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
   * Waits until there has been no call and no open exchange for kMinIdleTime.
   * @return False if the deadline passed first.
   */
  asio::awaitable<bool> AwaitIdle(Clock::time_point deadline);

  /** Logs the calls in flight, has them answered where the role can do so, and
   * ends the process. */
  asio::awaitable<void> CutOff(const char* reason);

  /** @return Time that is reserved for these answers. */
  std::chrono::milliseconds CutOffTime() const;

  WorkerPool& pool;
  Role& role;
  std::chrono::milliseconds timeout;
  std::atomic<bool> is_requested = false;
  std::atomic<bool> is_cutting_off = false;
  std::atomic<ExitCode> result = ExitCode::kDrained;
};

}  // namespace buckthornpath

#endif  // SRC_DAEMON_DRAIN_H_
