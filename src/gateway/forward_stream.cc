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

milliseconds ForwardSession::StallTimeout() const {
  return std::max(kMinStallTimeout,
                  this->request.route->target_event_gap * kStallGapMultiple);
}

void ForwardSession::WatchForStall(milliseconds time) {
  this->stall_timer.Set(Clock::now() + time, [this] {
    const char* obstacle = this->StartStandby();
    this->RecordSilence(obstacle);
    // A slow stream is better than none.
    if (*obstacle != '\0')
      this->WatchForStall(kStallCheckInterval);
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
           {"choice", stays ? "stay" : "standby"},
           {"reason", reason}});
}

asio::awaitable<AttemptResult> ForwardSession::HandleStreamBreak() {
  if (this->HasStandbyBegun())
    co_return AttemptResult::kStalled;
  // The endpoint broke off by itself.
  co_await this->AwaitStandby();
  co_return AttemptResult::kBroken;
}

void ForwardSession::RecordProof() {
  if (std::exchange(this->is_proof_recorded, true))
    return;
  this->state.quarantine.RecordAnswer(this->request.signature, Clock::now());
}

asio::awaitable<bool> ForwardSession::RelayEvents(unsigned status,
                                                  std::string& chunk) {
  const bool may_resume = this->request.route->IsRetryable();
  // What a process of another version sends must not follow earlier events.
  if (this->stream_version && this->AttemptEvents() == 0 &&
      this->IsEndpointReplaced())
    co_return false;
  const std::size_t events_before = this->relay.EventCount();
  std::string events = this->relay.Feed(chunk);
  if (this->IsProven())
    this->RecordProof();
  if (this->relay.PartialSize() > kMaxEventBytes) {
    ProcessMetrics().Add("oversized_responses_total");
    co_return false;
  }
  if (may_resume)
    chunk = std::move(events);
  // Comments and parts of events are no progress.
  const bool has_progress = this->relay.EventCount() != events_before;
  if (has_progress) {
    this->RecordProgress(Phase::kStreaming);
    this->RecordStreamBegin();
  }
  // An endpoint that has begun has replaced this one already.
  const bool is_watched =
      may_resume && has_progress && !this->HasStandbyBegun();
  if (is_watched) {
    this->CancelStandby();
    this->stall_timer.Cancel();
  }
  const bool is_relayed = co_await this->RelayChunk(status, chunk);
  // A caller that reads slowly is no silence of the endpoint.
  if (is_watched)
    this->WatchForStall(this->StallTimeout());
  co_return is_relayed;
}

asio::awaitable<AttemptResult> ForwardSession::RelayStream(unsigned status) {
  const bool may_resume = this->request.route->IsRetryable();
  this->is_proof_recorded = false;
  if (may_resume)
    this->WatchForStall(this->StallTimeout());
  std::string chunk;
  do {
    if (co_await this->connection->ReadBody(chunk))
      co_return co_await this->HandleStreamBreak();
    // The endpoint that takes over may be of another version, so that nothing
    // of this one may follow.
    if (!this->stream_version && this->HasStandbyBegun())
      co_return AttemptResult::kStalled;
    const bool is_relayed = co_await this->RelayEvents(status, chunk);
    if (!is_relayed)
      co_return AttemptResult::kBroken;
  } while (!this->connection->IsResponseComplete());
  this->stall_timer.Cancel();
  this->CancelStandby();
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
