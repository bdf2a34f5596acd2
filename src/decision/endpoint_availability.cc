/** @file endpoint_availability.cc Why an endpoint gets no requests. */

#include "buckthornpath/endpoint_availability.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Initial and maximum back-off after a fault; consecutive connection failures
 * double it. */
constexpr milliseconds kMinBackoff{300};
constexpr milliseconds kMaxBackoff{4000};

/** Time without response data after which an endpoint is suspect. */
constexpr milliseconds kSilenceTimeout{1500};

}  // namespace

const std::array<EndpointAvailability::State, 9>&
EndpointAvailability::AllStates() {
  using Self = EndpointAvailability;
  static constexpr std::array<State, 9> kStates = {{
      // From its removal from the store until it is published again.
      {"withdrawn", EndpointUse::kNever, &Self::IsWithdrawn},
      // While it is published as draining.
      {"draining", EndpointUse::kNever, &Self::IsDraining},
      // After it has said for some time that it leaves, until a new process
      // with its id is published.
      {"left", EndpointUse::kNever, &Self::HasLeft},
      // While its failure domain is evacuated; its requests go on.
      {"evacuated", EndpointUse::kNever, &Self::IsEvacuatedAt},
      // For the time that it has asked for.
      {"closed", EndpointUse::kNever, &Self::IsClosed},
      // After a failed connection, or an answer of another process, until the
      // back-off is over.
      {"backing_off", EndpointUse::kLastResort, &Self::IsBackingOff},
      // While requests go unanswered for long, until a response.
      {"silent", EndpointUse::kLastResort, &Self::IsSilent},
      // From its saying so until it counts as left.
      {"leaving", EndpointUse::kLastResort, &Self::IsLeaving},
      {"usable", EndpointUse::kNormal, &Self::IsUsable},
  }};
  return kStates;
}

const EndpointAvailability::State& EndpointAvailability::StateAt(
    TimePoint now) const {
  const auto& states = AllStates();
  return *std::find_if(states.begin(), states.end(), [&](const State& state) {
    return (this->*state.holds)(now);
  });
}

bool EndpointAvailability::IsLeaving(TimePoint /*now*/) const {
  return this->statement.leaving_since != TimePoint{};
}

bool EndpointAvailability::HasLeft(TimePoint now) const {
  return this->IsLeaving(now) &&
         now - this->statement.leaving_since >= this->leaving_time;
}

bool EndpointAvailability::IsClosed(TimePoint now) const {
  return now < this->statement.closed_until;
}

bool EndpointAvailability::IsBackingOff(TimePoint now) const {
  return now < this->backoff_until;
}

bool EndpointAvailability::IsSilent(TimePoint now) const {
  return this->open_requests > 0 &&
         this->unanswered_since > this->last_response_at &&
         now - this->unanswered_since > kSilenceTimeout &&
         now - this->last_request_at < kMaxBackoff &&
         this->last_response_at != TimePoint{};
}

void EndpointAvailability::RecordLeaving(TimePoint now) {
  if (this->statement.leaving_since == TimePoint{})
    this->statement.leaving_since = now;
}

void EndpointAvailability::RecordRequest(TimePoint now) {
  if (this->open_requests == 0 ||
      this->unanswered_since <= this->last_response_at)
    this->unanswered_since = now;
  ++this->open_requests;
  this->last_request_at = now;
}

void EndpointAvailability::RecordUnreachable(TimePoint now) {
  this->backoff = std::clamp(this->backoff * 2, kMinBackoff, kMaxBackoff);
  this->backoff_until = now + this->backoff;
}

void EndpointAvailability::RecordMisdirected(TimePoint now) {
  this->backoff = kMaxBackoff;
  this->backoff_until = now + kMaxBackoff;
}

}  // namespace buckthornpath
