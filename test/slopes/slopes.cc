/** @file slopes.cc Measures in one process how memory, message size and CPU
 * time grow with the size of the fleet, and writes the results to a file. */

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "buckthornpath/model_assignment.h"
#include "buckthornpath/rendezvous.h"
#include "endpoint/outcome_table.h"
#include "fleet/member_list.h"
#include "fleet/published_type.h"
#include "slopes/slope.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(slopes: measures memory and processor time at several sizes.

Usage:
  slopes --out=<file>
)";

/** Chunks of one stored response, and the size of each. */
constexpr int kResponseChunks = 230;
constexpr std::size_t kChunkBytes = 64;

constexpr std::size_t kFailureDomains = 7;

/** Runs a task several times. @return Mean CPU time of a run, in microseconds.
 */
template <class Task>
double MeasureCpuTime(int runs, Task task) {
  const double started_at = ThreadMicroseconds();
  for (int i = 0; i < runs; ++i)
    task();
  return (ThreadMicroseconds() - started_at) / runs;
}

std::string FailureDomainName(std::size_t number) {
  return "domain-" + std::to_string(number % kFailureDomains);
}

std::string VmListText(std::size_t count) {
  nlohmann::json vms = nlohmann::json::array();
  for (std::size_t i = 0; i < count; ++i) {
    const std::string host =
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
    vms.push_back({{"vm", "vm-" + std::to_string(i)},
                   {"service", "drafting"},
                   {"failure_domain", FailureDomainName(i)},
                   {"address", host + ":7002"},
                   {"gossip_address", host + ":7005"},
                   {"state", "live"}});
  }
  return nlohmann::json{{"vms", vms}}.dump();
}

Slope VmListBytes() {
  Slope slope{"vm_list_bytes", "members", "bytes", {}};
  for (const std::size_t count : {100U, 300U, 600U, 950U})
    slope.points.push_back({static_cast<double>(count),
                            static_cast<double>(VmListText(count).size())});
  return slope;
}

Slope VmListParse() {
  Slope slope{"vm_list_parse", "members", "us", {}};
  for (const std::size_t count : {100U, 300U, 600U, 950U}) {
    const std::string text = VmListText(count);
    slope.points.push_back({static_cast<double>(count),
                            MeasureCpuTime(20, [&] { ParseVmList(text); })});
  }
  return slope;
}

Slope MemberMemory() {
  Slope slope{"member_memory", "members", "bytes", {}};
  for (const std::size_t count : {100U, 300U, 600U, 950U}) {
    const std::string text = VmListText(count);
    const double before = HeapBytes();
    MemberList list;
    list.Replace(ParseVmList(text));
    slope.points.push_back({static_cast<double>(count), HeapBytes() - before});
  }
  return slope;
}

Slope RendezvousTime() {
  Slope slope{"rendezvous_order", "sites", "us", {}};
  for (const std::size_t count : {100U, 200U, 400U, 600U}) {
    std::vector<RendezvousSite> sites;
    for (std::size_t i = 0; i < count; ++i)
      sites.push_back({"vm-" + std::to_string(i), 1.0});
    slope.points.push_back(
        {static_cast<double>(count),
         MeasureCpuTime(200, [&] { RendezvousOrder("chat-4711", sites); })});
  }
  return slope;
}

std::vector<Replica> Replicas(std::size_t count) {
  std::vector<Replica> replicas;
  for (std::size_t i = 0; i < count; ++i) {
    replicas.push_back({EndpointId("vm-" + std::to_string(i)),
                        FailureDomainId(FailureDomainName(i))});
  }
  return replicas;
}

std::vector<ModelDemand> ThreeModels() {
  return {{ModelName("large"), 5, 0},
          {ModelName("small"), 3, 0},
          {ModelName("tags"), 1, 4}};
}

Slope AssignmentTime() {
  Slope slope{"model_assignment", "replicas", "us", {}};
  for (const std::size_t count : {100U, 200U, 400U, 600U}) {
    const auto replicas = Replicas(count);
    slope.points.push_back({static_cast<double>(count), MeasureCpuTime(20, [&] {
                              AssignModels(ThreeModels(), replicas);
                            })});
  }
  return slope;
}

