/** @file load_run.cc Sends a workload to a fleet and records the results. */

#include "load_run.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

#include "harness/caller.h"
#include "kernel/http_client.h"
#include "node_scrape.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kWorkers = 3;
constexpr std::chrono::milliseconds kCallTimeout{40000};
constexpr std::chrono::milliseconds kLoadSampleInterval{250};
constexpr std::chrono::milliseconds kFlapInterval{1500};

/** Time limit for the last calls of a phase. */
constexpr std::chrono::seconds kTailTimeout{60};

FleetPlan PlanOf(const Deployment& deployment,
                 const std::string& policy,
                 std::size_t routers) {
  FleetPlan plan;
  plan.routers = routers;
  for (std::size_t i = 0; i < deployment.model_replicas; ++i) {
    plan.endpoints.push_back({"draft-" + std::to_string(i), "drafting", true});
  }
  for (std::size_t i = 0; i < deployment.plain_replicas; ++i) {
    plan.endpoints.push_back({"ledger-" + std::to_string(i), "ledger", false});
  }
  plan.settings = {{"placement_policy", policy},
                   {"vm_list_interval", 1000},
                   {"gossip_interval", 1000},
                   {"max_running", kEngineBatch},
                   {"log_level", "info"}};
  plan.engine_arguments = EngineArguments();
  plan.documents = BenchDocuments();
  return plan;
}

/** Content of a streamed response. */
struct StreamedResponse {
  std::string text;
  std::string location;
  int tokens = 0;
  std::size_t cached_tokens = 0;
  bool complete = false;
  bool refused = false;
  Clock::time_point first_token{};
};

void ReadChunk(const std::string& data, StreamedResponse& answer) {
  const auto chunk = nlohmann::json::parse(data);
  const auto usage = chunk.find("usage");
  if (usage != chunk.end() && usage->is_object()) {
    answer.cached_tokens =
        usage->at("prompt_tokens_details").value("cached_tokens", 0U);
    return;
  }
  if (answer.tokens++ == 0)
    answer.first_token = Clock::now();
  answer.text +=
      chunk.at("choices").at(0).at("delta").value("content", std::string());
}

/** Sends one call and reads the response. @throws HttpError */
asio::awaitable<void> SendCall(SocketAddress router,
                               HttpRequest request,
                               StreamedResponse& answer) {
  auto response = co_await HttpResponseStream::Open(router, std::move(request),
                                                    kCallTimeout);
  answer.refused = response->head().status != 200;
  answer.location = response->head().headers.Find("X-Location").value_or("");
  EventStreamParser reader;
  while (auto piece = co_await response->ReadSome(kCallTimeout)) {
    if (answer.refused)
      continue;
    reader.Feed(*piece);
    while (auto event = reader.Next()) {
      if (!event->id.empty())
        ReadChunk(event->data, answer);
      if (event->event == "end")
        answer.complete = true;
    }
  }
}

HttpRequest RequestOf(const Turn& turn, const PreparedTurn& prepared) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Append(
      "Authorization",
      "Bearer " + BenchOrganisations().at(turn.organisation).Credential());
  request.headers.Append("X-Profile", turn.rank.profile);
  request.headers.Append("X-Chat", prepared.chat);
  if (!prepared.location.empty())
    request.headers.Append("X-Location", prepared.location);
  request.headers.Append("Content-Type", "application/json");
  request.body = prepared.body;
  return request;
}

/** Runs the calls of one phase on a worker pool. */
class PhaseLoad {
 public:
  PhaseLoad(const LocalFleet& fleet, std::size_t routers, ChatBook& book)
      : fleet(fleet), routers(routers), book(book), pool(kWorkers) {}

  /** Sends each turn when it is due and waits for the responses. */
  void Run(const std::vector<Turn>& turns, PhaseResult& result) {
    this->outstanding = turns.size();
    const Clock::time_point start = Clock::now();
    for (std::size_t i = 0; i < turns.size(); ++i)
      this->pool.Spawn(this->SendAt(turns[i], start, i % this->routers));
    std::thread runner([this] { this->pool.Run(); });
    const auto deadline = start + turns.back().at + kTailTimeout;
    while (this->outstanding > 0 && Clock::now() < deadline)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    this->pool.Stop();
    runner.join();
    const std::lock_guard lock(this->mutex);
    result.calls = this->samples;
  }

