/** @file forward_standby.cc Moves a stream whose endpoint pauses. */

#include <algorithm>
#include <utility>

#include "gateway/forward_session.h"
#include "gateway/response_head.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Status = StandbyAttempt::Status;

}  // namespace

std::vector<EndpointId> ForwardSession::StandbyExclusions() const {
  std::vector<EndpointId> excluded;
  if (this->attempts < this->request.route->max_attempts) {
    excluded = this->excluded_endpoints;
  } else {
    for (const auto& [id, endpoint] : this->state.selector.All()) {
      if (std::find(this->paused_endpoints.begin(),
                    this->paused_endpoints.end(),
                    id) == this->paused_endpoints.end())
        excluded.push_back(id);
    }
  }
  excluded.push_back(this->reservation.Endpoint()->Entry().id);
  return excluded;
}

const char* ForwardSession::StartStandby() {
  const bool is_new_allowed =
      this->attempts < this->request.route->max_attempts;
  if ((!is_new_allowed && this->paused_endpoints.empty()) ||
      this->TimeLeft() < kMinTimeLeft || this->RuledOut() ||
      this->state.quarantine.IsSuspect(this->request.signature, Clock::now()))
    return "not_resumable";
  EndpointReservation next = this->TryReserve(this->StandbyExclusions());
  if (!next)
    return "no_room";
  // The retry is taken before the present endpoint is given up, as other
  // streams may need the last one too.
  if (!this->state.QueueOf(this->request.service).retry_budget.TryTake())
    return "no_retry";
  // The limit is on the endpoints that run the request.
  this->is_standby_counted = is_new_allowed;
  if (is_new_allowed)
    ++this->attempts;
  ForwardRequest forwarded = this->MakeRequest(*next.Endpoint());
  this->standby = std::make_shared<StandbyAttempt>(
      this->state, std::move(next), std::move(forwarded),
      this->request.metadata.request_id, this->stream_version.has_value());
  this->standby->Start(
      std::min(kConnectTimeout, std::max(this->TimeLeft(), kMinTimeLeft)),
      [this] { return this->MaySendStandby(); },
      [this] { this->HandleStandbyEnd(); });
  return "";
}

bool ForwardSession::MaySendStandby() {
  return !this->RuledOut() && this->MaySendTo(this->standby->Reservation(),
                                              this->standby->Connection());
}

void ForwardSession::HandleStandbyEnd() {
  this->standby_signal.Set();
  if (this->HasStandbyBegun()) {
    this->connection->Close();
    return;
  }
  this->RecordStandbyFailure();
  this->standby->Cancel();
  this->standby.reset();
  this->WatchForStall(kStallCheckInterval);
}

void ForwardSession::RecordStandbyFailure() {
  const auto now = Clock::now();
  const EndpointHandle endpoint = this->standby->Endpoint();
  const AttemptResult result = this->standby->Failure();
  const AttemptResultRow& row = RowOf(result);
  this->record.RecordAttempt(*endpoint, row.name, 0, this->standby->StartedAt(),
                             now);
  if (row.endpoint_result)
    this->state.selector.RecordResult(*endpoint, *row.endpoint_result, now);
  if (result == AttemptResult::kNotExecuted ||
      result == AttemptResult::kFailed) {
    const unsigned code = this->standby->ResponseStatus();
    if (code == kMisdirected)
      this->state.selector.RecordMisdirected(*endpoint, now);
    this->state.RecordStatements(*endpoint, this->standby->Response(), code);
  }
  if (result == AttemptResult::kBroken &&
      this->state.quarantine.HasUnproven(this->request.signature, now))
    this->state.crash_probe.Check(endpoint, this->request.signature);
  this->excluded_endpoints.push_back(endpoint->Entry().id);
  std::erase(this->paused_endpoints, endpoint->Entry().id);
  // Such an endpoint has not begun.
  if (result == AttemptResult::kUnreachable ||
      result == AttemptResult::kWithheld ||
      result == AttemptResult::kNotExecuted)
    this->UncountStandby();
}

bool ForwardSession::HasStandbyBegun() const {
  return this->standby && this->standby->State() == Status::kReady;
}

asio::awaitable<void> ForwardSession::AwaitStandby() {
  while (this->standby && !this->HasStandbyBegun())
    co_await this->standby_signal.Wait();
}

void ForwardSession::UncountStandby() {
  if (std::exchange(this->is_standby_counted, false))
    --this->attempts;
}

void ForwardSession::AdoptStandby() {
  this->reservation = this->standby->TakeReservation();
  this->connection = this->standby->TakeConnection();
  this->response = this->standby->Response();
  this->standby.reset();
  this->previous_idle_time.reset();
  this->relay.DiscardPartial();
  this->record.RecordSent(this->reservation.Time());
}

void ForwardSession::CancelStandby() {
  if (!this->standby)
    return;
  // An endpoint that has not been sent anything has not begun.
  if (this->standby->State() == Status::kOpening)
    this->UncountStandby();
  else
    this->paused_endpoints.push_back(this->standby->Endpoint()->Entry().id);
  this->standby->Cancel();
  this->standby.reset();
  this->standby_signal.Set();
}

}  // namespace buckthornpath
