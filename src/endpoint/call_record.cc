/** @file call_record.cc One call's state and answer at an endpoint process. */

#include "endpoint/call_record.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthornpath {

void CallWaiter::Wake(const std::shared_ptr<CallWaiter>& waiter) {
  asio::post(waiter->strand, [waiter] {
    waiter->woken = true;
    waiter->timer.cancel();
  });
}

asio::awaitable<void> CallWaiter::Wait(std::chrono::milliseconds time) {
  if (!this->woken) {
    this->timer.expires_after(time);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  this->woken = false;
}

bool CallRecord::TryStart() {
  const OrderedLock lock(this->mutex);
  if (this->state != CallState::kAdmitted)
    return false;
  this->state = CallState::kRunning;
  return true;
}

void CallRecord::Append(std::string data) {
  const OrderedLock lock(this->mutex);
  if (this->state != CallState::kRunning)
    return;
  this->bytes += data.size();
  this->chunks.push_back(std::move(data));
  this->WakeAll();
}

void CallRecord::Finish(std::uint32_t status, std::string content_type) {
  const OrderedLock lock(this->mutex);
  if (this->state != CallState::kRunning)
    return;
  this->state = CallState::kFinished;
  this->finished.chunks = this->chunks.size();
  this->finished.bytes = this->bytes;
  this->finished.status = status;
  this->finished.content_type = std::move(content_type);
  this->WakeAll();
}

void CallRecord::Refuse(CallRefused refusal) {
  const OrderedLock lock(this->mutex);
  if (this->state == CallState::kFinished ||
      this->state == CallState::kRefused) {
    return;
  }
  this->state = CallState::kRefused;
  this->refused = std::move(refusal);
  this->WakeAll();
}

CallView CallRecord::View(std::uint64_t after) const {
  const OrderedLock lock(this->mutex);
  CallView view;
  view.state = this->state;
  if (after < this->chunks.size()) {
    view.chunks.assign(
        this->chunks.begin() + static_cast<std::ptrdiff_t>(after),
        this->chunks.end());
  }
  view.finished = this->finished;
  view.refused = this->refused;
  return view;
}

void CallRecord::AddWaiter(const std::shared_ptr<CallWaiter>& waiter) {
  const OrderedLock lock(this->mutex);
  std::erase_if(this->waiters, [](const auto& old) { return old.expired(); });
  this->waiters.push_back(waiter);
}

bool CallRecord::HasEnded() const {
  const OrderedLock lock(this->mutex);
  return this->state == CallState::kFinished ||
         this->state == CallState::kRefused;
}

std::size_t CallRecord::Bytes() const {
  const OrderedLock lock(this->mutex);
  return this->bytes;
}

void CallRecord::WakeAll() {
  for (const auto& waiting : this->waiters) {
    if (auto waiter = waiting.lock())
      CallWaiter::Wake(waiter);
  }
}

}  // namespace buckthornpath
