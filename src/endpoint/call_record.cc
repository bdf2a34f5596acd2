/** @file call_record.cc State and answer of a call at an endpoint process. */

#include "endpoint/call_record.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "buckthornpath/outcome_type.h"
#include "wire/ticket.h"

namespace buckthornpath {

namespace {

/** Memory that a chunk takes in addition to its text. */
constexpr std::size_t kChunkOverheadBytes = sizeof(std::string);

CallRefused MakeRefusal(Outcome outcome, const char* reason) {
  CallRefused refusal;
  refusal.outcome = OutcomeName(outcome);
  refusal.reason = reason;
  return refusal;
}

}  // namespace

void CallWaiter::Notify(const std::shared_ptr<CallWaiter>& waiter) {
  asio::post(waiter->strand, [waiter] {
    waiter->notified = true;
    waiter->timer.cancel();
  });
}

asio::awaitable<void> CallWaiter::Wait(std::chrono::milliseconds time) {
  if (!this->notified) {
    this->timer.expires_after(time);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  this->notified = false;
}

bool AnswerMemoryBudget::TryReserve(std::size_t bytes) {
  if (this->reserved.fetch_add(bytes) + bytes <= this->limit)
    return true;
  this->reserved -= bytes;
  return false;
}

bool CallRecord::Bind(const CallRequest& request) {
  const std::string digest =
      Sha256Hex(request.method + " " + request.path + "\n" + request.body);
  const OrderedLock lock(this->mutex);
  if (this->request_digest.empty())
    this->request_digest = digest;
  return this->request_digest == digest;
}

bool CallRecord::TryStart() {
  const OrderedLock lock(this->mutex);
  if (this->machine.Start(BootClock::now() < this->start_deadline))
    return true;
  this->RefuseLocked(MakeRefusal(Outcome::kNotRun, "ticket_expired"));
  return false;
}

bool CallRecord::TryBeginSend() {
  const OrderedLock lock(this->mutex);
  if (this->machine.BeginSend(BootClock::now() < this->start_deadline))
    return true;
  this->RefuseLocked(MakeRefusal(Outcome::kNotRun, "ticket_expired"));
  return false;
}

CallState CallRecord::Cancel() {
  const OrderedLock lock(this->mutex);
  this->cancelled = true;
  if (this->machine.State() != CallState::kRunning)
    this->RefuseLocked(MakeRefusal(Outcome::kNotRun, "cancelled"));
  return this->machine.State();
}

bool CallRecord::IsCancelled() const {
  const OrderedLock lock(this->mutex);
  return this->cancelled;
}

void CallRecord::Append(std::string data) {
  const OrderedLock lock(this->mutex);
  if (this->machine.State() != CallState::kRunning)
    return;
  const std::size_t cost = data.size() + kChunkOverheadBytes;
  if (!this->memory->TryReserve(cost)) {
    this->RefuseLocked(MakeRefusal(Outcome::kRan, "answer_memory_full"));
    return;
  }
  this->reserved_bytes += cost;
  this->answer_bytes += data.size();
  if (!this->first_chunk_time)
    this->first_chunk_time = BootClock::now();
  this->chunks.push_back(std::move(data));
  this->NotifyAll();
}

std::optional<BootClock::time_point> CallRecord::FirstChunkTime() const {
  const OrderedLock lock(this->mutex);
  return this->first_chunk_time;
}

void CallRecord::Finish(std::uint32_t status, std::string content_type) {
  const OrderedLock lock(this->mutex);
  if (!this->machine.Finish())
    return;
  this->finished.chunks = this->chunks.size();
  this->finished.bytes = this->answer_bytes;
  this->finished.status = status;
  this->finished.content_type = std::move(content_type);
  this->NotifyAll();
}

void CallRecord::Refuse(CallRefused refusal) {
  const OrderedLock lock(this->mutex);
  this->RefuseLocked(std::move(refusal));
}

void CallRecord::RefuseLocked(CallRefused refusal) {
  const bool was_sent = this->machine.State() == CallState::kRunning;
  if (!this->machine.Refuse())
    return;
  if (was_sent && refusal.outcome == OutcomeName(Outcome::kNotRun))
    refusal.outcome = OutcomeName(Outcome::kUnknown);
  this->refused = std::move(refusal);
  this->NotifyAll();
}

CallSnapshot CallRecord::Snapshot(std::uint64_t after) const {
  const OrderedLock lock(this->mutex);
  CallSnapshot snapshot;
  snapshot.state = this->machine.State();
  if (after < this->chunks.size()) {
    snapshot.chunks.assign(
        this->chunks.begin() + static_cast<std::ptrdiff_t>(after),
        this->chunks.end());
  }
  snapshot.finished = this->finished;
  snapshot.refused = this->refused;
  return snapshot;
}

void CallRecord::AddWaiter(const std::shared_ptr<CallWaiter>& waiter) {
  const OrderedLock lock(this->mutex);
  std::erase_if(this->waiters, [](const auto& old) { return old.expired(); });
  this->waiters.push_back(waiter);
}

bool CallRecord::HasEnded() const {
  const OrderedLock lock(this->mutex);
  return this->machine.HasEnded();
}

std::uint64_t CallRecord::ChunkCount() const {
  const OrderedLock lock(this->mutex);
  return this->chunks.size();
}

void CallRecord::NotifyAll() {
  for (const auto& waiting : this->waiters) {
    if (auto waiter = waiting.lock())
      CallWaiter::Notify(waiter);
  }
}

}  // namespace buckthornpath
