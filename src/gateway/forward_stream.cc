/** @file forward_stream.cc Relays the event stream of a request. */

#include <algorithm>
#include <utility>

#include "gateway/forward_session.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** A stream without data for this multiple of the route's gap target, and for
 * at least kMinStallTimeout, is resumed at another endpoint. */
constexpr int kStallGapMultiple = 4;
constexpr milliseconds kMinStallTimeout{700};

/** Interval at which a stalled stream that cannot move on yet is looked at. */
constexpr milliseconds kStallCheckInterval{200};

/** Limit of one event; a stream that exceeds it sends no events. */
constexpr std::size_t kMaxEventBytes = std::size_t{128} * 1024;

}  // namespace

asio::awaitable<bool> ForwardSession::RelayChunk(unsigned status,
                                                 std::string_view chunk) {
  if (this->is_head_sent) {
    co_await this->exchange.SendChunk(chunk);
  } else if (!chunk.empty()) {
    this->is_head_sent = true;
    this->record.RecordStatus(status);
    const HeaderFieldList fields = this->ResponseFields();
    co_await this->exchange.BeginStream(status, fields, chunk);
  }
  co_return !this->exchange.IsDisconnected();
}

bool ForwardSession::CanResume() const {
  const auto queue = this->state.queues.find(this->request.service);
  return this->attempts < this->request.route->max_attempts &&
         this->TimeLeft() >= kMinTimeLeft &&
         !this->state.quarantine.IsSuspect(this->request.signature,
                                           Clock::now()) &&
         queue != this->state.queues.end() &&
         queue->second.retry_budget.CanTake();
}

milliseconds ForwardSession::StallTimeout() const {
  return std::max(kMinStallTimeout,
                  this->request.route->target_event_gap * kStallGapMultiple);
}

void ForwardSession::WatchForStall(CancellableTimer& timer, milliseconds time) {
  timer.Set(Clock::now() + time, [this, &timer] {
    if (this->CanResume()) {
      std::vector<EndpointId> excluded = this->excluded_endpoints;
      excluded.push_back(this->reservation.Endpoint()->Entry().id);
      this->next_reservation = this->TryReserve(excluded);
    }
    // A slow stream is better than none.
    if (this->next_reservation) {
      this->RecordSilence("");
      this->is_stalled = true;
      this->connection->Close();
    } else {
      this->RecordSilence(this->CanResume() ? "no_room" : "not_resumable");
      this->WatchForStall(timer, kStallCheckInterval);
    }
  });
}

void ForwardSession::RecordSilence(const char* reason) {
  if (this->silence_reason == reason)
    return;
  this->silence_reason = reason;
  const bool stays = *reason != '\0';
  LogLine(LogLevel::kInfo, "stream_silent",
          {{"request", this->request.metadata.request_id},
           {"endpoint", this->reservation.Endpoint()->Entry().id},
           {"silent_ms", Elapsed(this->progress_at, Clock::now()).count()},
           {"events", this->AttemptEvents()},
           {"choice", stays ? "stay" : "move"},
           {"reason", reason}});
}

asio::awaitable<AttemptResult> ForwardSession::RelayStream(unsigned status) {
  const bool may_resume = this->request.route->IsRetryable();
  CancellableTimer stall_timer(this->state.executor);
  if (may_resume)
    this->WatchForStall(stall_timer, this->StallTimeout());
  std::string chunk;
  bool is_proven = false;
  do {
    if (co_await this->connection->ReadBody(chunk))
      co_return AttemptResult::kBroken;
    const std::size_t events_before = this->relay.EventCount();
    std::string events = this->relay.Feed(chunk);
    if (!is_proven && this->IsProven()) {
      is_proven = true;
      this->state.quarantine.RecordAnswer(this->request.signature,
                                          Clock::now());
    }
    if (this->relay.PartialSize() > kMaxEventBytes) {
      ProcessMetrics().Add("oversized_responses_total");
      co_return AttemptResult::kBroken;
    }
    if (may_resume) {
      chunk = std::move(events);
    }
    // Comments and parts of events are no progress.
    if (this->relay.EventCount() != events_before) {
      this->RecordProgress(Phase::kStreaming);
      if (may_resume)
        this->WatchForStall(stall_timer, this->StallTimeout());
    }
    if (!co_await this->RelayChunk(status, chunk))
      co_return AttemptResult::kBroken;
  } while (!this->connection->IsResponseComplete());
  stall_timer.Cancel();
  // Without a length, only the events show whether the stream is complete.
  if (this->connection->EndsResponseByClosing() &&
      this->relay.HasPartialEvent())
    co_return AttemptResult::kBroken;
  // Of other streams, the rest has been relayed as it arrived.
  std::string rest = this->relay.Finish();
  if (!may_resume)
    rest.clear();
  if (!co_await this->RelayChunk(status, rest))
    co_return AttemptResult::kBroken;
  if (!this->is_head_sent) {
    const HeaderFieldList fields = this->ResponseFields();
    co_await this->exchange.Send(status, fields, std::string());
    this->record.RecordStatus(status);
    co_return AttemptResult::kAnswered;
  }
  co_await this->exchange.EndStream();
  co_return AttemptResult::kAnswered;
}

}  // namespace buckthornpath
