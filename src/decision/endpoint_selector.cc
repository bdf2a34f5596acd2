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

#include "buckthornpath/placement_estimate.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Slots of an endpoint that publishes no number. */
constexpr std::size_t kDefaultSlots = 16;

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

/** Share of a target latency that may pass before the first token by estimate:
 * what other gateways have sent is known late. */
constexpr double kTargetShare = 0.5;

/** Minimum size of a cached segment for which a request waits at its endpoint:
 * prefilling it elsewhere delays all streams there for longer. */
constexpr std::uint32_t kMinQueuedSegmentTokens = 1000;

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

bool EndpointQuery::Allows(const EndpointEntry& entry) const {
  // Endpoints that state no version may be of different ones.
  const bool has_version =
      this->version == nullptr ||
      (!this->version->empty() && entry.version == *this->version);
  return has_version && std::find(this->excluded.begin(), this->excluded.end(),
                                  entry.id) == this->excluded.end();
}

std::int64_t EndpointState::EstimatedRequests() const {
  return this->OwnRequests() + this->peer_requests;
}

void EndpointSelector::Publish(const EndpointEntry& entry) {
  EndpointHandle& endpoint = this->endpoints[entry.id];
  if (endpoint && endpoint->entry.service == entry.service &&
      endpoint->entry.address == entry.address) {
    // A new process has an empty cache.
    if (endpoint->entry.born_ms != 0 &&
        endpoint->entry.born_ms != entry.born_ms)
      endpoint->memory = {};
    endpoint->entry = entry;
    this->UpdateAvailability(*endpoint);
    return;
  }
  if (endpoint)
    this->RemoveFromService(endpoint);
  endpoint = std::make_shared<EndpointState>(entry, this->limits.leaving_time);
  this->UpdateAvailability(*endpoint);
  this->endpoints_by_service[entry.service].push_back(endpoint);
}

void EndpointSelector::UpdateAvailability(EndpointState& endpoint) {
  const EndpointEntry& entry = endpoint.entry;
  endpoint.availability.SetDraining(entry.leaving);
  endpoint.availability.SetEvacuated(
      this->evacuations.Contains(entry.failure_domain));
  this->RestoreStatement(endpoint);
}

void EndpointSelector::UpdateDomain(const FailureDomainId& domain) {
  for (const auto& [id, endpoint] : this->endpoints) {
    if (endpoint->entry.failure_domain == domain)
      this->UpdateAvailability(*endpoint);
  }
}

bool EndpointSelector::BeginEvacuation(const FailureDomainId& domain,
                                       TimePoint now) {
  if (!this->evacuations.Begin(domain, now))
    return false;
  this->UpdateDomain(domain);
  return true;
}

std::optional<milliseconds> EndpointSelector::EndEvacuation(
    const FailureDomainId& domain,
    TimePoint now) {
  const auto lasted = this->evacuations.End(domain, now);
  if (lasted)
    this->UpdateDomain(domain);
  return lasted;
}

bool EndpointSelector::IsEvacuated(const EndpointQuery& query,
                                   TimePoint now) const {
  const auto& all = this->EndpointsOf(query.service);
  return !this->HasAvailableEndpoint(query, now, now) &&
         std::any_of(all.begin(), all.end(), [&](const auto& endpoint) {
           return query.Allows(endpoint->entry) &&
                  endpoint->availability.IsEvacuated();
         });
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

bool EndpointSelector::HasAvailableEndpoint(const EndpointQuery& query,
                                            TimePoint now,
                                            TimePoint later) const {
  const auto& all = this->EndpointsOf(query.service);
  return std::any_of(all.begin(), all.end(), [&](const auto& endpoint) {
    const EndpointAvailability& availability = endpoint->availability;
    return query.Allows(endpoint->entry) &&
           (availability.StateAt(now).use != EndpointUse::kNever ||
            availability.StateAt(later).use != EndpointUse::kNever);
  });
}

std::optional<EndpointSelector::TimePoint> EndpointSelector::EarliestReturn(
    const EndpointQuery& query,
    TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const EndpointHandle& endpoint : this->EndpointsOf(query.service)) {
    if (!query.Allows(endpoint->entry))
      continue;
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
    {kDefaultPrefillSeconds},
    {}};

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
                                         milliseconds time,
                                         std::int64_t backlog) {
  ServiceTimes& mean = this->TimesOf(service);
  mean.prefill.Add(time);
  mean.prefill_speed.Record(static_cast<double>(backlog), time);
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
    if (!SharesLoad(*endpoint))
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
                                  const EndpointQuery& query,
                                  TimePoint now) const {
  const PromptSegment* shared = LastSharedSegment(query.segments);
  return query.priority != 0 && shared != nullptr &&
         shared->tokens >= kMinQueuedSegmentTokens &&
         endpoint.memory.Holds(shared->id, this->MemoryMoment(endpoint, now));
}

bool EndpointSelector::IsEligible(const EndpointState& endpoint,
                                  const EndpointQuery& query,
                                  const PeerBasis& basis,
                                  TimePoint now) const {
  if (!query.Allows(endpoint.entry))
    return false;
  const auto slots = static_cast<double>(SlotsOf(endpoint));
  double limit = slots;
  if (query.is_plain)
    limit *= this->limits.plain_slots_multiple;
  if (query.priority != 0)
    limit *= 1 - this->limits.urgent_reserve;
  if (MayQueueAt(endpoint, query, now))
    limit += this->limits.cached_queue_multiple * slots;
  return RequestsAt(endpoint, basis) + 1 <= std::max(limit, 1.0);
}

