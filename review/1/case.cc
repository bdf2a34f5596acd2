/** @file case.cc Planned stop of a gateway at which requests wait for a slot.
 */

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>

#include "../common/caller.h"
#include "../common/configuration.h"
#include "../common/gateway.h"
#include "../common/metadata_store.h"
#include "../common/server.h"

namespace review {
namespace {

constexpr std::chrono::seconds kPlanTime{11};  ///< One plan takes as long.
constexpr milliseconds kEventInterval{250};
constexpr milliseconds kPlanDeadline{15000};  ///< Of a caller, and the route's.
/** Four times the latency objective: a caller without any event leaves. */
constexpr milliseconds kTargetLatency{1500};
constexpr milliseconds kPatience = 4 * kTargetLatency;
constexpr std::size_t kSlots = 4;

/** Generates a plan as a stream of events. */
void GeneratePlan(const ServerCall& call) {
  if (!call.BeginEvents())
    return;
  const TimePoint end = Clock::now() + kPlanTime;
  int number = 0;
  while (Clock::now() < end) {
    if (!call.Event(++number) || !call.Work(kEventInterval))
      return;
  }
  call.EndEvents();
}

CallerRequest PlanRequest(int number) {
  CallerRequest request;
  const std::string text = std::to_string(number);
  request.id = "plan-" + text;
  request.target = "/plan/" + text;
  request.body = "a floor of 40 m by 20 m";
  request.deadline = kPlanDeadline;
  request.patience = kPatience;
  request.more_fields =
      "Buckthornpath-Model: m\r\nBuckthornpath-Token-Usage: 900,200\r\n"
      "Buckthornpath-Prompt-Prefix: a1:400,b" +
      text + ":300,c" + text + ":200\r\n";
  return request;
}

/** Callers on threads of their own. */
class Callers {
 public:
  explicit Callers(Record& record) : record(record) {}
  ~Callers() { this->Join(); }

  void Start(const Address& front, const CallerRequest& request) {
    this->threads.emplace_back([this, front, request] {
      const CallerResult result = Call(front, request, this->record);
      const std::lock_guard lock(this->mutex);
      this->results.push_back(result);
    });
  }

  const std::vector<CallerResult>& Join() {
    for (std::thread& thread : this->threads)
      thread.join();
    this->threads.clear();
    return this->results;
  }

 private:
  Record& record;
  std::mutex mutex;
  std::vector<CallerResult> results;
  std::list<std::thread> threads;
};

bool HasRun(const std::vector<std::unique_ptr<Server>>& servers,
            const std::string& id) {
  for (const auto& server : servers) {
    for (const Run& run : server->Runs()) {
      if (run.id == id)
        return true;
    }
  }
  return false;
}

/** @return 1 if the rule is broken, 0 if it holds, 2 if the case can't run. */
int RunCase(bool has_trouble, const std::string& record_path) {
  Record record(record_path);
  const Network network;
  const ScratchFolder folder;
  MetadataStore store(network.At(1, kStorePort), record);
  ConfigurationText configuration;
  configuration.services = {"pool"};
  configuration.routes = {{"/plan/", "streaming", "pool",
                           static_cast<int>(kPlanDeadline.count()), 1500, 2, 1,
                           false}};
  store.Put(kConfigurationKey, configuration.Json());
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 2; ++i) {
    servers.push_back(std::make_unique<Server>(
        Server::Plan{"pool-" + std::to_string(i), network.At(100 + i, 8228),
                     kSlots, 8, GeneratePlan},
        record));
    store.Put("servers/pool-" + std::to_string(i),
              servers.back()->Entry("pool", "ready"));
  }
  // Each is alone in its zone, as in two of the three zones of the site.
  std::list<Gateway> gateways;
  for (const char* zone : {"zone-a", "zone-b"}) {
    gateways.emplace_back(
        network,
        Gateway::Plan{static_cast<int>(gateways.size()), zone,
                      network.At(1, kStorePort),
                      Gateway::Control(network, 0).Text() + "," +
                          Gateway::Control(network, 1).Text()},
        folder.Path(), record);
    gateways.back().Start();
  }
  Gateway& stopped = gateways.front();
  for (const Gateway& gateway : gateways) {
    if (!gateway.AwaitReady(std::chrono::seconds(10)))
      return 2;
  }
  const Entry entry({&stopped});
  std::this_thread::sleep_for(std::chrono::seconds(4));

  Callers callers(record);
  int number = 0;
  // Plans take the slots that the gateways give to requests of this rank.
  for (std::size_t i = 0; i < 2 * (kSlots - 1); ++i) {
    callers.Start(stopped.Front(), PlanRequest(++number));
    std::this_thread::sleep_for(milliseconds(50));
  }
  std::this_thread::sleep_for(milliseconds(500));
  const TimePoint stop_at = Clock::now();
  if (has_trouble) {
    record.Line("platform: SIGTERM to front-0");
    stopped.Signal(SIGTERM);
  }
  // More plans follow on new channels: the zone has no other machine.
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_until(stop_at + milliseconds(2200 + 100 * i));
    if (entry.Includes(0))
      callers.Start(stopped.Front(), PlanRequest(++number));
  }
  std::this_thread::sleep_until(stop_at + kGrace);
  if (has_trouble && !stopped.HasEnded()) {
    record.Line("platform: SIGKILL to front-0");
    stopped.Signal(SIGKILL);
  }

  int broken = 0;
  for (const CallerResult& result : callers.Join()) {
    const bool is_late = result.ended_at - result.sent_at > kLossSlack;
    const bool has_left = !result.is_closed;
    const bool is_due = result.ended_at - result.started_at >= kPlanDeadline;
    // A server that was still at work at the end is an excuse.
    if (result.is_complete || has_left || !is_late || is_due ||
        HasRun(servers, result.id))
      continue;
    ++broken;
    record.Line(
        "LOST: " + result.id + " was sent " +
        std::to_string(record.At(result.sent_at) - record.At(stop_at)) +
        " ms after the SIGTERM, reached no server, and its channel "
        "closed without an answer " +
        std::to_string(record.At(result.ended_at) - record.At(result.sent_at)) +
        " ms later");
  }
  record.Line(std::to_string(broken) + " requests lost");
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  const char* trouble = std::getenv("TROUBLE");
  try {
    return review::RunCase(
        trouble == nullptr || std::string_view(trouble) != "0", argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