 private:
  asio::awaitable<void> SendAt(Turn turn,
                               Clock::time_point start,
                               std::size_t router) {
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             start + turn.at);
    co_await timer.async_wait(asio::use_awaitable);
    co_await this->Send(turn, router);
    --this->outstanding;
  }

  asio::awaitable<void> Send(const Turn& turn, std::size_t router) {
    const PreparedTurn prepared = this->book.Begin(turn);
    StreamedResponse answer;
    const Clock::time_point started_at = Clock::now();
    HttpRequest request = RequestOf(turn, prepared);
    try {
      co_await SendCall(this->fleet.Router(router), std::move(request), answer);
    } catch (const HttpError&) {
      answer.complete = false;
    }
    this->book.End(turn, prepared, answer.text, answer.location,
                   answer.complete);
    CallSample sample;
    sample.organisation = turn.organisation;
    sample.rank = turn.rank.rank;
    sample.end = answer.complete  ? CallEnd::kFinished
                 : answer.refused ? CallEnd::kRefused
                                  : CallEnd::kFailed;
    sample.first_token = answer.first_token - started_at;
    sample.total = Clock::now() - started_at;
    sample.tokens = answer.tokens;
    sample.cached_tokens = answer.cached_tokens;
    sample.ideal_tokens = prepared.ideal_tokens;
    const std::lock_guard lock(this->mutex);
    this->samples.push_back(sample);
  }

  const LocalFleet& fleet;
  std::size_t routers;
  ChatBook& book;
  WorkerPool pool;
  std::atomic<std::size_t> outstanding = 0;
  std::mutex mutex;
  std::vector<CallSample> samples;
};

/** Runs a step periodically on its own thread until destroyed. */
class PeriodicTask {
 public:
  PeriodicTask(std::chrono::milliseconds interval, std::function<void()> step)
      : step(std::move(step)), thread([this, interval] {
          while (!this->stopped) {
            this->step();
            std::this_thread::sleep_for(interval);
          }
        }) {}

  ~PeriodicTask() {
    this->stopped = true;
    this->thread.join();
  }

  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

 private:
  std::function<void()> step;
  std::atomic<bool> stopped = false;
  std::thread thread;
};

/** Publishes a VM list in which one engine in ten is leaving, or none is. */
void PublishLeaving(LocalFleet& fleet, std::size_t replicas, bool is_leaving) {
  std::map<std::string, std::string> states;
  for (std::size_t i = 0; is_leaving && i < replicas; i += 10)
    states["draft-" + std::to_string(i)] = "leaving";
  fleet.PublishVms(states);
}

}  // namespace

LoadRun::LoadRun(const Deployment& deployment,
                 const std::string& policy,
                 std::size_t routers,
                 bool callers_echo,
                 std::uint64_t seed)
    : deployment(deployment),
      routers(routers),
      seed(seed),
      fleet(PlanOf(deployment, policy, routers)),
      book(callers_echo) {}

PhaseResult LoadRun::Run(const Phase& phase, std::chrono::seconds length) {
  PhaseResult result;
  result.name = phase.name;
  const std::vector<Turn> turns =
      DrawArrivals(this->deployment, phase, length,
                   this->seed + std::hash<std::string>()(phase.name));
  const ControlBytes before =
      ScrapeControlBytes(this->fleet, this->routers, this->deployment);
  const Clock::time_point start = Clock::now();
  {
    const PeriodicTask sampler(kLoadSampleInterval, [&] {
      result.loads.push_back(ScrapeLoad(this->fleet, this->deployment));
    });
    bool is_leaving = false;
    const PeriodicTask flapper(kFlapInterval, [&] {
      if (!phase.flapping)
        return;
      is_leaving = !is_leaving;
      PublishLeaving(this->fleet, this->deployment.model_replicas, is_leaving);
    });
    PhaseLoad load(this->fleet, this->routers, this->book);
    load.Run(turns, result);
  }
  result.length = Clock::now() - start;
  if (phase.flapping)
    PublishLeaving(this->fleet, this->deployment.model_replicas, false);
  result.control_bytes_per_s_max =
      MaxIncrease(before, ScrapeControlBytes(this->fleet, this->routers,
                                             this->deployment)) /
      result.length.count();
  return result;
}

}  // namespace buckthornpath
