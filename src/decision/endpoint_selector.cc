/** @file endpoint_selector.cc Endpoint health, load and selection in a gateway.
 */

#include "buckthornpath/endpoint_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Slots of an endpoint that publishes no number. */
constexpr std::size_t kDefaultSlots = 16;

/** Time for which an engine is assumed to cache a prompt segment. */
constexpr std::chrono::seconds kPrefixCacheLifetime{60};

/** Maximum segments tracked per endpoint. Limits the memory of this process;
 * the cache of the engine may hold fewer or more. */
constexpr std::size_t kMaxTrackedSegments = 4096;

/** Limit of remembered statements of endpoints. */
constexpr std::size_t kMaxStatements = 4096;

/** Maximum age of a load report. */
constexpr milliseconds kMaxLoadReportAge{1500};

/** Mean durations before the first sample. */
constexpr double kDefaultHoldingSeconds = 0.2;
constexpr double kDefaultPrefillSeconds = 0.1;

/** Number of requests that a mean duration covers. */
constexpr int kMeanTimeSamples = 20;

/** Smoothing factor of the failure rate, per request. */
constexpr double kFailureRateSmoothing = 0.15;

/** Cost of one running request, in prompt tokens: it lengthens each decode
 * step, for every stream, by about a hundredth of the prefill time of 100
 * tokens. */
constexpr double kRunningRequestCost = 150.0;

/** Cost of one running request of a plain service, in the same unit:
 * a difference of a few requests outweighs the distance. */
constexpr double kPlainRequestCost = 1000.0;

/** Cost of a different failure domain, in prompt tokens: about half a
 * millisecond of latency each way. */
constexpr double kCrossDomainCost = 100.0;

/** Cost of a failure rate of 1, in prompt tokens. */
constexpr double kFailureCost = 60000.0;

/** Cost of an endpoint that is warming up, in prompt tokens: the delay of a
 * long prompt at half the prefill speed. */
constexpr double kWarmUpCost = 10000.0;

/** Cost of each token of a shared prefix that is not cached, in prompt tokens:
 * prefilling it again delays every stream of the endpoint and evicts other
 * segments. With this weight a chat's prompt of 700 tokens waits at its home
 * endpoint behind one prompt of 12,000 tokens, about 0.1 s, but not behind
 * two. */
constexpr double kUncachedTokenCost = 25.0;

/** Minimum size of a cached segment for which a request waits at its endpoint:
 * prefilling it elsewhere delays all streams there for longer. */
constexpr std::uint32_t kMinQueuedSegmentTokens = 1000;

/** Fraction of that cost that is waived at a segment's home endpoint while the
 * segment is not known to be cached there. */
constexpr double kHomeDiscount = 0.8;

/** @return The last segment that requests of one chat or document share, or
 * null. */
const PromptSegment* LastSharedSegment(
    std::span<const PromptSegment> segments) {
  // The last segment is unique to the request.
  return segments.size() < 2 ? nullptr : &segments[segments.size() - 2];
}

double ToSeconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

/**
 * @return The share of a difference between endpoints that is left after a
 * time, if requests last for `mean_seconds`. Nothing once most requests have
 * ended: all gateways would choose the same endpoint because of a trace.
 */
double Freshness(double age_seconds, double mean_seconds) {
  if (age_seconds >= mean_seconds)
    return 0;
  return std::exp(-age_seconds / mean_seconds);
}

/** @return The own load and what is left of the load of other gateways. */
double AddPeers(std::int64_t own,
                std::int64_t peers,
                double mean_of_peers,
                double freshness) {
  const auto reported = static_cast<double>(peers);
  // Without rounding if the load is current.
  const double left =
      freshness == 1.0 ? reported
                       : mean_of_peers + freshness * (reported - mean_of_peers);
  return static_cast<double>(own) + left;
}

std::uint64_t RendezvousScore(std::uint64_t segment, const EndpointId& id) {
  return XXH3_64bits_withSeed(id.str().data(), id.str().size(), segment);
}

std::size_t SlotsOf(const EndpointState& endpoint) {
  const std::size_t slots = endpoint.Entry().slots;
  return slots > 0 ? slots : kDefaultSlots;
}

}  // namespace

std::int64_t EndpointState::EstimatedRequests() const {
  return this->OwnRequests() + this->peer_requests;
}

