/** @file engine_replay.cc Replays a load of prompts against model engines. */

#include "harness/engine_replay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

#include "harness/replay_endpoint.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = EndpointSelector::TimePoint;

const ServiceName kService("llm");

/** Share of an engine's time that goes to prompts while any is prefilled, and
 * the speed of the other streams meanwhile: steps with a chunk of a prompt take
 * about three times as long. */
constexpr double kPrefillShare = 0.75;
constexpr double kDecodeSpeedBesidePrefill = 0.33;

/** Time from the end of the prefill to the first event. */
constexpr milliseconds kFirstEvent{65};

/** The platform judges the bound on the load of an engine in such windows. */
constexpr std::size_t kBoundWindowSeconds = 5;
constexpr std::size_t kTicksPerSecond = 1000;

/** Interval at which a gateway retries its waiting requests. */
constexpr int kRetryInterval = 20;

struct ReplayRequest {
  std::size_t kind = 0;
  std::size_t gateway = 0;
  std::vector<PromptSegment> segments;
  TimePoint arrived_at{};
  EndpointHandle endpoint;  ///< As the gateway knows it; null while it waits.
  TimePoint started_at{};
  std::int64_t expected_prefill = 0;
  std::int64_t backlog = 0;  ///< Prompt tokens ahead, as the gateway knew.
  double prefill_left = 0;
  double decode_left = 0;
  bool is_decoding = false;
  TimePoint first_event_at{};
};

using RequestPtr = std::shared_ptr<ReplayRequest>;

/** Prompts in an engine's memory, the least recently used first. */
class PromptCache {
 public:
  explicit PromptCache(std::uint64_t capacity) : capacity(capacity) {}

  /** Uses a prompt. @return True if it was cached. */
  bool Use(std::uint64_t id, std::uint32_t tokens) {
    const auto found = this->places.find(id);
    const bool hit = found != this->places.end();
    if (hit) {
      this->order.erase(found->second);
    } else {
      this->used += tokens;
    }
    this->places[id] = this->order.insert(this->order.end(), {id, tokens});
    while (this->used > this->capacity && this->order.size() > 1) {
      this->used -= this->order.front().tokens;
      this->places.erase(this->order.front().id);
      this->order.pop_front();
    }
    return hit;
  }

 private:
  std::uint64_t capacity;
  std::uint64_t used = 0;
  std::list<PromptSegment> order;
  std::unordered_map<std::uint64_t, std::list<PromptSegment>::iterator> places;
};

struct ModelEngine {
  explicit ModelEngine(std::uint64_t cache_tokens) : cache(cache_tokens) {}

  PromptCache cache;
  std::vector<RequestPtr> running;
  std::deque<RequestPtr> prefilling;
  std::multimap<int, RequestPtr> queued;  ///< By priority.

  std::size_t Load() const {
    return this->running.size() + this->queued.size();
  }
};

class EngineReplay {
 public:
  explicit EngineReplay(const EngineReplayPlan& plan)
      : plan(plan), random(plan.seed), waiting(plan.gateways) {
    this->result.classes.resize(plan.classes.size());
    for (const ReplayClass& kind : plan.classes) {
      std::vector<double> weights;
      for (std::size_t n = 1; n <= kind.prompts; ++n)
        weights.push_back(std::pow(static_cast<double>(n), -kind.skew));
      this->popularities.emplace_back(weights.begin(), weights.end());
    }
    this->engines.assign(plan.engines, ModelEngine(plan.cache_tokens));
    for (std::size_t i = 0; i < plan.gateways; ++i) {
      this->selectors.emplace_back(ReplayDomain(i), plan.limits);
      this->selectors.back().SetGatewayCount(plan.gateways);
      this->selectors.back().SetEngineMemory(
          kService, static_cast<std::int64_t>(plan.known_memory_tokens));
      for (std::size_t e = 0; e < plan.engines; ++e)
        this->selectors.back().Publish(
            ReplayEntry(kService, e, this->plan.slots));
    }
  }

