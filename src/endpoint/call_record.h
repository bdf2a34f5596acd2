/** @file call_record.h One call's state and answer at an endpoint process. */

#ifndef SRC_ENDPOINT_CALL_RECORD_H_
#define SRC_ENDPOINT_CALL_RECORD_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/call_machine.h"
#include "kernel/boot_clock.h"
#include "kernel/lock_order.h"
#include "kernel/worker_pool.h"
#include "wire/message_type.h"

namespace buckthornpath {

/** Bytes that the records of one table hold together. */
class AnswerMemory {
 public:
  explicit AnswerMemory(std::size_t limit) : limit(limit) {}

  /** @return False, and nothing taken, if that would pass the limit. */
  bool TryTake(std::size_t bytes);
  void Give(std::size_t bytes) { this->held -= bytes; }

  std::size_t Held() const { return this->held; }
  std::size_t Limit() const { return this->limit; }

 private:
  std::size_t limit;
  std::atomic<std::size_t> held = 0;
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
  /**
   * @param start_by Time at which its ticket expires.
   * @param memory Where the answer's bytes are counted.
   */
  CallRecord(BootClock::time_point start_by,
             std::shared_ptr<AnswerMemory> memory)
      : start_by(start_by), memory(std::move(memory)) {}
  ~CallRecord() { this->memory->Give(this->bytes); }
  CallRecord(const CallRecord&) = delete;
  CallRecord& operator=(const CallRecord&) = delete;

  /**
   * Ties the record to a request.
   * @return False if it is tied to another.
   */
  bool Bind(const CallRequest& request);

  /**
   * Takes the call's turn.
   * @return False if it may not run; it has ended then.
   */
  bool TryStart();

  /**
   * Says that the request is about to leave for the engine; called last thing
   * before it does.
   * @return False if it must not leave; the call has ended then.
   */
  bool TryLeave();

  /**
   * Ends a call that has not left; one that has is asked to stop.
   * @return Its state afterwards.
   */
  CallState Cancel();

  /** @return True if a running call is to stop. */
  bool IsCancelled() const;

  /** Adds a piece of the answer; ends the call if there is no room for it. */
  void Append(std::string data);

  /** @return Time of the first piece of the answer, if there is one. */
  std::optional<BootClock::time_point> FirstChunkAt() const;

  /** Ends the call with a whole answer. */
  void Finish(std::uint32_t status, std::string content_type);

  /**
   * Ends the call without one, unless it has ended already. A call that has
   * left for the engine is never refused as `not_run`, but as `unknown`.
   */
  void Refuse(CallRefused refusal);

  /** @return The state and the chunks after a sequence number. */
  CallView View(std::uint64_t after) const;

  /** Asks to be woken at each change from now on. */
  void AddWaiter(const std::shared_ptr<CallWaiter>& waiter);

  /** @return True once the call has ended. */
  bool HasEnded() const;

  /** @return Number of chunks so far. */
  std::uint64_t ChunkCount() const;

 private:
  /** @pre The mutex is held. */
  void RefuseLocked(CallRefused refusal);
  void WakeAll();

  mutable OrderedMutex mutex{LockRank::kOutcomeRecord};
  CallMachine machine;
  std::string request_digest;  ///< Empty until the request has arrived.
  bool cancelled = false;
  const BootClock::time_point start_by;
  const std::shared_ptr<AnswerMemory> memory;
  std::vector<std::string> chunks;
  std::optional<BootClock::time_point> first_chunk_at;
  std::size_t bytes = 0;  ///< Taken from the memory.
  std::size_t answer_bytes = 0;
  CallFinished finished;
  CallRefused refused;
  std::vector<std::weak_ptr<CallWaiter>> waiters;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_CALL_RECORD_H_