void EndpointSelector::Publish(const EndpointEntry& entry) {
  EndpointHandle& endpoint = this->endpoints[entry.id];
  if (endpoint && endpoint->entry.service == entry.service &&
      endpoint->entry.address == entry.address) {
    endpoint->entry = entry;
    endpoint->availability.SetDraining(entry.leaving);
    this->RestoreStatement(*endpoint);
    return;
  }
  if (endpoint)
    this->RemoveFromService(endpoint);
  endpoint = std::make_shared<EndpointState>(entry, this->limits.leaving_time);
  endpoint->availability.SetDraining(entry.leaving);
  this->RestoreStatement(*endpoint);
  this->endpoints_by_service[entry.service].push_back(endpoint);
}

void EndpointSelector::Withdraw(const EndpointId& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end())
    return;
  this->RemoveFromService(found->second);
  this->endpoints.erase(found);
}

void EndpointSelector::RemoveFromService(const EndpointHandle& endpoint) {
  endpoint->availability.Withdraw();
  std::erase(this->endpoints_by_service[endpoint->entry.service], endpoint);
}

EndpointHandle EndpointSelector::Find(const EndpointId& id) const {
  const auto found = this->endpoints.find(id);
  return found == this->endpoints.end() ? nullptr : found->second;
}

const std::vector<EndpointHandle>& EndpointSelector::EndpointsOf(
    const ServiceName& name) const {
  static const std::vector<EndpointHandle> kNone;
  const auto found = this->endpoints_by_service.find(name);
  return found == this->endpoints_by_service.end() ? kNone : found->second;
}

bool EndpointSelector::HasAvailableEndpoint(const ServiceName& service,
                                            TimePoint now,
                                            TimePoint later) const {
  const auto& all = this->EndpointsOf(service);
  return std::any_of(all.begin(), all.end(), [&](const auto& endpoint) {
    const EndpointAvailability& availability = endpoint->availability;
    return availability.StateAt(now).use != EndpointUse::kNever ||
           availability.StateAt(later).use != EndpointUse::kNever;
  });
}

std::optional<EndpointSelector::TimePoint> EndpointSelector::EarliestReturn(
    const ServiceName& service,
    TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const EndpointHandle& endpoint : this->EndpointsOf(service)) {
    const EndpointAvailability& availability = endpoint->availability;
    if (availability.StateAt(now).use != EndpointUse::kNever)
      return std::nullopt;
    const TimePoint opens_at = availability.Statement().closed_until;
    if (availability.StateAt(opens_at).use != EndpointUse::kNever &&
        opens_at > now && (!earliest || opens_at < *earliest))
      earliest = opens_at;
  }
  return earliest;
}

std::map<std::string, std::size_t> EndpointSelector::CountUnusable(
    const ServiceName& service,
    TimePoint now) const {
  std::map<std::string, std::size_t> counts;
  for (const EndpointHandle& endpoint : this->EndpointsOf(service)) {
    const EndpointAvailability::State& state =
        endpoint->availability.StateAt(now);
    if (state.use != EndpointUse::kNormal)
      ++counts[state.name];
  }
  return counts;
}

const EndpointSelector::ServiceTimes EndpointSelector::kDefaultTimes = {
    {kDefaultHoldingSeconds},
    {kDefaultPrefillSeconds}};

void EndpointSelector::MeanTime::Add(milliseconds time) {
  this->samples = std::min(this->samples + 1, kMeanTimeSamples);
  this->seconds += (ToSeconds(time) - this->seconds) / this->samples;
}

EndpointSelector::ServiceTimes& EndpointSelector::TimesOf(
    const ServiceName& service) {
  return this->times.try_emplace(service, kDefaultTimes).first->second;
}

void EndpointSelector::RecordHoldingTime(const ServiceName& service,
                                         milliseconds time) {
  this->TimesOf(service).holding.Add(time);
}

void EndpointSelector::RecordPrefillTime(const ServiceName& service,
                                         milliseconds time) {
  this->TimesOf(service).prefill.Add(time);
}

milliseconds EndpointSelector::ExpectedFirstResponse(
    const ServiceName& service) const {
  const auto found = this->times.find(service);
  const ServiceTimes& mean =
      found == this->times.end() ? kDefaultTimes : found->second;
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(mean.prefill.seconds));
}