double EndpointSelector::MeanRunning(const ServiceName& service,
                                     const PeerBasis& basis) const {
  double total = 0;
  double count = 0;
  for (const EndpointHandle& endpoint : this->EndpointsOf(service)) {
    if (!SharesLoad(*endpoint))
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
    if (!SharesLoad(*endpoint))
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
  PlacementInputs inputs{
      .prefill_backlog = PrefillTokensAt(endpoint, basis),
      .running_requests = RequestsAt(endpoint, basis),
      .failure_rate = endpoint.failure_rate,
      .speed = 1 / endpoint.speed.SpeedFactor(now),
      .is_plain = query.is_plain,
      .is_home = is_home,
      .is_other_domain = endpoint.entry.failure_domain != this->own_domain,
      .is_warming_up = endpoint.entry.warm_up_remaining > milliseconds(0)};
  if (now - endpoint.reported_at < kMaxLoadReportAge) {
    inputs.running_requests = std::max(
        inputs.running_requests,
        static_cast<double>(endpoint.reported_load + endpoint.OwnRequests() -
                            endpoint.own_at_report));
  }
  if (!query.segments.empty())
    inputs.own_tokens = query.segments.back().tokens;
  const PromptSegment* shared = LastSharedSegment(query.segments);
  if (shared == nullptr)
    return PlacementCost(inputs);
  if (!endpoint.memory.Holds(shared->id, this->MemoryMoment(endpoint, now))) {
    for (const PromptSegment& segment :
         query.segments.first(query.segments.size() - 1))
      inputs.uncached_tokens += segment.tokens;
  }
  const auto mean = this->times.find(query.service);
  if (query.target_latency > milliseconds(0) && mean != this->times.end()) {
    inputs.tokens_in_time = mean->second.prefill_speed.TokensWithin(
        std::chrono::duration_cast<milliseconds>(kTargetShare *
                                                 query.target_latency));
  }
  return PlacementCost(inputs);
}

EndpointHandle EndpointSelector::ChooseFrom(
    const std::vector<EndpointHandle>& usable,
    const EndpointQuery& query,
    const PeerBasis& basis,
    TimePoint now) const {
  const PromptSegment* shared = LastSharedSegment(query.segments);
  const double multiple = IsShortPrompt(query.segments)
                              ? this->limits.short_mean_multiple
                              : this->limits.max_mean_multiple;
  const double load_bound = multiple * this->MeanRunning(query.service, basis) +
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

EngineMemory::Moment EndpointSelector::MemoryMoment(
    const EndpointState& endpoint,
    TimePoint now) const {
  static const EngineMemoryUse kUnknown;
  const auto found = this->memory_uses.find(endpoint.entry.service);
  return {found == this->memory_uses.end() ? kUnknown : found->second,
          static_cast<double>(endpoint.EstimatedRequests()), now};
}

bool EndpointSelector::IsCachedOnlyElsewhere(
    const EndpointState& endpoint,
    std::span<const PromptSegment> prompt,
    TimePoint now) const {
  const PromptSegment* shared = LastSharedSegment(prompt);
  if (shared == nullptr ||
      endpoint.memory.Holds(shared->id, this->MemoryMoment(endpoint, now)))
    return false;
  const auto& all = this->EndpointsOf(endpoint.entry.service);
  return std::any_of(all.begin(), all.end(), [&](const auto& other) {
    return other->availability.StateAt(now).use == EndpointUse::kNormal &&
           other->memory.Holds(shared->id, this->MemoryMoment(*other, now));
  });
}

std::int64_t EndpointSelector::RecordStart(
    EndpointState& endpoint,
    std::span<const PromptSegment> segments,
    TimePoint now,
    std::int64_t output_tokens) {
  endpoint.availability.RecordRequest(now);
  const EngineMemory::Change change =
      endpoint.memory.Use(segments, this->MemoryMoment(endpoint, now));
  if (change.is_shared_new) {
    this->unannounced_segments.push_back(
        {endpoint.entry.id, LastSharedSegment(segments)->id});
  }
  const auto use = this->memory_uses.find(endpoint.entry.service);
  if (use != this->memory_uses.end() && !segments.empty()) {
    use->second.SetSpread(this->gateway_count,
                          this->EndpointsOf(endpoint.entry.service).size());
    use->second.RecordRequest(change.uncached_tokens + output_tokens,
                              segments.back().tokens + output_tokens);
  }
  endpoint.own_prefill_tokens += change.uncached_tokens;
  return change.uncached_tokens;
}

void EndpointSelector::RecordSegment(const SegmentLocation& place,
                                     TimePoint now) {
  const auto found = this->endpoints.find(place.endpoint);
  if (found == this->endpoints.end())
    return;
  found->second->memory.RecordPeerUse(place.segment,
                                      this->MemoryMoment(*found->second, now));
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
  endpoint.speed.Record(load.work_time_factor, now);
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