  EngineReplayResult Run() {
    for (this->tick = 0; this->tick < this->plan.duration.count();
         ++this->tick) {
      this->now += milliseconds(1);
      for (ModelEngine& engine : this->engines)
        this->Step(engine);
      this->ExchangeLoads();
      this->StartRequests();
      this->RetryWaiting();
    }
    this->Summarize();
    return this->result;
  }

 private:
  milliseconds Elapsed(TimePoint since) const {
    return std::chrono::duration_cast<milliseconds>(this->now - since);
  }

  // Engines.

  void Step(ModelEngine& engine) {
    const bool is_prefilling = !engine.prefilling.empty();
    const double speed = is_prefilling ? kDecodeSpeedBesidePrefill : 1.0;
    for (const RequestPtr& request : engine.running) {
      if (request->is_decoding)
        request->decode_left -= speed;
    }
    if (is_prefilling)
      this->StepPrefill(engine);
    std::erase_if(engine.running, [&](const RequestPtr& request) {
      if (!request->is_decoding || request->decode_left > 0)
        return false;
      this->Finish(*request);
      return true;
    });
    while (engine.running.size() < this->plan.slots && !engine.queued.empty()) {
      const RequestPtr request = engine.queued.begin()->second;
      engine.queued.erase(engine.queued.begin());
      this->Admit(engine, request);
    }
  }

  void StepPrefill(ModelEngine& engine) {
    double tokens = kPrefillShare * this->plan.prefill_tokens_per_ms;
    while (tokens > 0 && !engine.prefilling.empty()) {
      const RequestPtr request = engine.prefilling.front();
      const double used = std::min(tokens, request->prefill_left);
      tokens -= used;
      request->prefill_left -= used;
      if (request->prefill_left > 0)
        return;
      engine.prefilling.pop_front();
      request->is_decoding = true;
      request->first_event_at = this->now + kFirstEvent;
      this->selectors[request->gateway].RecordPrefillEnd(
          *request->endpoint, std::exchange(request->expected_prefill, 0));
      this->selectors[request->gateway].RecordPrefillTime(
          kService, this->Elapsed(request->started_at) + kFirstEvent,
          request->backlog);
      this->selectors[request->gateway].RecordResponseData(*request->endpoint,
                                                           this->now);
    }
  }

  void Admit(ModelEngine& engine, const RequestPtr& request) {
    const ReplayClass& kind = this->plan.classes[request->kind];
    const PromptSegment& shared = request->segments.front();
    request->prefill_left = kind.own_tokens;
    if (!engine.cache.Use(shared.id, shared.tokens)) {
      request->prefill_left += shared.tokens;
      if (!this->read_prompts.insert(shared.id).second)
        this->result.read_again += shared.tokens / 1e6;
    }
    engine.running.push_back(request);
    engine.prefilling.push_back(request);
  }

  void Finish(ReplayRequest& request) {
    EndpointSelector& selector = this->selectors[request.gateway];
    selector.RecordEnd(*request.endpoint);
    selector.RecordHoldingTime(kService, this->Elapsed(request.started_at));
    const ReplayClass& kind = this->plan.classes[request.kind];
    ReplayClassResult& counts = this->result.classes[request.kind];
    const auto first_event = request.first_event_at - request.arrived_at;
    counts.first_events.push_back(
        std::chrono::duration_cast<milliseconds>(first_event));
    if (this->Elapsed(request.arrived_at) > kind.deadline) {
      return;
    }
    ++(first_event <= kind.target ? counts.on_time : counts.late);
  }

  // Gateways.

  void StartRequests() {
    for (std::size_t k = 0; k < this->plan.classes.size(); ++k) {
      const ReplayClass& kind = this->plan.classes[k];
      const bool is_burst = milliseconds(this->tick) >= kind.burst_from &&
                            milliseconds(this->tick) < kind.burst_to;
      std::poisson_distribution<int> arrivals(
          kind.requests_per_second / 1000.0 * (is_burst ? kind.burst : 1.0));
      const int count = arrivals(this->random);
      for (int i = 0; i < count; ++i)
        this->StartRequest(k);
    }
  }