EndpointSelector::PeerBasis EndpointSelector::BasisOf(
    const ServiceName& service,
    TimePoint now) const {
  PeerBasis basis;
  if (this->peer_loads_at == TimePoint{})
    return basis;
  double count = 0;
  for (const EndpointHandle& endpoint : this->EndpointsOf(service)) {
    if (endpoint->entry.leaving)
      continue;
    basis.mean_requests += static_cast<double>(endpoint->peer_requests);
    basis.mean_prefill_tokens +=
        static_cast<double>(endpoint->peer_prefill_tokens);
    ++count;
  }
  if (count == 0)
    return basis;
  basis.mean_requests /= count;
  basis.mean_prefill_tokens /= count;
  const auto found = this->times.find(service);
  const ServiceTimes& mean =
      found == this->times.end() ? kDefaultTimes : found->second;
  const double age = ToSeconds(
      std::max(now - this->peer_loads_at, std::chrono::nanoseconds(0)));
  basis.request_freshness = Freshness(age, mean.holding.seconds);
  basis.prefill_freshness = Freshness(age, mean.prefill.seconds);
  return basis;
}

double EndpointSelector::RequestsAt(const EndpointState& endpoint,
                                    const PeerBasis& basis) {
  return AddPeers(endpoint.OwnRequests(), endpoint.peer_requests,
                  basis.mean_requests, basis.request_freshness);
}

double EndpointSelector::PrefillTokensAt(const EndpointState& endpoint,
                                         const PeerBasis& basis) {
  return AddPeers(endpoint.own_prefill_tokens, endpoint.peer_prefill_tokens,
                  basis.mean_prefill_tokens, basis.prefill_freshness);
}

bool EndpointSelector::MayQueueAt(const EndpointState& endpoint,
                                  const EndpointQuery& query) {
  const PromptSegment* shared = LastSharedSegment(query.segments);
  return query.priority != 0 && shared != nullptr &&
         shared->tokens >= kMinQueuedSegmentTokens &&
         endpoint.segment_prefilled_at.contains(shared->id);
}

bool EndpointSelector::IsEligible(const EndpointState& endpoint,
                                  const EndpointQuery& query,
                                  const PeerBasis& basis) const {
  if (std::find(query.excluded.begin(), query.excluded.end(),
                endpoint.entry.id) != query.excluded.end()) {
    return false;
  }
  const auto slots = static_cast<double>(SlotsOf(endpoint));
  double limit = slots;
  if (query.is_plain)
    limit *= this->limits.plain_slots_multiple;
  if (query.priority != 0)
    limit *= 1 - this->limits.urgent_reserve;
  if (MayQueueAt(endpoint, query))
    limit += this->limits.cached_queue_multiple * slots;
  return RequestsAt(endpoint, basis) + 1 <= std::max(limit, 1.0);
}

double EndpointSelector::MeanRunning(const ServiceName& service,
                                     const PeerBasis& basis) const {
  double total = 0;
  double count = 0;
  for (const EndpointHandle& endpoint : this->EndpointsOf(service)) {
    if (endpoint->entry.leaving)
      continue;
    total += RequestsAt(*endpoint, basis);
    ++count;
  }
  return count > 0 ? total / count : 0;
}

std::optional<double> EndpointSelector::LeastRequestsPerSlot(
    const ServiceName& service,
    milliseconds max_age,
    TimePoint now) const {
  if (this->peer_loads_at != TimePoint{} && now - this->peer_loads_at > max_age)
    return std::nullopt;
  const PeerBasis basis = this->BasisOf(service, now);
  std::optional<double> least;
  for (const EndpointHandle& endpoint : this->EndpointsOf(service)) {
    if (endpoint->availability.StateAt(now).use != EndpointUse::kNormal)
      continue;
    const double requests =
        RequestsAt(*endpoint, basis) / static_cast<double>(SlotsOf(*endpoint));
    least = std::min(least.value_or(requests), requests);
  }
  return least;
}

double EndpointSelector::Utilisation(const ServiceName& service) const {
  double running = 0;
  double slots = 0;
  for (const EndpointHandle& endpoint : this->EndpointsOf(service)) {
    if (endpoint->entry.leaving)
      continue;
    running += static_cast<double>(endpoint->EstimatedRequests());
    slots += static_cast<double>(SlotsOf(*endpoint));
  }
  return slots > 0 ? running / slots : 1.0;
}

