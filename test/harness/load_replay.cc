/** @file load_replay.cc Replays a load against many endpoint selectors. */

#include "harness/load_replay.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <set>
#include <string>

#include "buckthornpath/admission_ratio.h"
#include "harness/replay_endpoint.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using TimePoint = EndpointSelector::TimePoint;

const ServiceName kService("service");
constexpr milliseconds kStep{1};
constexpr double kWaveSeconds = 15.0;
constexpr double kMillisecondsPerSecond = 1000.0;

struct RunningRequest {
  std::size_t gateway = 0;
  EndpointHandle endpoint;  ///< As the gateway knows it.
  std::int64_t pending_prefill = 0;
  milliseconds work{};
  TimePoint started_at{};
  TimePoint ends_at{};
};

/** An endpoint with slots and a queue in order of arrival. */
struct ModelEndpoint {
  std::vector<RunningRequest> running;
  std::deque<RunningRequest> queued;
  std::set<std::uint64_t> prompts;  ///< Read so far.

  std::size_t Load() const {
    return this->running.size() + this->queued.size();
  }
};

class Replay {
 public:
  explicit Replay(const ReplayPlan& plan)
      : plan(plan),
        random(plan.seed),
        ratios(plan.gateways),
        endpoints(plan.endpoints) {
    for (std::size_t i = 0; i < plan.gateways; ++i) {
      this->selectors.emplace_back(ReplayDomain(i), EndpointSelectorLimits{});
      for (std::size_t e = 0; e < plan.endpoints; ++e)
        this->selectors.back().Publish(
            ReplayEntry(kService, e, this->plan.slots));
    }
  }

  ReplayResult Run() {
    const TimePoint end = this->now + this->plan.duration;
    while (this->now < end) {
      this->now += kStep;
      this->FinishRequests();
      this->ExchangeLoads();
      this->StartRequests();
    }
    std::sort(this->result.waits.begin(), this->result.waits.end());
    this->CountPrompts();
    return this->result;
  }

 private:
  void StartRequests() {
    const double seconds =
        std::chrono::duration<double>(this->now.time_since_epoch()).count();
    const double wave = 1 + this->plan.wave * std::sin(2 * std::numbers::pi *
                                                       seconds / kWaveSeconds);
    const double clumps_per_step = wave * this->plan.requests_per_second /
                                   static_cast<double>(this->plan.clump) /
                                   kMillisecondsPerSecond;
    std::poisson_distribution<int> clumps(clumps_per_step);
    const int count = clumps(this->random);
    for (int i = 0; i < count; ++i) {
      const std::size_t gateway = this->random() % this->plan.gateways;
      for (std::size_t k = 0; k < this->plan.clump; ++k)
        this->StartRequest(gateway);
    }
  }

  void StartRequest(std::size_t gateway) {
    ++this->result.requests;
    AdmissionRatio& ratio = this->ratios[gateway];
    if (this->plan.target.count() > 0 &&
        !ratio.TryAdmit(this->selectors[gateway].LeastRequestsPerSlot(
                            kService, this->plan.target, this->now),
                        this->now)) {
      const double taken = this->TakenShare();
      this->result.refused_beside_slots += taken < 0.8 ? 1 : 0;
      ++this->result.refused;
      return;
    }
    std::vector<PromptSegment> prompt;
    if (this->plan.prompts > 0) {
      prompt = {
          {1 + this->random() % this->plan.prompts, this->plan.prompt_tokens},
          {this->random(), 100}};
    }
    EndpointSelector& selector = this->selectors[gateway];
    const EndpointQuery query{kService, prompt, 2, {}, prompt.empty()};
    const EndpointHandle chosen = selector.Choose(
        query, this->now, [](const EndpointState&) { return true; });
    if (!chosen) {
      ++this->result.refused;
      return;
    }
    const std::size_t number = ReplayEndpointNumber(chosen->Entry().id);
    ModelEndpoint& endpoint = this->endpoints[number];
    this->CheckBound(endpoint);
    if (endpoint.Load() >= this->plan.slots + this->plan.queue_length) {
      ++this->result.shed;
      ratio.RecordFull(this->now);
      return;
    }
    if (!prompt.empty())
      endpoint.prompts.insert(prompt.front().id);
    RunningRequest request;
    request.gateway = gateway;
    request.endpoint = chosen;
    request.started_at = this->now;
    request.work = this->SampleWork();
    request.pending_prefill = selector.RecordStart(*chosen, prompt, this->now);
    selector.RecordPrefillEnd(*chosen, request.pending_prefill);
    selector.RecordResponseData(*chosen, this->now);
    endpoint.queued.push_back(std::move(request));
    this->FillSlots(endpoint);
  }

  milliseconds SampleWork() {
    std::exponential_distribution<double> work(
        1.0 / static_cast<double>(this->plan.mean_work.count()));
    return milliseconds(1 + static_cast<std::int64_t>(work(this->random)));
  }

  /** @return Share of all slots that are taken. */
  double TakenShare() const {
    std::size_t running = 0;
    for (const ModelEndpoint& endpoint : this->endpoints)
      running += endpoint.running.size();
    return static_cast<double>(running) /
           static_cast<double>(this->plan.slots * this->plan.endpoints);
  }

