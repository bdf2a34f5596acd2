/** @file endpoint_selector.h Endpoint health, load and selection in a gateway.
 */

#ifndef BUCKTHORNPATH_ENDPOINT_SELECTOR_H_
#define BUCKTHORNPATH_ENDPOINT_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "buckthornpath/domain_evacuation.h"
#include "buckthornpath/endpoint_availability.h"
#include "buckthornpath/endpoint_speed.h"
#include "buckthornpath/engine_memory.h"
#include "buckthornpath/prefill_speed.h"
#include "buckthornpath/routing_table.h"
#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Published record of one endpoint. */
struct EndpointEntry {
  EndpointId id;
  ServiceName service;
  std::string address;  ///< IP address and port.
  FailureDomainId failure_domain;
  std::size_t slots = 0;  ///< Concurrent requests; 0 if unknown.
  bool leaving = false;   ///< Draining: accepts no new requests.
  std::string version{};  ///< Of its software; empty if unknown.
  /** Start of its process, in milliseconds of Unix time; 0 if unknown. */
  std::int64_t born_ms = 0;
  /** Remaining warm-up time after a start; updated while it lasts. */
  std::chrono::milliseconds warm_up_remaining{};

  bool operator==(const EndpointEntry&) const = default;
};

/** Prompt segment and an endpoint that has processed it. */
struct SegmentLocation {
  EndpointId endpoint;
  std::uint64_t segment = 0;
};

/** Load that an endpoint reported about itself, in requests. */
struct SelfReportedLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  /** Time that work takes there now, relative to the usual; 0 if not stated. */
  double work_time_factor = 0;
};

/** Result of a request, as input to the health of its endpoint. */
enum class EndpointResult {
  kServed,       ///< A complete response was received.
  kFailed,       ///< The endpoint responded with an error.
  kFull,         ///< The endpoint refused it as overloaded.
  kBroken,       ///< Connection lost or response malformed.
  kUnreachable,  ///< No connection could be established.
};

/** Properties of a request that decide the choice of its endpoint. */
struct EndpointQuery {
  ServiceName service;
  std::span<const PromptSegment> segments{};  ///< In prompt order.
  int priority = 0;                           ///< 0 is the most urgent.
  /** Endpoints at which this request has failed already. */
  std::span<const EndpointId> excluded{};
  /** The service takes no prompts: its requests are short, and its few
   * endpoints queue those beyond their slots. */
  bool is_plain = false;
  /** Time within which the first token is wanted; 0 if none is stated. */
  std::chrono::milliseconds target_latency{};
  /** The only software version that may serve it; null if any may. */
  const std::string* version = nullptr;

  /** @return True if nothing about the request itself rules an endpoint out. */
  bool Allows(const EndpointEntry& entry) const;
};

/** Endpoint with its estimated load and health. */
class EndpointState {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  EndpointState(EndpointEntry entry, std::chrono::milliseconds leaving_time)
      : entry(std::move(entry)), availability(leaving_time) {}

  const EndpointEntry& Entry() const { return this->entry; }

  /** @return Estimated number of requests running or queued there, from all
   * gateways. */
  std::int64_t EstimatedRequests() const;

  /** @return Outstanding requests of this process. */
  std::int64_t OwnRequests() const { return this->availability.OpenRequests(); }

  const EndpointAvailability& Availability() const {
    return this->availability;
  }

  /** @return Estimated prompt tokens of this process that wait for prefill. */
  std::int64_t OwnPrefillTokens() const { return this->own_prefill_tokens; }

  /** @return Estimated prompt tokens that wait for prefill, from all gateways.
   */
  std::int64_t PrefillBacklog() const {
    return this->own_prefill_tokens + this->peer_prefill_tokens;
  }

 private:
  friend class EndpointSelector;

  EndpointEntry entry;
  EndpointAvailability availability;
  /** Prompt tokens of this process's requests that wait for prefill. */
  std::int64_t own_prefill_tokens = 0;
  std::int64_t peer_requests = 0;  ///< Outstanding requests of other gateways.
  std::int64_t peer_prefill_tokens = 0;
  std::int64_t reported_load = 0;  ///< Latest load reported by the endpoint.
  std::int64_t own_at_report = 0;
  TimePoint reported_at{};
  EndpointSpeed speed;
  double failure_rate = 0;  ///< Exponential moving average, 0 to 1.
  EngineMemory memory;
};