double EndpointSelector::EstimateCost(const EndpointState& endpoint,
                                      const EndpointQuery& query,
                                      const PeerBasis& basis,
                                      bool is_home,
                                      TimePoint now) const {
  double cost = PrefillTokensAt(endpoint, basis);
  double running = RequestsAt(endpoint, basis);
  if (now - endpoint.reported_at < kMaxLoadReportAge) {
    running = std::max(running, static_cast<double>(endpoint.reported_load +
                                                    endpoint.OwnRequests() -
                                                    endpoint.own_at_report));
  }
  cost += (query.is_plain ? kPlainRequestCost : kRunningRequestCost) * running;
  // Endpoints of a plain service are few, and a failure domain may have more of
  // its callers than of its endpoints.
  if (!query.is_plain && endpoint.entry.failure_domain != this->own_domain)
    cost += kCrossDomainCost;
  cost += kFailureCost * endpoint.failure_rate;
  if (endpoint.entry.warm_up_remaining > milliseconds(0))
    cost += kWarmUpCost;
  const PromptSegment* shared = LastSharedSegment(query.segments);
  if (shared == nullptr)
    return cost;
  double shared_tokens = 0;
  for (const PromptSegment& segment :
       query.segments.first(query.segments.size() - 1))
    shared_tokens += segment.tokens;
  const auto prefilled = endpoint.segment_prefilled_at.find(shared->id);
  if (prefilled != endpoint.segment_prefilled_at.end() &&
      now - prefilled->second < kPrefixCacheLifetime)
    return cost;
  const double discount = is_home ? kHomeDiscount : 0.0;
  return cost + (1 - discount) * kUncachedTokenCost * shared_tokens;
}

EndpointHandle EndpointSelector::ChooseFrom(
    const std::vector<EndpointHandle>& usable,
    const EndpointQuery& query,
    const PeerBasis& basis,
    TimePoint now) const {
  const double load_bound =
      this->limits.max_mean_multiple * this->MeanRunning(query.service, basis) +
      this->limits.mean_slack;
  const auto is_over_bound = [&](const EndpointHandle& endpoint) {
    return RequestsAt(*endpoint, basis) + 1 > load_bound;
  };
  std::vector<EndpointHandle> candidates;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(candidates),
               std::not_fn(is_over_bound));
  if (candidates.empty())
    candidates = usable;
  // Rendezvous hashing: all gateways compute the same home endpoint without
  // communication, and the same next one while the home is over the bound.
  const PromptSegment* shared = LastSharedSegment(query.segments);
  const EndpointHandle* home = nullptr;
  std::uint64_t best_score = 0;
  for (const EndpointHandle& endpoint : candidates) {
    if (shared == nullptr)
      break;
    const std::uint64_t score = RendezvousScore(shared->id, endpoint->entry.id);
    if (home == nullptr || score > best_score) {
      home = &endpoint;
      best_score = score;
    }
  }
  // Lowest cost first, then least recently used.
  const auto sort_key = [&](const EndpointHandle& endpoint) {
    return std::make_tuple(
        this->EstimateCost(*endpoint, query, basis, &endpoint == home, now),
        endpoint->availability.LastRequestAt());
  };
  const EndpointHandle* best = nullptr;
  decltype(sort_key(usable.front())) best_key;
  for (const EndpointHandle& endpoint : candidates) {
    const auto endpoint_key = sort_key(endpoint);
    if (best == nullptr || endpoint_key < best_key) {
      best = &endpoint;
      best_key = endpoint_key;
    }
  }
  return best == nullptr ? nullptr : *best;
}

std::int64_t EndpointSelector::RecordStart(
    EndpointState& endpoint,
    std::span<const PromptSegment> segments,
    TimePoint now) {
  endpoint.availability.RecordRequest(now);
  std::int64_t uncached_tokens = 0;
  const PromptSegment* shared = LastSharedSegment(segments);
  if (endpoint.segment_prefilled_at.size() > kMaxTrackedSegments)
    endpoint.segment_prefilled_at.clear();
  bool is_cached = true;
  for (std::size_t i = 0; i < segments.size(); ++i) {
    auto [prefilled, added] =
        endpoint.segment_prefilled_at.try_emplace(segments[i].id, now);
    const bool is_new =
        added || now - prefilled->second >= kPrefixCacheLifetime;
    is_cached = is_cached && !is_new;
    if (is_new && &segments[i] == shared)
      this->unannounced_segments.push_back({endpoint.entry.id, shared->id});
    if (!is_cached)
      uncached_tokens += segments[i].tokens;
    prefilled->second = now;
  }
  endpoint.own_prefill_tokens += uncached_tokens;
  return uncached_tokens;
}

