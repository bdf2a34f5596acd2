/** @file drain.h Graceful shutdown. */

#ifndef SRC_DAEMON_DRAIN_H_
#define SRC_DAEMON_DRAIN_H_

#include <atomic>
#include <chrono>

#include "kernel/role.h"

namespace buckthornpath {

/** Exit codes of the daemon. */
enum class ExitCode { kDrained = 0, kFault = 1, kCutOff = 3 };

/** Ends a process once all calls in flight have been answered. */
class Drain {
 public:
  Drain(WorkerPool& pool, Role& role, std::chrono::milliseconds limit)
      : pool(pool), role(role), limit(limit) {}

  /** Begins; a second request cuts off what is still in flight. */
  void Request();

  /** @return How the process ended. */
  ExitCode Result() const { return this->result; }

 private:
  asio::awaitable<void> WaitUntilIdle();

  /** Ends the process and says how many calls are cut off. */
  void CutOff(const char* reason);

  WorkerPool& pool;
  Role& role;
  std::chrono::milliseconds limit;
  std::atomic<bool> requested = false;
  std::atomic<ExitCode> result = ExitCode::kDrained;
};

}  // namespace buckthornpath

#endif  // SRC_DAEMON_DRAIN_H_
