/** @file cancellable_timer.h Timer that can be cancelled reliably. */

#ifndef SRC_GATEWAY_CANCELLABLE_TIMER_H_
#define SRC_GATEWAY_CANCELLABLE_TIMER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "kernel/worker_pool.h"

namespace buckthornpath {

/**
 * Calls a handler at a given time. The handler never runs after Cancel().
 * Asio's own cancel() does not withdraw a handler whose timer has expired and
 * that is already queued, as happens after a suspension of the process.
 * Not thread-safe.
 */
class CancellableTimer {
 public:
  using Clock = std::chrono::steady_clock;

  explicit CancellableTimer(const asio::any_io_executor& executor)
      : timer(executor) {}
  ~CancellableTimer() { this->Cancel(); }
  CancellableTimer(const CancellableTimer&) = delete;
  CancellableTimer& operator=(const CancellableTimer&) = delete;

  /** Schedules a handler; one that was scheduled before is cancelled. */
  void Set(Clock::time_point time, std::function<void()> handler) {
    this->Cancel();
    this->pending = std::make_shared<std::function<void()>>(std::move(handler));
    this->timer.expires_at(time);
    this->timer.async_wait([pending = std::weak_ptr(this->pending)](
                               const boost::system::error_code& error) {
      const auto handler = pending.lock();
      if (!error && handler)
        (*handler)();
    });
  }

  void Cancel() {
    this->pending.reset();
    this->timer.cancel();
  }

 private:
  asio::steady_timer timer;
  std::shared_ptr<std::function<void()>> pending;  ///< Null once cancelled.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_CANCELLABLE_TIMER_H_
