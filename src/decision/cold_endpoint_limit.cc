/** @file cold_endpoint_limit.cc Limits requests to endpoints that have just
 * started. */

#include "buckthornpath/cold_endpoint_limit.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/** Part of the allowance that the configured gateways use together. */
constexpr double kUsedShare = 0.5;

/** Requests that are sent within a second may have been granted in this time:
 * a connection has to be opened first. */
constexpr std::chrono::duration<double> kGrantWindow{1.5};

/** Time after a refused connection in which a new process may appear without
 * this gateway's hearing of it: a publication interval, and the way of the item
 * through a hub. */
constexpr milliseconds kReturnTime{2000};

/** A process that is older by the wall clock has not just started, whatever
 * this gateway has missed; clocks of VMs may differ by less. */
constexpr std::chrono::seconds kSurelyOld{60};

/** Requests at a time with which the load of a warm endpoint begins, at which
 * it needs no limit any more, and the time after which it needs none. */
constexpr std::int64_t kFirstWindow = 4;
constexpr std::int64_t kLastWindow = 16;
constexpr std::chrono::seconds kMaxSlowStart{4};

/** Limit of remembered endpoints; those without news for a time go first. */
constexpr std::size_t kMaxEndpoints = 8192;
constexpr std::chrono::minutes kMemory{10};

}  // namespace

ColdEndpointLimit::Endpoint& ColdEndpointLimit::StateOf(const EndpointId& id,
                                                        TimePoint now) {
  if (this->endpoints.size() >= kMaxEndpoints) {
    std::erase_if(this->endpoints, [now](const auto& entry) {
      const Endpoint& endpoint = entry.second;
      return std::max(endpoint.stated_until, endpoint.news_at) + kMemory < now;
    });
  }
  return this->endpoints[id];
}

const ColdEndpointLimit::Endpoint* ColdEndpointLimit::Find(
    const EndpointId& id) const {
  const auto found = this->endpoints.find(id);
  return found == this->endpoints.end() ? nullptr : &found->second;
}

void ColdEndpointLimit::TakeStatement(Endpoint& endpoint,
                                      milliseconds remaining,
                                      TimePoint now) {
  if (remaining <= milliseconds(0))
    return;
  endpoint.stated_until = std::max(endpoint.stated_until, now + remaining);
  endpoint.news_at = now;
  endpoint.window = kFirstWindow;
}

void ColdEndpointLimit::AssumeStart(Endpoint& endpoint,
                                    TimePoint start,
                                    TimePoint now) {
  endpoint.start = std::max(endpoint.start.value_or(start), start);
  endpoint.news_at = now;
  endpoint.window = kFirstWindow;
}

void ColdEndpointLimit::RecordPublished(const EndpointId& id,
                                        const Publication& published,
                                        TimePoint now,
                                        WallTime wall_time) {
  const bool is_known = this->Find(id) != nullptr;
  Endpoint& endpoint = this->StateOf(id, now);
  const bool is_same_process = is_known &&
                               endpoint.born_ms == published.born_ms &&
                               (published.born_ms != 0 || !endpoint.is_gone);
  endpoint.is_gone = false;
  TakeStatement(endpoint, published.remaining, now);
  if (is_same_process)
    return;
  endpoint.born_ms = published.born_ms;
  const WallTime born{milliseconds(published.born_ms)};
  const bool is_old = published.born_ms != 0 && wall_time - born > kSurelyOld;
  if (published.is_first_read || is_old)
    return;
  // The start that a refused connection foretold, if there was one.
  endpoint.start.reset();
  AssumeStart(endpoint, now, now);
}

void ColdEndpointLimit::RecordWithdrawn(const EndpointId& id) {
  const auto found = this->endpoints.find(id);
  if (found != this->endpoints.end())
    found->second.is_gone = true;
}

