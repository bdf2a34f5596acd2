/** @file wake_signal.h Event that a coroutine can wait for. */

#ifndef SRC_GATEWAY_WAKE_SIGNAL_H_
#define SRC_GATEWAY_WAKE_SIGNAL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "kernel/worker_pool.h"

namespace buckthornpath {

/** Auto-reset event for a single waiting coroutine. Not thread-safe. */
class WakeSignal {
 public:
  explicit WakeSignal(const asio::any_io_executor& executor)
      : timer(executor) {}

  /** Wakes the waiting coroutine, or the next one that waits. */
  void Set() {
    this->is_set = true;
    this->timer.cancel();
  }

  /** Waits until Set(). */
  asio::awaitable<void> Wait() {
    co_await this->WaitUntil(std::chrono::steady_clock::time_point::max());
  }

  /** Waits until Set() or a deadline. @return False if the deadline passed. */
  asio::awaitable<bool> WaitUntil(
      std::chrono::steady_clock::time_point deadline) {
    if (!this->is_set) {
      this->timer.expires_at(deadline);
      co_await this->timer.async_wait(kAwaitResult);
    }
    const bool was_set = this->is_set;
    this->is_set = false;
    co_return was_set;
  }

 private:
  asio::steady_timer timer;
  bool is_set = false;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_WAKE_SIGNAL_H_
