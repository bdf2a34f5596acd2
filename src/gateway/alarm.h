/** @file alarm.h A timer whose handler never runs once it is cancelled. */

#ifndef SRC_GATEWAY_ALARM_H_
#define SRC_GATEWAY_ALARM_H_

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
class Alarm {
 public:
  using Clock = std::chrono::steady_clock;

  explicit Alarm(const asio::any_io_executor& executor) : timer(executor) {}
  ~Alarm() { this->Cancel(); }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

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

#endif  // SRC_GATEWAY_ALARM_H_
