/** @file case.cc A short outage of the store before a change of the
 * configuration. */

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <list>
#include <memory>
#include <string_view>
#include <thread>

#include "../common/caller.h"
#include "../common/configuration.h"
#include "../common/gateway.h"
#include "../common/metadata_store.h"
#include "../common/server.h"

namespace review {
namespace {

constexpr milliseconds kWorkTime{30};
constexpr milliseconds kCallInterval{100};
/** Time of a change before the outage, and length of the outage. */
constexpr milliseconds kLead{100};
constexpr milliseconds kOutage{500};

void PlaceOrder(const ServerCall& call) {
  if (call.Work(kWorkTime))
    call.Answer(200, "placed");
}

/** @return A configuration that sends orders to a service. */
std::string ConfigurationWith(int version, const std::string& service) {
  ConfigurationText configuration;
  configuration.version = version;
  configuration.services = {"desk-old", "desk-new"};
  configuration.routes = {
      {"/order/", "non_idempotent", service, 1200, 150, 2, 1, false}};
  return configuration.Json();
}

/** @return 1 if the rule is broken, 0 if it holds, 2 if the case can't run. */
int RunCase(bool has_trouble, const std::string& record_path) {
  Record record(record_path);
  const Network network;
  const ScratchFolder folder;
  MetadataStore store(network.At(1, kStorePort), record);
  int version = 1;
  store.Put(kConfigurationKey, ConfigurationWith(version, "desk-old"));
  std::list<Server> servers;
  for (const char* service : {"desk-old", "desk-new"}) {
    servers.emplace_back(
        Server::Plan{std::string(service) + "-0",
                     network.At(100 + static_cast<int>(servers.size()), 8228),
                     6, 24, PlaceOrder},
        record);
    store.Put("servers/" + servers.back().Settings().id,
              servers.back().Entry(service, "ready"));
  }
  std::list<Gateway> gateways;
  for (int i = 0; i < 2; ++i) {
    gateways.emplace_back(
        network,
        Gateway::Plan{i, "zone-a", network.At(1, kStorePort),
                      Gateway::Control(network, 0).Text() + "," +
                          Gateway::Control(network, 1).Text()},
        folder.Path(), record);
    gateways.back().Start();
  }
  for (const Gateway& gateway : gateways) {
    if (!gateway.AwaitReady(std::chrono::seconds(10)))
      return 2;
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));

  // A change that leaves the route as it is: all watches end and start anew.
  store.Put(kConfigurationKey, ConfigurationWith(++version, "desk-old"));
  std::this_thread::sleep_for(kLead);
  if (has_trouble)
    store.SetSilent(true);
  std::this_thread::sleep_for(kOutage);
  if (has_trouble)
    store.SetSilent(false);
  const TimePoint calm_at = Clock::now();

  std::this_thread::sleep_until(calm_at + kContact + milliseconds(50));
  const TimePoint acknowledged_at =
      store.Put(kConfigurationKey, ConfigurationWith(++version, "desk-new"));
  const TimePoint due_at = acknowledged_at + kConfigApply;
  record.Line("operator: version " + std::to_string(version) +
              " sends orders to desk-new");
  std::vector<CallerResult> results;
  int number = 0;
  while (Clock::now() < due_at + std::chrono::seconds(3)) {
    for (const Gateway& gateway : gateways) {
      CallerRequest request;
      request.id = "order-" + std::to_string(++number);
      request.target = "/order/" + std::to_string(number);
      request.body = "40 tiles";
      results.push_back(Call(gateway.Front(), request, record));
    }
    std::this_thread::sleep_for(kCallInterval);
  }

  int broken = 0;
  for (const CallerResult& result : results) {
    if (result.started_at <= due_at)
      continue;
    const std::vector<Run> old_runs = servers.front().Runs();
    const bool has_run_there =
        std::any_of(old_runs.begin(), old_runs.end(),
                    [&](const Run& run) { return run.id == result.id; });
    if (!has_run_there)
      continue;
    ++broken;
    record.Line("CONFIG: " + result.id + ", sent " +
                std::to_string(record.At(result.started_at) -
                               record.At(acknowledged_at)) +
                " ms after the acknowledgement, was run by desk-old");
  }
  record.Line(std::to_string(broken) + " orders run by the old service");
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