using EndpointHandle = std::shared_ptr<EndpointState>;

/** Limits for the choice of an endpoint. */
struct EndpointSelectorLimits {
  /** Maximum load relative to the service's mean; the platform allows 2. */
  double max_mean_multiple = 1.6;
  /** Requests allowed above that multiple, whatever the mean. */
  double mean_slack = 2.5;
  /** The multiple for requests whose shared prompt is short: they leave the
   * room up to the maximum to those that cost more at another endpoint. */
  double short_mean_multiple = 1.35;
  /** Fraction of an endpoint's slots reserved for priority 0. */
  double urgent_reserve = 0.15;
  /** Requests that may wait in the queue of an endpoint that has their prompt
   * cached, relative to its slots; urgent ones never wait there. */
  double cached_queue_multiple = 1.0;
  /** Requests that an endpoint of a plain service may hold, relative to its
   * slots. */
  double plain_slots_multiple = 8.0;
  /** Time for which an endpoint that says it leaves is a last resort. */
  std::chrono::milliseconds leaving_time{1500};
};

/**
 * Endpoints of all services, with the choice of one for each request. Handles
 * four load patterns. Overload of all endpoints: none is chosen beyond its
 * slots, and the last slots are reserved for urgent requests; others wait in
 * the queue of an endpoint that has their long prompt cached, as prefilling it
 * elsewhere would add to the overload. Many requests with a common prompt
 * prefix: they go to one endpoint until its load exceeds a multiple of the
 * mean, then all gateways choose the same next one. Endpoints that fail, stop
 * responding or are warming up: they are avoided unless no other endpoint is
 * left. Loads of other gateways that are older than their requests last:
 * gateways that all choose the endpoint with the least load of a moment ago
 * would crowd it; instead such loads count as the mean. Not thread-safe.
 */
class EndpointSelector {
 public:
  using TimePoint = EndpointState::TimePoint;

  EndpointSelector(FailureDomainId own_domain, EndpointSelectorLimits limits)
      : own_domain(std::move(own_domain)), limits(limits) {}

  /** Adds an endpoint or updates its published record. */
  void Publish(const EndpointEntry& entry);

  /** Removes an endpoint; requests already running there may continue. */
  void Withdraw(const EndpointId& id);

  /** Stops new requests to all endpoints of a failure domain, also to those
   * that are published later. @return False if they had been stopped. */
  bool BeginEvacuation(const FailureDomainId& domain, TimePoint now);

  /** Allows them again. @return How long they were stopped; empty if not. */
  std::optional<std::chrono::milliseconds> EndEvacuation(
      const FailureDomainId& domain,
      TimePoint now);

  const DomainEvacuations& Evacuations() const { return this->evacuations; }

  /** @return True if no endpoint that a request may go to may be used, and one
   * might be if its failure domain were not evacuated. */
  bool IsEvacuated(const EndpointQuery& query, TimePoint now) const;

  /** @return The endpoint with this id, or null. */
  EndpointHandle Find(const EndpointId& id) const;

  const std::map<EndpointId, EndpointHandle>& All() const {
    return this->endpoints;
  }

  /** @return True if any endpoint that a request may go to accepts new
   * requests, or is expected to at a later time. */
  bool HasAvailableEndpoint(const EndpointQuery& query,
                            TimePoint now,
                            TimePoint later) const;

  /** @return When the first endpoint that a request may go to wants requests
   * again, if none may be used now and one has asked for time. */
  std::optional<TimePoint> EarliestReturn(const EndpointQuery& query,
                                          TimePoint now) const;

  /** @return Number of the service's endpoints in each state, by the name of
   * the state; without those that are usable. */
  std::map<std::string, std::size_t> CountUnusable(const ServiceName& service,
                                                   TimePoint now) const;

  /**
   * Chooses the endpoint for a request.
   * @param room Predicate: true if the endpoint may get another request or
   *     connection.
   * @return The endpoint, or null if none has capacity.
   */
  template <class HasRoom>
  EndpointHandle Choose(const EndpointQuery& query,
                        TimePoint now,
                        HasRoom room) const {
    const PeerBasis basis = this->BasisOf(query.service, now);
    return this->ChooseFrom(this->EligibleEndpoints(query, basis, now, room),
                            query, basis, now);
  }

