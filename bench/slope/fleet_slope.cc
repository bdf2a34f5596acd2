/** @file fleet_slope.cc Measures the control traffic of fleets of several
 * sizes. */

#include <algorithm>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "harness/caller.h"
#include "harness/local_fleet.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::seconds kMeasureTime{12};
constexpr int kChanges = 4;

struct FleetSize {
  std::size_t endpoints = 0;
  std::size_t organisations = 0;
};

FleetPlan PlanOf(const FleetSize& size) {
  FleetPlan plan;
  plan.routers = 2;
  for (std::size_t i = 0; i < size.endpoints; ++i)
    plan.endpoints.push_back({"ledger-" + std::to_string(i), "ledger", false});
  for (std::size_t i = 0; i < size.organisations; ++i) {
    const std::string name = "organisation-" + std::to_string(i);
    plan.documents["organisations/" + name] = {
        {"name", name}, {"credential_sha256", std::string(64, 'a')}};
  }
  plan.settings = {{"vm_list_interval", 1000},
                   {"gossip_interval", 1000},
                   {"load_exchange_interval", 60000},
                   {"worker_count", 1}};
  return plan;
}

std::vector<SocketAddress> OperatorAddresses(const LocalFleet& fleet,
                                             const FleetSize& size) {
  std::vector<SocketAddress> addresses = {fleet.RouterOperator(0),
                                          fleet.RouterOperator(1)};
  for (std::size_t i = 0; i < size.endpoints; ++i)
    addresses.push_back(fleet.EndpointOperator(i));
  return addresses;
}

/** @return Control bytes that a process has sent and received. */
double ControlBytes(const SocketAddress& address) {
  constexpr std::string_view kSeries = "buckthornpath_control_bytes_total{";
  HttpRequest request;
  request.target = "/metrics";
  const std::string text = CallHttp(address, request).body;
  double sum = 0;
  for (auto position = text.find(kSeries); position != std::string::npos;
       position = text.find(kSeries, position + 1)) {
    sum += std::stod(text.substr(text.find(' ', position) + 1));
  }
  return sum;
}

/** @return Control bytes per second of each process while a task runs, sorted.
 */
std::vector<double> MeasureControlRates(
    const std::vector<SocketAddress>& addresses,
    const std::function<void()>& task) {
  std::vector<double> before;
  before.reserve(addresses.size());
  for (const SocketAddress& address : addresses)
    before.push_back(ControlBytes(address));
  const auto started_at = std::chrono::steady_clock::now();
  task();
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - started_at;
  std::vector<double> rates;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    rates.push_back((ControlBytes(addresses[i]) - before[i]) / took.count());
  }
  std::sort(rates.begin(), rates.end());
  return rates;
}

bool AllHaveRevision(const std::vector<SocketAddress>& addresses,
                     unsigned revision) {
  return std::all_of(
      addresses.begin(), addresses.end(), [&](const SocketAddress& address) {
        const auto status = LocalFleet::StatusOf(address);
        return status.is_object() &&
               status.value("configuration_revision", 0U) == revision;
      });
}

double Seconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

/** Publishes configuration changes one after another.
 * @return Seconds until each was active in all processes. */
std::vector<double> PublishChanges(
    LocalFleet& fleet,
    const std::vector<SocketAddress>& addresses) {
  std::vector<double> times;
  for (int i = 0; i < kChanges; ++i) {
    const auto started_at = std::chrono::steady_clock::now();
    fleet.Publish({{"profiles/chat",
                    {{"name", "chat"},
                     {"service", "drafting"},
                     {"deadline", 20000 + i}}}});
    const unsigned revision = static_cast<unsigned>(i) + 2;
    WaitUntil([&] { return AllHaveRevision(addresses, revision); });
    times.push_back(Seconds(std::chrono::steady_clock::now() - started_at));
    std::this_thread::sleep_until(started_at + kMeasureTime / kChanges);
  }
  return times;
}

void RunSize(const FleetSize& size) {
  LocalFleet fleet(PlanOf(size));
  const auto addresses = OperatorAddresses(fleet, size);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const auto idle = MeasureControlRates(
      addresses, [] { std::this_thread::sleep_for(kMeasureTime); });
  std::vector<double> times;
  const auto changing = MeasureControlRates(
      addresses, [&] { times = PublishChanges(fleet, addresses); });
  const nlohmann::ordered_json point = {
      {"processes", addresses.size()},
      {"documents", size.organisations + StandardDocuments().size()},
      {"idle_bytes_per_s_median", idle[idle.size() / 2]},
      {"idle_bytes_per_s_max", idle.back()},
      {"changes_per_s",
       kChanges / std::chrono::duration<double>(kMeasureTime).count()},
      {"changing_bytes_per_s_median", changing[changing.size() / 2]},
      {"changing_bytes_per_s_max", changing.back()},
      {"in_force_s_max", *std::max_element(times.begin(), times.end())}};
  std::cout << point.dump() << std::endl;
}

}  // namespace

}  // namespace buckthornpath

int main() {
  using buckthornpath::FleetSize;
  for (const FleetSize& size :
       {FleetSize{6, 0}, FleetSize{14, 0}, FleetSize{30, 0}, FleetSize{14, 100},
        FleetSize{14, 300}}) {
    buckthornpath::RunSize(size);
  }
  return 0;
}