  void StartRequest(std::size_t kind_number) {
    const ReplayClass& kind = this->plan.classes[kind_number];
    auto request = std::make_shared<ReplayRequest>();
    request->kind = kind_number;
    request->gateway = this->random() % this->plan.gateways;
    const bool is_hot =
        std::uniform_real_distribution<double>()(this->random) < kind.hot_share;
    const std::uint64_t prompt = is_hot ? 0 : this->SamplePrompt(kind_number);
    request->segments = {{kind_number * 1000000 + prompt, kind.shared_tokens},
                         {this->random() | (1ULL << 63), kind.own_tokens}};
    request->arrived_at = this->now;
    std::exponential_distribution<double> decode(
        1.0 / static_cast<double>(kind.decode.count()));
    request->decode_left = 0.5 * static_cast<double>(kind.decode.count()) +
                           0.5 * decode(this->random);
    ++this->result.classes[kind_number].requests;
    auto& queue = this->waiting[request->gateway];
    if (!this->TryStart(request))
      queue.emplace(kind.priority, request);
  }

  std::uint64_t SamplePrompt(std::size_t kind_number) {
    const ReplayClass& kind = this->plan.classes[kind_number];
    if (kind.skew == 0)
      return this->random() % kind.prompts;
    return this->popularities[kind_number](this->random);
  }

  bool TryStart(const RequestPtr& request) {
    EndpointSelector& selector = this->selectors[request->gateway];
    const EndpointQuery query{kService,
                              request->segments,
                              this->plan.classes[request->kind].priority,
                              {},
                              false,
                              this->plan.classes[request->kind].target};
    const EndpointHandle chosen = selector.Choose(
        query, this->now, [](const EndpointState&) { return true; });
    if (!chosen)
      return false;
    ModelEngine& engine =
        this->engines[ReplayEndpointNumber(chosen->Entry().id)];
    this->CheckBound(engine);
    if (engine.Load() >= this->plan.slots + this->plan.queue_length) {
      ++this->result.classes[request->kind].refused;
      return true;
    }
    request->endpoint = chosen;
    request->started_at = this->now;
    request->expected_prefill =
        selector.RecordStart(*chosen, request->segments, this->now);
    request->backlog = chosen->PrefillBacklog();
    engine.queued.emplace(query.priority, request);
    return true;
  }

  void RetryWaiting() {
    if (this->tick % kRetryInterval != 0)
      return;
    for (auto& queue : this->waiting) {
      for (auto entry = queue.begin(); entry != queue.end();) {
        const RequestPtr request = entry->second;
        const milliseconds limit =
            this->plan.classes[request->kind].deadline / 2;
        if (this->Elapsed(request->arrived_at) > limit) {
          ++this->result.classes[request->kind].refused;
        } else if (!this->TryStart(request)) {
          break;
        }
        entry = queue.erase(entry);
      }
    }
  }

  void CheckBound(const ModelEngine& engine) {
    double total = 0;
    for (const ModelEngine& other : this->engines)
      total += static_cast<double>(other.Load());
    const double mean = total / static_cast<double>(this->engines.size());
    const auto second = static_cast<std::size_t>(this->tick) / kTicksPerSecond;
    this->placed.resize(second + 1);
    ++this->placed[second].all;
    if (static_cast<double>(engine.Load()) > 2 * mean + 3)
      ++this->placed[second].over_bound;
  }

  // What gateways tell each other.

  struct Report {
    std::vector<std::vector<std::int64_t>> requests;  ///< By engine, gateway.
    std::vector<std::vector<std::int64_t>> tokens;
    std::vector<SegmentLocation> segments;
  };

  void ExchangeLoads() {
    const auto interval = this->plan.load_interval.count();
    if (this->tick % interval != 0)
      return;
    this->reports.push_back(this->MakeReport());
    const auto rounds =
        static_cast<std::size_t>(this->plan.load_delay.count() / interval);
    if (this->reports.size() <= rounds)
      return;
    const Report report = std::move(this->reports.front());
    this->reports.pop_front();
    for (std::size_t g = 0; g < this->selectors.size(); ++g)
      this->ApplyReport(g, report);
  }

