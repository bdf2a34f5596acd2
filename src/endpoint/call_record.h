/** @file call_record.h One call's state and answer at an endpoint process. */

#ifndef SRC_ENDPOINT_CALL_RECORD_H_
#define SRC_ENDPOINT_CALL_RECORD_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/boot_clock.h"
#include "kernel/lock_order.h"
#include "kernel/worker_pool.h"
#include "wire/message_type.h"

namespace buckthornpath {

/** Where a call stands. */
enum class CallState {
  kAdmitted,  ///< It may run; nothing has left for the engine.
  kRunning,   ///< Its request may have reached the engine.
  kFinished,  ///< Its answer is whole.
  kRefused,   ///< It ended without a whole answer; see the refusal.
};

/** A copy of what a record held at one moment. */
struct CallView {
  CallState state = CallState::kAdmitted;
  std::vector<std::string> chunks;  ///< Those after the one asked for.
  CallFinished finished;
  CallRefused refused;
};

/** Wakes a dialogue that waits for news of a call. */
class CallWaiter {
 public:
  explicit CallWaiter(const Strand& strand) : strand(strand), timer(strand) {}

  /** Wakes the waiting coroutine; from any thread. */
  static void Wake(const std::shared_ptr<CallWaiter>& waiter);

  /** Waits on the strand until woken or until the time is over. */
  asio::awaitable<void> Wait(std::chrono::milliseconds time);

 private:
  Strand strand;
  asio::steady_timer timer;
  bool woken = false;
};

/** One call; every dialogue that asks for it reads the same answer. */
class CallRecord {
 public:
  /** Moves from kAdmitted to kRunning. @return False if it may not run. */
  bool TryStart();

  /** Adds a piece of the answer. */
  void Append(std::string data);

  /** Ends the call with a whole answer. */
  void Finish(std::uint32_t status, std::string content_type);

  /** Ends the call without one, unless it has ended already. */
  void Refuse(CallRefused refusal);

  /** @return The state and the chunks after a sequence number. */
  CallView View(std::uint64_t after) const;

  /** Asks to be woken at each change from now on. */
  void AddWaiter(const std::shared_ptr<CallWaiter>& waiter);

  /** @return True once the call has ended. */
  bool HasEnded() const;

  /** @return Bytes held. */
  std::size_t Bytes() const;

 private:
  void WakeAll();

  mutable OrderedMutex mutex{LockRank::kOutcomeRecord};
  CallState state = CallState::kAdmitted;
  std::vector<std::string> chunks;
  std::size_t bytes = 0;
  CallFinished finished;
  CallRefused refused;
  std::vector<std::weak_ptr<CallWaiter>> waiters;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_CALL_RECORD_H_