  /**
   * Records that a request is sent to an endpoint.
   * @param output_tokens Expected length of the response; 0 if unknown.
   * @return Prompt tokens that the endpoint is expected to prefill for it.
   */
  std::int64_t RecordStart(EndpointState& endpoint,
                           std::span<const PromptSegment> segments,
                           TimePoint now,
                           std::int64_t output_tokens = 0);

  /** @return True if other endpoints of the service in normal use have the
   * prompt's shared part cached, and this one has not. */
  bool IsCachedOnlyElsewhere(const EndpointState& endpoint,
                             std::span<const PromptSegment> prompt,
                             TimePoint now) const;

  /** Sets the memory of each engine of a service; 0 if unknown. */
  void SetEngineMemory(const ServiceName& service,
                       std::int64_t capacity_tokens) {
    this->memory_uses[service].SetCapacity(capacity_tokens);
  }

  /** Sets over how many gateways, this one included, requests are spread. */
  void SetGatewayCount(std::size_t count) { this->gateway_count = count; }

  /** Records that a peer has sent a prompt segment to an endpoint. */
  void RecordSegment(const SegmentLocation& place, TimePoint now);

  /** @return Shared segments that this process has sent, since the last call,
   * to endpoints that were not known to have them cached. */
  std::vector<SegmentLocation> TakeNewSegments();

  /** Subtracts tokens that RecordStart() returned and that no longer wait for
   * prefill. */
  void RecordPrefillEnd(EndpointState& endpoint, std::int64_t tokens);

  /** Records that response data was received. */
  void RecordResponseData(EndpointState& endpoint, TimePoint now);

  /** Records that another process answered at the endpoint's address. */
  void RecordMisdirected(EndpointState& endpoint, TimePoint now);

  /** Records that an endpoint says it leaves. The statement outlives its
   * published record, until a new process with its id is published. */
  void RecordLeaving(EndpointState& endpoint, TimePoint now);

  /** Records that an endpoint wants no requests until a time. */
  void RecordClosed(EndpointState& endpoint, TimePoint until);

  /** Records that a request has ended. */
  void RecordEnd(EndpointState& endpoint);

  /** Records how long a request has occupied its endpoint. */
  void RecordHoldingTime(const ServiceName& service,
                         std::chrono::milliseconds time);

  /**
   * Records how long the prompt of a request has waited for its prefill.
   * @param backlog Prompt tokens that waited at its endpoint once it had
   *     started, its own included.
   */
  void RecordPrefillTime(const ServiceName& service,
                         std::chrono::milliseconds time,
                         std::int64_t backlog);

  /** @return Mean time from the choice of an endpoint until it responds. */
  std::chrono::milliseconds ExpectedFirstResponse(
      const ServiceName& service) const;

  void RecordResult(EndpointState& endpoint,
                    EndpointResult result,
                    TimePoint now);

  /** Records the load that an endpoint reported in a response. */
  void RecordReportedLoad(EndpointState& endpoint,
                          SelfReportedLoad load,
                          TimePoint now);

  /** Sets the total load of all other gateways at an endpoint. */
  void SetPeerLoad(const EndpointId& id,
                   std::int64_t requests,
                   std::int64_t prefill_tokens);

  /** Sets the time of which the loads of other gateways are, on average. */
  void SetPeerLoadsTime(TimePoint time) { this->peer_loads_at = time; }
  TimePoint PeerLoadsTime() const { return this->peer_loads_at; }

  /** @return Estimated requests per slot at the endpoint with the fewest that
   * may be used now; empty if there is none, or if the loads of other gateways
   * are older than `max_age`. */
  std::optional<double> LeastRequestsPerSlot(const ServiceName& service,
                                             std::chrono::milliseconds max_age,
                                             TimePoint now) const;

  /** @return Estimated occupied share of a service's slots: 0 when idle, above
   * 1 when overloaded, 1 for a service without slots. */
  double Utilisation(const ServiceName& service) const;

 private:
  /** Mean of recent durations. */
  struct MeanTime {
    double seconds;
    int samples = 0;

    void Add(std::chrono::milliseconds time);
  };

  /** Mean durations in a service. */
  struct ServiceTimes {
    MeanTime holding;
    MeanTime prefill;
    PrefillSpeed prefill_speed;
  };