  /** @return How much longer work takes at an endpoint now: each is slow in
   * turn, for a part of the time. */
  double SlowdownOf(const ModelEndpoint& endpoint) const {
    constexpr std::int64_t kSlowPeriodMs = 600;
    constexpr std::int64_t kSlowMs = 90;
    const auto tick =
        std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch())
            .count();
    const auto number = &endpoint - this->endpoints.data();
    const auto phase = (tick + number * 200) % kSlowPeriodMs;
    return phase < kSlowMs ? this->plan.slowdown : 1.0;
  }

  void CheckBound(const ModelEndpoint& endpoint) {
    double total = 0;
    for (const ModelEndpoint& other : this->endpoints)
      total += static_cast<double>(other.Load());
    const double mean = total / static_cast<double>(this->endpoints.size());
    if (static_cast<double>(endpoint.Load()) > 2 * mean + 3)
      ++this->result.over_bound;
  }

  void FillSlots(ModelEndpoint& endpoint) {
    while (endpoint.running.size() < this->plan.slots &&
           !endpoint.queued.empty()) {
      RunningRequest request = std::move(endpoint.queued.front());
      endpoint.queued.pop_front();
      this->result.waits.push_back(std::chrono::duration_cast<milliseconds>(
          this->now - request.started_at));
      request.ends_at =
          this->now + std::chrono::duration_cast<milliseconds>(
                          request.work * this->SlowdownOf(endpoint));
      endpoint.running.push_back(std::move(request));
    }
  }

  void FinishRequests() {
    for (ModelEndpoint& endpoint : this->endpoints) {
      std::erase_if(endpoint.running, [&](const RunningRequest& request) {
        if (request.ends_at > this->now)
          return false;
        EndpointSelector& selector = this->selectors[request.gateway];
        selector.RecordEnd(*request.endpoint);
        const auto took = std::chrono::duration_cast<milliseconds>(
            this->now - request.started_at);
        selector.RecordHoldingTime(kService, took);
        this->ratios[request.gateway].RecordResponse(took, this->plan.target,
                                                     this->now);
        ++this->result.served;
        this->result.in_target += took <= this->plan.target ? 1 : 0;
        return true;
      });
      this->FillSlots(endpoint);
    }
  }

  /** Each gateway learns the loads of all at its own phase of the interval. */
  void ExchangeLoads() {
    const auto tick = static_cast<std::size_t>(
        std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch())
            .count());
    this->history.push_back(this->CurrentLoads());
    const auto delay = static_cast<std::size_t>(this->plan.load_delay.count());
    if (this->history.size() <= delay)
      return;
    if (this->history.size() > delay + 1)
      this->history.pop_front();
    const auto interval =
        static_cast<std::size_t>(this->plan.load_interval.count());
    for (std::size_t i = 0; i < this->selectors.size(); ++i) {
      if ((tick + i * interval / this->selectors.size()) % interval == 0)
        this->ApplyLoads(i, this->history.front());
    }
  }

  /** Outstanding requests by endpoint, then by gateway. */
  using Loads = std::vector<std::vector<std::int64_t>>;

  Loads CurrentLoads() const {
    Loads loads(this->endpoints.size(),
                std::vector<std::int64_t>(this->selectors.size()));
    for (std::size_t e = 0; e < this->endpoints.size(); ++e) {
      for (const RunningRequest& request : this->endpoints[e].running)
        ++loads[e][request.gateway];
      for (const RunningRequest& request : this->endpoints[e].queued)
        ++loads[e][request.gateway];
    }
    return loads;
  }

  void ApplyLoads(std::size_t gateway, const Loads& loads) {
    EndpointSelector& selector = this->selectors[gateway];
    for (std::size_t e = 0; e < loads.size(); ++e) {
      std::int64_t total = 0;
      for (const std::int64_t count : loads[e])
        total += count;
      selector.SetPeerLoad(ReplayEndpointId(e), total - loads[e][gateway], 0);
    }
    selector.SetPeerLoadsTime(this->now - this->plan.load_delay);
  }

  void CountPrompts() {
    std::set<std::uint64_t> known;
    double reads = 0;
    for (const ModelEndpoint& endpoint : this->endpoints) {
      reads += static_cast<double>(endpoint.prompts.size());
      known.insert(endpoint.prompts.begin(), endpoint.prompts.end());
    }
    if (!known.empty())
      this->result.prefilled_again =
          reads / static_cast<double>(known.size()) - 1;
  }

  ReplayPlan plan;
  std::mt19937_64 random;
  std::deque<EndpointSelector> selectors;
  std::vector<AdmissionRatio> ratios;
  std::vector<ModelEndpoint> endpoints;
  std::deque<Loads> history;  ///< One entry for each step, the oldest first.
  TimePoint now{std::chrono::hours(1)};
  ReplayResult result;
};

}  // namespace

milliseconds ReplayResult::WaitAt(double quantile) const {
  if (this->waits.empty())
    return milliseconds(0);
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(this->waits.size() - 1));
  return this->waits[index];
}

ReplayResult ReplayLoad(const ReplayPlan& plan) {
  return Replay(plan).Run();
}

}  // namespace buckthornpath