/** Mean number of replicas that change their model when one leaves. */
Slope AssignmentMoves() {
  Slope slope{"model_moves_per_leave", "replicas", "replicas", {}};
  for (const std::size_t count : {100U, 200U, 400U, 600U}) {
    const auto replicas = Replicas(count);
    const auto before = AssignModels(ThreeModels(), replicas);
    std::size_t moved = 0;
    std::size_t trials = 0;
    for (std::size_t leaving = 0; leaving < count; leaving += 10, ++trials) {
      auto rest = replicas;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(leaving));
      moved +=
          ChangedReplicas(before, AssignModels(ThreeModels(), rest)).size();
    }
    slope.points.push_back(
        {static_cast<double>(count),
         static_cast<double>(moved) / static_cast<double>(trials)});
  }
  return slope;
}

/** Memory of the outcome table, for a number of chunks stored with each call.
 */
Slope OutcomeMemory(const char* name, int chunks) {
  Slope slope{name, "calls", "bytes", {}};
  for (const std::size_t count : {1000U, 2000U, 4000U}) {
    const double before = HeapBytes();
    OutcomeTable table(
        EndpointId("vm-1"), Incarnation{1},
        {200000, std::size_t{1} << 30U, std::chrono::milliseconds(300000)});
    for (std::size_t i = 0; i < count; ++i) {
      Ticket ticket;
      ticket.endpoint = EndpointId("vm-1");
      ticket.incarnation = Incarnation{1};
      ticket.expiry = std::chrono::milliseconds(60000);
      const std::string text = std::string(180, 't') + std::to_string(i);
      const auto record =
          table.FindOrCreate(text, ticket, std::chrono::milliseconds(0)).record;
      record->TryStart();
      record->TryBeginSend();
      for (int n = 0; n < chunks; ++n)
        record->Append(std::string(kChunkBytes, 'x'));
      record->Finish(200, "text/event-stream");
    }
    slope.points.push_back({static_cast<double>(count), HeapBytes() - before});
  }
  return slope;
}

/** Memory of an active configuration of organisations' documents. */
Slope ConfigurationMemory() {
  Slope slope{"configuration_memory", "documents", "bytes", {}};
  for (const std::size_t count : {60U, 120U, 240U, 480U}) {
    const double before = HeapBytes();
    Index index;
    DocumentTexts texts;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = "firm-" + std::to_string(i);
      const std::string text = nlohmann::json{
          {"name", name},
          {"credential_sha256", std::string(64, 'a')},
          {"weight", 1 + i}}.dump();
      const std::string digest = DocumentDigest(text);
      index.entries.push_back({"organisations/" + name, Revision{1}, digest});
      texts[digest] = std::make_shared<const std::string>(text);
    }
    const ConfigurationPtr configuration = BuildConfiguration(index, texts);
    slope.points.push_back({static_cast<double>(count), HeapBytes() - before});
  }
  return slope;
}

nlohmann::ordered_json ToJson(const Slope& slope) {
  nlohmann::ordered_json points = nlohmann::ordered_json::array();
  for (const SlopePoint& point : slope.points)
    points.push_back({point.size, point.value});
  return {{"name", slope.name},
          {"size_unit", slope.size_unit},
          {"value_unit", slope.value_unit},
          {"points", points},
          {"per_unit", slope.PerUnit()},
          {"at_zero", slope.AtZero()}};
}

int Main(int argc, char** argv) {
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const Slope& slope :
       {VmListBytes(), VmListParse(), MemberMemory(), RendezvousTime(),
        AssignmentTime(), AssignmentMoves(),
        OutcomeMemory("outcome_memory_empty", 0),
        OutcomeMemory("outcome_memory_answer", kResponseChunks),
        ConfigurationMemory()}) {
    all.push_back(ToJson(slope));
    std::cout << slope.name << ": " << slope.PerUnit() << " "
              << slope.value_unit << " per " << slope.size_unit << ", "
              << slope.AtZero() << " at zero" << std::endl;
  }
  std::ofstream(options["--out"].asString()) << all.dump(1) << "\n";
  return 0;
}

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  return buckthornpath::Main(argc, argv);
}