void EndpointSelector::RecordSegment(const SegmentLocation& place,
                                     TimePoint now) {
  const auto found = this->endpoints.find(place.endpoint);
  if (found == this->endpoints.end())
    return;
  auto& segments = found->second->segment_prefilled_at;
  if (segments.size() > kMaxTrackedSegments)
    segments.clear();
  segments[place.segment] = now;
}

std::vector<SegmentLocation> EndpointSelector::TakeNewSegments() {
  return std::exchange(this->unannounced_segments, {});
}

void EndpointSelector::RecordPrefillEnd(EndpointState& endpoint,
                                        std::int64_t tokens) {
  endpoint.own_prefill_tokens -= tokens;
}

void EndpointSelector::RecordResponseData(EndpointState& endpoint,
                                          TimePoint now) {
  endpoint.availability.RecordResponse(now);
}

void EndpointSelector::RecordMisdirected(EndpointState& endpoint,
                                         TimePoint now) {
  endpoint.availability.RecordMisdirected(now);
}

void EndpointSelector::RecordLeaving(EndpointState& endpoint, TimePoint now) {
  if (!this->CanSpeak(endpoint))
    return;
  endpoint.availability.RecordLeaving(now);
  this->RememberStatement(endpoint);
}

void EndpointSelector::RecordClosed(EndpointState& endpoint, TimePoint until) {
  if (!this->CanSpeak(endpoint))
    return;
  endpoint.availability.RecordClosed(until);
  this->RememberStatement(endpoint);
}

bool EndpointSelector::CanSpeak(EndpointState& endpoint) {
  const auto said = this->statements.find(endpoint.entry.id);
  if (said != this->statements.end() &&
      said->second.born_ms > endpoint.entry.born_ms)
    return false;
  this->RestoreStatement(endpoint);
  return true;
}

void EndpointSelector::RememberStatement(EndpointState& endpoint) {
  if (this->statements.size() >= kMaxStatements) {
    std::erase_if(this->statements, [this](const auto& entry) {
      return !this->endpoints.contains(entry.first);
    });
  }
  EndpointStatement statement = endpoint.availability.Statement();
  statement.born_ms = endpoint.entry.born_ms;
  this->statements[endpoint.entry.id] = statement;
  // The endpoint may have been published anew while it answered.
  const EndpointHandle current = this->Find(endpoint.entry.id);
  if (current)
    this->RestoreStatement(*current);
}

void EndpointSelector::RestoreStatement(EndpointState& endpoint) {
  const auto said = this->statements.find(endpoint.entry.id);
  if (said == this->statements.end())
    return;
  const std::int64_t born_before = said->second.born_ms;
  if (born_before != 0 && endpoint.entry.born_ms > born_before) {
    this->statements.erase(said);
    endpoint.availability.SetStatement({});
    return;
  }
  endpoint.availability.SetStatement(said->second);
}

void EndpointSelector::RecordEnd(EndpointState& endpoint) {
  endpoint.availability.RecordRequestEnd();
}

void EndpointSelector::RecordResult(EndpointState& endpoint,
                                    EndpointResult result,
                                    TimePoint now) {
  const bool failed =
      result != EndpointResult::kServed && result != EndpointResult::kFull;
  endpoint.failure_rate +=
      kFailureRateSmoothing * ((failed ? 1.0 : 0.0) - endpoint.failure_rate);
  if (result == EndpointResult::kUnreachable) {
    endpoint.availability.RecordUnreachable(now);
    return;
  }
  if (result != EndpointResult::kBroken)
    endpoint.availability.RecordResponse(now);
  if (result == EndpointResult::kServed)
    endpoint.availability.RecordServed();
}

void EndpointSelector::RecordReportedLoad(EndpointState& endpoint,
                                          SelfReportedLoad load,
                                          TimePoint now) {
  endpoint.reported_load = load.running + load.waiting;
  endpoint.own_at_report = endpoint.OwnRequests();
  endpoint.reported_at = now;
}

void EndpointSelector::SetPeerLoad(const EndpointId& id,
                                   std::int64_t requests,
                                   std::int64_t prefill_tokens) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end())
    return;
  found->second->peer_requests = requests;
  found->second->peer_prefill_tokens = prefill_tokens;
}

}  // namespace buckthornpath
