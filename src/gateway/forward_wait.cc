/** @file forward_wait.cc Admission of a request and its wait for an endpoint.
 */

#include <algorithm>

#include "buckthornpath/retry_after.h"
#include "gateway/forward_session.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** A request waits for capacity for at most its time left divided by this. */
constexpr int kMaxWaitDivisor = 2;

/** Retry-After of a process that has no configuration yet: a caller that
 * returns at once would use up its retries before the first read can succeed.
 */
constexpr milliseconds kStartRetryAfter{500};

/** The latency objective of a route that states none is its timeout divided by
 * this. */
constexpr int kDefaultTargetDivisor = 4;

milliseconds TargetOf(const Route& route) {
  return route.target_latency > milliseconds(0)
             ? route.target_latency
             : route.timeout / kDefaultTargetDivisor;
}

}  // namespace

bool ForwardSession::IsAdmitted() {
  // The endpoints of a service with prompts state their load and are chosen
  // within their slots.
  if (!this->request.IsPlain())
    return true;
  const auto now = Clock::now();
  const ServiceName& service = this->request.service;
  // By older loads all gateways would admit for longer than the target latency
  // and then refuse as long.
  return this->state.QueueOf(service).admission.TryAdmit(
      this->state.selector.LeastRequestsPerSlot(
          service, TargetOf(*this->request.route), now),
      now);
}

bool ForwardSession::HasEndpointBy(Clock::time_point time) const {
  return this->state.selector.HasAvailableEndpoint(
      this->MakeQuery(this->excluded_endpoints), Clock::now(), time);
}

WaitingRequest ForwardSession::MakeWaitingRequest() const {
  WaitingRequest waiting;
  waiting.priority = this->request.priority;
  waiting.organisation = this->request.organisation;
  const milliseconds expected =
      this->state.selector.ExpectedFirstResponse(this->request.service);
  waiting.target_start =
      this->exchange.ReceivedAt() + TargetOf(*this->request.route) - expected;
  waiting.last_start =
      Clock::now() +
      std::min(this->TimeLeft() / kMaxWaitDivisor, this->TimeLeft() - expected);
  return waiting;
}

asio::awaitable<void> ForwardSession::WaitForEndpoint() {
  if (this->RuledOut()) {
    this->reservation.Release();
    co_return;
  }
  ServiceQueue& queue = this->state.QueueOf(this->request.service);
  const auto try_start = [this, &queue] {
    this->reservation = this->TryReserve(this->excluded_endpoints);
    if (this->reservation)
      queue.waiting.RecordStart(this->request.organisation);
    return static_cast<bool>(this->reservation);
  };
  const WaitingRequest request = this->MakeWaitingRequest();
  // Those that wait already are asked first.
  if (queue.waiting.Size() == 0 && try_start())
    co_return;
  const WaitTicket ticket = queue.waiting.Add(request);
  const auto leave_queue = [&queue, ticket] {
    queue.waiting.Remove(ticket);
    queue.waiters.erase(ticket);
  };
  // The callers of these handlers hold copies, so that they can be erased.
  queue.waiters[ticket] = {
      [this, try_start, leave_queue] {
        if (!try_start())
          return false;
        leave_queue();
        this->capacity_signal.Set();
        return true;
      },
      [this, leave_queue, request] {
        if (!this->RuledOut() && this->HasEndpointBy(request.last_start))
          return;
        leave_queue();
        this->capacity_signal.Set();
      },
      [this, leave_queue] {
        leave_queue();
        this->capacity_signal.Set();
      },
      this->stream_version.has_value()};
  this->state.WakeWaiting(this->request.service);
  if (!this->reservation && !this->is_aborted &&
      queue.waiters.contains(ticket) &&
      this->HasEndpointBy(request.last_start)) {
    co_await this->capacity_signal.WaitUntil(request.last_start);
  }
  leave_queue();
}

void ForwardSession::RecordLoadOfService(AttemptResult result,
                                         Clock::time_point now) {
  if (!this->request.IsPlain() || this->is_aborted)
    return;
  AdmissionRatio& admission =
      this->state.QueueOf(this->request.service).admission;
  const milliseconds target = TargetOf(*this->request.route);
  if (result == AttemptResult::kNotExecuted) {
    admission.RecordFull(now);
  } else if (result == AttemptResult::kAnswered) {
    admission.RecordResponse(Elapsed(this->reservation.Time(), now), target,
                             now);
  }
}

milliseconds ForwardSession::RetryAfter() {
  if (!this->table)
    return kStartRetryAfter;
  const auto now = Clock::now();
  RefusalOutlook outlook;
  const auto quarantined =
      this->state.quarantine.Find(this->request.signature, now);
  if (quarantined)
    outlook.quarantine = quarantined->remaining;
  const std::vector<EndpointId> none;
  const EndpointQuery query = this->MakeQuery(none);
  const auto returns_at = this->state.selector.EarliestReturn(query, now);
  if (returns_at)
    outlook.endpoint_return = Elapsed(now, *returns_at);
  outlook.is_evacuated = this->state.selector.IsEvacuated(query, now);
  const auto proof_due = this->ProofDue();
  if (proof_due)
    outlook.proof = std::chrono::ceil<milliseconds>(*proof_due - now);
  outlook.is_in_vain =
      this->is_unproven ||
      (this->stream_version && !returns_at && !outlook.is_evacuated &&
       !this->state.selector.HasAvailableEndpoint(query, now, now));
  outlook.time_left = this->TimeLeft();
  outlook.spread = SpreadOf(this->request.metadata.request_id);
  const auto queue = this->state.queues.find(this->request.service);
  if (queue != this->state.queues.end()) {
    outlook.refused_share = 1.0 - queue->second.admission.Ratio();
    outlook.queue_wait =
        queue->second.waiting.EstimateWait(this->MakeWaitingRequest(), now);
    this->record.RecordEstimatedWait(outlook.queue_wait);
  }
  return RetryAfterFor(outlook);
}

}  // namespace buckthornpath
