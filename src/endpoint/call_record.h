/** @file call_record.h State and answer of a call at an endpoint process. */

#ifndef SRC_ENDPOINT_CALL_RECORD_H_
#define SRC_ENDPOINT_CALL_RECORD_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/call_state_machine.h"
#include "kernel/boot_clock.h"
#include "kernel/lock_order.h"
#include "kernel/worker_pool.h"
#include "wire/message_type.h"

namespace buckthornpath {

/** Memory budget that all records of one table share; thread-safe. */
class AnswerMemoryBudget {
 public:
  explicit AnswerMemoryBudget(std::size_t limit) : limit(limit) {}

  /** @return False, with nothing reserved, if the limit would be exceeded. */
  bool TryReserve(std::size_t bytes);
  void Release(std::size_t bytes) { this->reserved -= bytes; }

  std::size_t Reserved() const { return this->reserved; }
  std::size_t Limit() const { return this->limit; }

 private:
  std::size_t limit;
  std::atomic<std::size_t> reserved = 0;
};

/** Copy of a record's content at one moment. */
struct CallSnapshot {
  CallState state = CallState::kAdmitted;
  std::vector<std::string> chunks;  ///< After the requested sequence number.
  CallFinished finished;
  CallRefused refused;
};

/** Notifies a coroutine that waits for changes of a call. */
class CallWaiter {
 public:
  explicit CallWaiter(const Strand& strand) : strand(strand), timer(strand) {}

  /** Resumes the waiting coroutine; callable from any thread. */
  static void Notify(const std::shared_ptr<CallWaiter>& waiter);

  /** Waits on the strand until notified or until the time has passed. */
  asio::awaitable<void> Wait(std::chrono::milliseconds time);

 private:
  Strand strand;
  asio::steady_timer timer;
  bool notified = false;
};

/** State and answer of one call, shared by all connections that request it;
 * thread-safe. */
class CallRecord {
 public:
  /**
   * @param start_deadline Time at which its ticket expires.
   * @param memory Budget that the answer's bytes are taken from.
   */
  CallRecord(BootClock::time_point start_deadline,
             std::shared_ptr<AnswerMemoryBudget> memory)
      : start_deadline(start_deadline), memory(std::move(memory)) {}
  ~CallRecord() { this->memory->Release(this->reserved_bytes); }
  CallRecord(const CallRecord&) = delete;
  CallRecord& operator=(const CallRecord&) = delete;

  /**
   * Binds the record to the digest of the first request with its ticket.
   * @return False if it is bound to a different request.
   */
  bool Bind(const CallRequest& request);

  /**
   * Starts the call.
   * @return False if the call has ended or its ticket has expired; an expired
   *     call is refused.
   */
  bool TryStart();

  /**
   * Marks the request as sent to the engine. Called immediately before the
   * first byte is written, because from then on the engine may run it.
   * @return False if the request must not be sent; the call has ended then.
   */
  bool TryBeginSend();

  /**
   * Ends a call whose request has not been sent to the engine; otherwise
   * requests the running call to stop.
   * @return The state afterwards.
   */
  CallState Cancel();

  /** @return True if Cancel() has been called. */
  bool IsCancelled() const;

  /** Adds a chunk of the answer; ends the call if the budget is used up. */
  void Append(std::string data);

  /** @return Time of the first chunk, if there is one. */
  std::optional<BootClock::time_point> FirstChunkTime() const;

  /** Ends the call with a complete answer. */
  void Finish(std::uint32_t status, std::string content_type);

  /**
   * Ends the call without a complete answer, unless it has ended already. If
   * the request has been sent to the engine, the outcome `not_run` is replaced
   * by `unknown`.
   */
  void Refuse(CallRefused refusal);

  /** @param after Sequence number; chunks up to it are left out. */
  CallSnapshot Snapshot(std::uint64_t after) const;

  /** Adds a waiter to notify at each change; held weakly. */
  void AddWaiter(const std::shared_ptr<CallWaiter>& waiter);

  bool HasEnded() const;

  std::uint64_t ChunkCount() const;

 private:
  /** @pre The mutex is held. */
  void RefuseLocked(CallRefused refusal);
  void NotifyAll();

  mutable OrderedMutex mutex{LockRank::kCallRecord};
  CallStateMachine machine;
  std::string request_digest;  ///< Empty until the request has arrived.
  bool cancelled = false;
  const BootClock::time_point start_deadline;
  const std::shared_ptr<AnswerMemoryBudget> memory;
  std::vector<std::string> chunks;
  std::optional<BootClock::time_point> first_chunk_time;
  std::size_t reserved_bytes = 0;  ///< Of `memory`.
  std::size_t answer_bytes = 0;
  CallFinished finished;
  CallRefused refused;
  std::vector<std::weak_ptr<CallWaiter>> waiters;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_CALL_RECORD_H_