void ColdEndpointLimit::RecordStatement(const EndpointId& id,
                                        milliseconds remaining,
                                        TimePoint now) {
  if (remaining > milliseconds(0))
    TakeStatement(this->StateOf(id, now), remaining, now);
}

void ColdEndpointLimit::RecordPossibleRestart(const EndpointId& id,
                                              TimePoint now) {
  AssumeStart(this->StateOf(id, now), now, now);
}

void ColdEndpointLimit::RecordRefusedConnection(const EndpointId& id,
                                                TimePoint now) {
  AssumeStart(this->StateOf(id, now), now + kReturnTime, now);
}

void ColdEndpointLimit::RecordResult(const EndpointId& id,
                                     const ColdStartPolicy& policy,
                                     bool is_served,
                                     TimePoint now) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end() || found->second.window == 0 ||
      this->IsCold(id, policy, now))
    return;
  std::int64_t& window = found->second.window;
  window = is_served ? window + 1 : std::max(window / 2, kFirstWindow);
  if (window > kLastWindow)
    window = 0;
}

ColdEndpointLimit::TimePoint ColdEndpointLimit::ColdUntil(
    const Endpoint& endpoint,
    const ColdStartPolicy& policy) {
  if (!policy.IsLimited())
    return {};
  const TimePoint end_of_start =
      endpoint.start ? *endpoint.start + policy.duration : TimePoint{};
  return std::max(endpoint.stated_until, end_of_start);
}

ColdEndpointLimit::TimePoint ColdEndpointLimit::ColdUntil(
    const EndpointId& id,
    const ColdStartPolicy& policy) const {
  const Endpoint* endpoint = this->Find(id);
  return endpoint == nullptr ? TimePoint{} : ColdUntil(*endpoint, policy);
}

std::optional<nanoseconds> ColdEndpointLimit::Interval(
    const ColdStartPolicy& policy) const {
  if (!this->share.is_sender || this->share.senders == 0)
    return std::nullopt;
  const double allowance =
      policy.requests_per_second * this->share.overage + this->share.slack;
  const double own_part =
      kUsedShare * allowance / static_cast<double>(this->share.senders);
  // Requests that are `interval` apart: at most 1 + window / interval of them
  // fall into a window.
  const double after_first = own_part - 1;
  if (after_first <= 0)
    return std::nullopt;
  return std::chrono::ceil<nanoseconds>(kGrantWindow / after_first);
}

bool ColdEndpointLimit::MaySend(const EndpointId& id,
                                const ColdStartPolicy& policy,
                                std::int64_t open_requests,
                                TimePoint now) const {
  const Endpoint* endpoint = this->Find(id);
  if (!policy.IsLimited() || endpoint == nullptr)
    return true;
  const TimePoint cold_until = ColdUntil(*endpoint, policy);
  if (now >= cold_until) {
    return endpoint->window == 0 || open_requests < endpoint->window ||
           now - cold_until >= kMaxSlowStart;
  }
  const auto interval = this->Interval(policy);
  // A process that ran here before may have sent until this one started.
  return interval &&
         now - endpoint->granted.value_or(this->started_at) >= *interval;
}

void ColdEndpointLimit::RecordSend(const EndpointId& id,
                                   const ColdStartPolicy& policy,
                                   TimePoint now) {
  const auto found = this->endpoints.find(id);
  if (found != this->endpoints.end() && policy.IsLimited())
    found->second.granted = now;
}

bool ColdEndpointLimit::IsGranted(const EndpointId& id,
                                  const ColdStartPolicy& policy,
                                  TimePoint granted_at,
                                  TimePoint now) const {
  const Endpoint* endpoint = this->Find(id);
  // Later news can only be of a start, or of the same cold phase: then the
  // request is better held back than sent in excess.
  return endpoint == nullptr || now >= ColdUntil(*endpoint, policy) ||
         endpoint->news_at <= granted_at || endpoint->granted == granted_at;
}

}  // namespace buckthornpath