  /**
   * How the loads of other gateways are weighed. Requests that a load counts
   * end while it ages: what is left of an endpoint's difference from the mean
   * falls with its age, relative to the time that requests last.
   */
  struct PeerBasis {
    double mean_requests = 0;
    double mean_prefill_tokens = 0;
    double request_freshness = 1;  ///< 1: as it is now; 0: unknown.
    double prefill_freshness = 1;
  };

  template <class HasRoom>
  std::vector<EndpointHandle> EligibleEndpoints(const EndpointQuery& query,
                                                const PeerBasis& basis,
                                                TimePoint now,
                                                HasRoom room) const {
    std::vector<EndpointHandle> usable;
    std::vector<EndpointHandle> suspect;
    for (const EndpointHandle& endpoint : this->EndpointsOf(query.service)) {
      if (!this->IsEligible(*endpoint, query, basis, now) || !room(*endpoint))
        continue;
      const EndpointUse use = endpoint->availability.StateAt(now).use;
      if (use != EndpointUse::kNever)
        (use == EndpointUse::kNormal ? usable : suspect).push_back(endpoint);
    }
    // Suspect endpoints are the fallback: if all of them are suspect, the
    // suspicion may be wrong.
    return usable.empty() ? suspect : usable;
  }

  const std::vector<EndpointHandle>& EndpointsOf(const ServiceName& name) const;
  void RemoveFromService(const EndpointHandle& endpoint);
  /** Sets what the published record and the evacuations say of an endpoint. */
  void UpdateAvailability(EndpointState& endpoint);
  /** Updates the endpoints of a failure domain. */
  void UpdateDomain(const FailureDomainId& domain);
  /** Restores what an endpoint has said before it says more. @return False if
   * a later process with its id has spoken. */
  bool CanSpeak(EndpointState& endpoint);
  void RememberStatement(EndpointState& endpoint);
  void RestoreStatement(EndpointState& endpoint);
  static const ServiceTimes kDefaultTimes;

  /** @return True if the endpoint shares the load of its service. Requests that
   * still run at others must not raise the mean that limits each. */
  static bool SharesLoad(const EndpointState& endpoint) {
    return !endpoint.entry.leaving && !endpoint.availability.IsEvacuated();
  }

  PeerBasis BasisOf(const ServiceName& service, TimePoint now) const;
  ServiceTimes& TimesOf(const ServiceName& service);
  static double RequestsAt(const EndpointState& endpoint,
                           const PeerBasis& basis);
  static double PrefillTokensAt(const EndpointState& endpoint,
                                const PeerBasis& basis);
  /** @return True if it is better to wait for a slot of this endpoint than to
   * prefill the prompt at another one. */
  bool MayQueueAt(const EndpointState& endpoint,
                  const EndpointQuery& query,
                  TimePoint now) const;
  bool IsEligible(const EndpointState& endpoint,
                  const EndpointQuery& query,
                  const PeerBasis& basis,
                  TimePoint now) const;
  EngineMemory::Moment MemoryMoment(const EndpointState& endpoint,
                                    TimePoint now) const;
  EndpointHandle ChooseFrom(const std::vector<EndpointHandle>& usable,
                            const EndpointQuery& query,
                            const PeerBasis& basis,
                            TimePoint now) const;
  double EstimateCost(const EndpointState& endpoint,
                      const EndpointQuery& query,
                      const PeerBasis& basis,
                      bool is_home,
                      TimePoint now) const;
  double MeanRunning(const ServiceName& service, const PeerBasis& basis) const;

  FailureDomainId own_domain;
  EndpointSelectorLimits limits;
  std::size_t gateway_count = 1;
  TimePoint peer_loads_at{};  ///< Zero: the loads are always current.
  std::unordered_map<ServiceName, ServiceTimes> times;
  /** What endpoints have said, published or not. */
  std::unordered_map<EndpointId, EndpointStatement> statements;
  DomainEvacuations evacuations;
  std::map<EndpointId, EndpointHandle> endpoints;
  std::unordered_map<ServiceName, std::vector<EndpointHandle>>
      endpoints_by_service;
  std::unordered_map<ServiceName, EngineMemoryUse> memory_uses;
  std::vector<SegmentLocation>
      unannounced_segments;  ///< Not yet announced to peers.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ENDPOINT_SELECTOR_H_