  Report MakeReport() {
    Report report;
    report.requests.assign(this->engines.size(),
                           std::vector<std::int64_t>(this->selectors.size()));
    report.tokens = report.requests;
    for (std::size_t g = 0; g < this->selectors.size(); ++g) {
      for (const auto& [id, endpoint] : this->selectors[g].All()) {
        report.requests[ReplayEndpointNumber(id)][g] = endpoint->OwnRequests();
        report.tokens[ReplayEndpointNumber(id)][g] =
            endpoint->OwnPrefillTokens();
      }
      for (SegmentLocation& place : this->selectors[g].TakeNewSegments())
        report.segments.push_back(std::move(place));
    }
    return report;
  }

  void ApplyReport(std::size_t gateway, const Report& report) {
    EndpointSelector& selector = this->selectors[gateway];
    for (std::size_t e = 0; e < this->engines.size(); ++e) {
      std::int64_t requests = -report.requests[e][gateway];
      std::int64_t tokens = -report.tokens[e][gateway];
      for (std::size_t g = 0; g < this->selectors.size(); ++g) {
        requests += report.requests[e][g];
        tokens += report.tokens[e][g];
      }
      selector.SetPeerLoad(ReplayEndpointId(e), requests, tokens);
    }
    selector.SetPeerLoadsTime(this->now - this->plan.load_delay);
    for (const SegmentLocation& place : report.segments)
      selector.RecordSegment(place, this->now);
  }

  void Summarize() {
    double earned = 0;
    double owed = 0;
    for (std::size_t k = 0; k < this->plan.classes.size(); ++k) {
      const ReplayClass& kind = this->plan.classes[k];
      ReplayClassResult& counts = this->result.classes[k];
      std::sort(counts.first_events.begin(), counts.first_events.end());
      const double class_earned =
          kind.worth * static_cast<double>(counts.on_time) +
          kind.late_worth * static_cast<double>(counts.late);
      const double class_owed =
          kind.worth * static_cast<double>(counts.requests);
      counts.worth_share = class_owed > 0 ? class_earned / class_owed : 0;
      earned += class_earned;
      owed += class_owed;
    }
    this->result.worth_share = owed > 0 ? earned / owed : 0;
    for (std::size_t i = 0; i + kBoundWindowSeconds <= this->placed.size(); ++i)
      this->result.over_bound =
          std::max(this->result.over_bound, this->OverBoundFrom(i));
  }

  /** @return Share of requests over the bound in a window. */
  double OverBoundFrom(std::size_t first_second) const {
    double all = 0;
    double over_bound = 0;
    for (std::size_t i = 0; i < kBoundWindowSeconds; ++i) {
      all += this->placed[first_second + i].all;
      over_bound += this->placed[first_second + i].over_bound;
    }
    return all > 0 ? over_bound / all : 0;
  }

  /** Requests sent to engines within one second. */
  struct PlacedCount {
    double all = 0;
    double over_bound = 0;
  };

  EngineReplayPlan plan;
  std::mt19937_64 random;
  std::deque<EndpointSelector> selectors;
  std::vector<std::discrete_distribution<std::uint64_t>> popularities;
  std::vector<ModelEngine> engines;
  std::vector<std::multimap<int, RequestPtr>> waiting;  ///< By gateway.
  std::deque<Report> reports;
  std::set<std::uint64_t> read_prompts;
  std::int64_t tick = 0;
  TimePoint now{std::chrono::hours(1)};
  std::vector<PlacedCount> placed;  ///< For each second.
  EngineReplayResult result;
};

}  // namespace

milliseconds ReplayClassResult::FirstEventAt(double quantile) const {
  if (this->first_events.empty())
    return milliseconds(0);
  const auto last = static_cast<double>(this->first_events.size() - 1);
  return this->first_events[static_cast<std::size_t>(quantile * last)];
}

EngineReplayResult ReplayEngines(const EngineReplayPlan& plan) {
  return EngineReplay(plan).Run();
}

}  // namespace buckthornpath
