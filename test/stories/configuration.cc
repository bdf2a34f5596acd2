/** @file configuration.cc An active configuration is never rolled back. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "fleet/published_type.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Time within which a new configuration is active in every process. */
constexpr milliseconds kActivationTimeout{18000};

/** Longer than a process may pause before it must re-read configuration. */
constexpr milliseconds kProcessPause{3500};

const std::vector<std::string> kProcessNames = {
    "router-0", "router-1", "draft-1", "draft-2", "ledger-1"};

FleetPlan Plan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"ledger-1", "ledger", false}};
  plan.settings = {{"configuration_wait", 2000}};
  return plan;
}

std::vector<SocketAddress> OperatorAddresses(const LocalFleet& fleet) {
  return {fleet.RouterOperator(0), fleet.RouterOperator(1),
          fleet.EndpointOperator(0), fleet.EndpointOperator(1),
          fleet.EndpointOperator(2)};
}

nlohmann::json Status(const LocalFleet& fleet, std::size_t process) {
  return LocalFleet::StatusOf(OperatorAddresses(fleet).at(process));
}

std::uint64_t RevisionOf(const nlohmann::json& status) {
  return status.is_object() ? status.value("configuration_revision", 0U) : 0;
}

bool AllAtRevision(const LocalFleet& fleet,
                   const std::vector<std::size_t>& processes,
                   std::uint64_t revision) {
  return std::all_of(processes.begin(), processes.end(), [&](std::size_t i) {
    return RevisionOf(Status(fleet, i)) == revision;
  });
}

const std::vector<std::size_t> kAllProcesses = {0, 1, 2, 3, 4};

void SetFaults(const LocalFleet& fleet, const nlohmann::json& faults) {
  SendHttp(fleet.ConfigurationService(), "POST", "/control", faults.dump());
}

/** Cuts off the configuration service from all but these processes. */
void RestrictServiceTo(const LocalFleet& fleet,
                       const std::vector<std::string>& allowed) {
  std::vector<std::string> blocked;
  for (const std::string& name : kProcessNames) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
      blocked.push_back(name);
  }
  SetFaults(fleet, {{"configuration_outage_for", blocked}});
}

nlohmann::json ChatProfile(int deadline) {
  return {{"name", "chat"},
          {"service", "drafting"},
          {"rank", "standard"},
          {"repeatable", true},
          {"deadline", deadline}};
}

/** Writes an index with one changed profile beside the standard documents. */
IndexVersion PutIndex(const LocalFleet& fleet,
                      std::uint64_t revision,
                      int deadline) {
  auto documents = StandardDocuments();
  documents["profiles/chat"] = ChatProfile(deadline);
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [name, document] : documents) {
    const std::string text = document.dump();
    SendHttp(fleet.ConfigurationService(), "PUT", "/v1/values/" + name, text);
    entries.push_back({{"name", name},
                       {"revision", revision},
                       {"digest", DocumentDigest(text)}});
  }
  const std::string index =
      nlohmann::json{{"revision", revision}, {"documents", entries}}.dump();
  SendHttp(fleet.ConfigurationService(), "PUT", "/v1/values/index", index);
  return ParseIndex(index).version;
}

/** Serves to each process a VM list of its own partition only. */
void SplitVmList(const LocalFleet& fleet,
                 const std::vector<std::vector<std::string>>& partitions) {
  HttpRequest read;
  read.target = "/v1/vms";
  const auto full_list =
      nlohmann::json::parse(CallHttp(fleet.VmListService(), read).body);
  for (const auto& partition : partitions) {
    nlohmann::json vms = nlohmann::json::array();
    for (const nlohmann::json& vm : full_list.at("vms")) {
      if (std::find(partition.begin(), partition.end(), vm.value("vm", "")) !=
          partition.end())
        vms.push_back(vm);
    }
    for (const std::string& name : partition) {
      SendHttp(fleet.VmListService(), "PUT", "/v1/vms?reader=" + name,
               nlohmann::json{{"vms", vms}}.dump());
    }
  }
}

/** Serves the full VM list to every process again. */
void RestoreVmList(const LocalFleet& fleet) {
  HttpRequest read;
  read.target = "/v1/vms";
  const std::string full_list = CallHttp(fleet.VmListService(), read).body;
  for (const std::string& name : kProcessNames)
    SendHttp(fleet.VmListService(), "PUT", "/v1/vms?reader=" + name, full_list);
}

void WaitForPeers(const LocalFleet& fleet,
                  const std::vector<std::size_t>& processes,
                  std::size_t peers) {
  CPPUNIT_ASSERT(WaitUntil([&] {
    return std::all_of(processes.begin(), processes.end(), [&](std::size_t i) {
      const nlohmann::json status = Status(fleet, i);
      return status.is_object() && status.value("peers", 0U) == peers;
    });
  }));
}

/** @return Log lines of one event of a process, across its restarts. */
std::vector<nlohmann::json> LogLines(const LocalFleet& fleet,
                                     const std::string& name,
                                     const std::string& event) {
  std::vector<nlohmann::json> lines;
  std::ifstream file(fleet.Directory() / (name + ".log"));
  for (std::string line; std::getline(file, line);) {
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    if (parsed.is_object() && parsed.value("event", "") == event)
      lines.push_back(parsed);
  }
  return lines;
}

/** Checks that no process reverts its configuration between its starts. */
void CheckNeverReverted(const LocalFleet& fleet) {
  for (const std::string& name : kProcessNames) {
    std::ifstream file(fleet.Directory() / (name + ".log"));
    std::pair<std::uint64_t, std::string> before;
    for (std::string line; std::getline(file, line);) {
      const auto parsed = nlohmann::json::parse(line, nullptr, false);
      if (!parsed.is_object())
        continue;
      if (parsed.value("event", "") == "started")
        before = {};
      if (parsed.value("event", "") != "configuration_in_force")
        continue;
      const std::pair now(parsed.value("revision", std::uint64_t{0}),
                          parsed.value("digest", std::string()));
      CPPUNIT_ASSERT_MESSAGE(name, now > before);
      before = now;
    }
  }
}

std::uint64_t Metric(const SocketAddress& address, const std::string& name) {
  HttpRequest request;
  request.target = "/metrics";
  const std::string text = CallHttp(address, request).body;
  const std::string series = "buckthornpath_" + name + " ";
  const auto position = text.find(series);
  return position == std::string::npos
             ? 0
             : std::stoull(text.substr(position + series.size()));
}

void OnlyChangedDocumentsAreRead() {
  LocalFleet fleet(Plan());
  std::vector<std::uint64_t> before;
  for (const SocketAddress& address : OperatorAddresses(fleet))
    before.push_back(Metric(address, "configuration_documents_read_total"));
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, 2); },
                kActivationTimeout));
  for (std::size_t i = 0; i < before.size(); ++i) {
    CPPUNIT_ASSERT_EQUAL(before[i] + 1,
                         Metric(OperatorAddresses(fleet)[i],
                                "configuration_documents_read_total"));
  }
}

void UpdateSpreadsFromOneProcess() {
  LocalFleet fleet(Plan());
  for (const std::string& connected : kProcessNames) {
    RestrictServiceTo(fleet, {connected});
    const std::uint64_t next = RevisionOf(Status(fleet, 0)) + 1;
    fleet.Publish(
        {{"profiles/chat", ChatProfile(20000 + static_cast<int>(next))}});
    const auto published = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_MESSAGE(
        "only " + connected + " reaches the service",
        WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, next); },
                  kActivationTimeout));
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - published);
    std::cout << "    active in every process after " << elapsed.count()
              << " ms, read by " << connected << std::endl;
  }
  CheckNeverReverted(fleet);
}

void RestartDuringOutage() {
  LocalFleet fleet(Plan());
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, 2); }));
  SetFaults(fleet, {{"configuration_outage", true}});
  for (int i = 0; i < 3; ++i) {
    fleet.RouterProcess(0).Kill();
    fleet.RestartRouter(0);
    std::uint64_t first = 0;
    CPPUNIT_ASSERT(WaitUntil([&] {
      first = RevisionOf(Status(fleet, 0));
      return first > 0;
    }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, first);
    const HttpRequest request =
        ChatRequest(kParishCredential, "chat", "c", "still here");
    CPPUNIT_ASSERT(CallStream(fleet.Router(0), request).complete);
  }
  CheckNeverReverted(fleet);
}

void RestartDuringStaleResponses() {
  LocalFleet fleet(Plan());
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  fleet.Publish({{"profiles/chat", ChatProfile(21000)}});
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, 3); }));
  SetFaults(fleet, {{"stale_for", {"router-0", "draft-1"}}});
  fleet.RouterProcess(0).Kill();
  fleet.EndpointProcess(0).Kill();
  fleet.RestartRouter(0);
  fleet.RestartEndpoint(0);
  for (const std::size_t process : {std::size_t{0}, std::size_t{2}}) {
    std::uint64_t first = 0;
    CPPUNIT_ASSERT(WaitUntil([&] {
      first = RevisionOf(Status(fleet, process));
      return first > 0;
    }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, first);
  }
  CheckNeverReverted(fleet);
}

/** A credential that is revoked during the pause is rejected after it. */
void PausedRouterRefreshesFirst() {
  LocalFleet fleet(Plan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "chat", "c", "let me in");
  for (int i = 0; i < 3; ++i) {
    const std::uint64_t revoked_at = RevisionOf(Status(fleet, 1)) + 1;
    fleet.RouterProcess(0).Signal(SIGSTOP);
    const std::string hash(64, static_cast<char>('1' + i));
    fleet.Publish({{"organisations/parish",
                    {{"name", "parish"}, {"credential_sha256", hash}}}});
    CPPUNIT_ASSERT(WaitUntil([&] {
      return AllAtRevision(fleet, {1, 2, 3, 4}, revoked_at);
    }));
    std::this_thread::sleep_for(kProcessPause);
    fleet.RouterProcess(0).Signal(SIGCONT);
    unsigned status = 503;
    while (status == 503)
      status = CallStream(fleet.Router(0), request).status;
    CPPUNIT_ASSERT_EQUAL(401U, status);
    fleet.Publish({{"organisations/parish",
                    StandardDocuments().at("organisations/parish")}});
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return AllAtRevision(fleet, kAllProcesses, revoked_at + 1); }));
  }
  CheckNeverReverted(fleet);
}

void OlderIndexIsIgnored() {
  LocalFleet fleet(Plan());
  const IndexVersion accepted = PutIndex(fleet, 9, 20000);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, 9); }));
  PutIndex(fleet, 8, 21000);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return Metric(fleet.RouterOperator(0), "configuration_stale_total") > 0 &&
           Metric(fleet.EndpointOperator(0), "configuration_stale_total") > 0;
  }));
  fleet.RouterProcess(1).Kill();
  fleet.RestartRouter(1);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, 9); }));
  CPPUNIT_ASSERT_EQUAL(
      FormatDigest(accepted.digest),
      Status(fleet, 1).value("configuration_digest", std::string()));
  CheckNeverReverted(fleet);
}

void InvalidIndexKeepsTheLast() {
  LocalFleet fleet(Plan());
  nlohmann::json invalid = ChatProfile(1);
  invalid["rank"] = "royal";
  fleet.Publish({{"profiles/chat", invalid}});
  for (const std::size_t process : kAllProcesses) {
    nlohmann::json status;
    CPPUNIT_ASSERT(WaitUntil([&] {
      status = Status(fleet, process);
      return status.is_object() && status["configuration_refused"].is_object();
    }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, RevisionOf(status));
    const nlohmann::json& refused = status["configuration_refused"];
    CPPUNIT_ASSERT_EQUAL(2, refused.value("revision", 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, refused["faults"].size());
    CPPUNIT_ASSERT(WaitUntil([&] {
      return !LogLines(fleet, kProcessNames[process], "configuration_refused")
                  .empty();
    }));
  }
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, 3); },
                kActivationTimeout));
  CPPUNIT_ASSERT(Status(fleet, 0)["configuration_refused"].is_null());
  CheckNeverReverted(fleet);
}

/** Partitions of the split fleet; see SplitFleet(). */
const std::vector<std::vector<std::string>> kPartitions = {
    {"router-0", "draft-1"},
    {"router-1", "draft-2", "ledger-1"}};

/** Splits the fleet; only the first partition reaches the service. */
void SplitFleet(LocalFleet& fleet) {
  SplitVmList(fleet, kPartitions);
  WaitForPeers(fleet, {0, 2}, 1);
  WaitForPeers(fleet, {1, 3, 4}, 2);
  RestrictServiceTo(fleet, kPartitions[0]);
}

void PartitionsConvergeOnTheHighest() {
  LocalFleet fleet(Plan());
  SplitFleet(fleet);
  PutIndex(fleet, 5, 20000);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAtRevision(fleet, {0, 2}, 5); }));
  CPPUNIT_ASSERT(AllAtRevision(fleet, {1, 3, 4}, 1));
  SetFaults(fleet, {{"configuration_outage", true}});
  RestoreVmList(fleet);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAtRevision(fleet, kAllProcesses, 5); },
                kActivationTimeout));
  CheckNeverReverted(fleet);
}

void ConflictIsResolvedAlike() {
  LocalFleet fleet(Plan());
  SplitFleet(fleet);
  const IndexVersion first = PutIndex(fleet, 7, 20000);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAtRevision(fleet, {0, 2}, 7); }));
  RestrictServiceTo(fleet, kPartitions[1]);
  const IndexVersion second = PutIndex(fleet, 7, 21000);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAtRevision(fleet, {1, 3, 4}, 7); }));
  SetFaults(fleet, {{"configuration_outage", true}});
  RestoreVmList(fleet);
  const std::string winner = FormatDigest(std::max(first, second).digest);
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return std::all_of(
            kAllProcesses.begin(), kAllProcesses.end(), [&](std::size_t i) {
              const nlohmann::json status = Status(fleet, i);
              return status.is_object() &&
                     status.value("configuration_digest", "") == winner;
            });
      },
      kActivationTimeout));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return std::any_of(
        kProcessNames.begin(), kProcessNames.end(), [&](const auto& name) {
          return !LogLines(fleet, name, "configuration_conflict").empty();
        });
  }));
  CheckNeverReverted(fleet);
}

void NoConfigurationRefusesRequests() {
  LocalFleet fleet(Plan());
  SetFaults(fleet, {{"configuration_outage", true}});
  SendHttp(fleet.VmListService(), "PUT", "/v1/vms?reader=router-0",
           R"({"vms":[]})");
  fleet.RouterProcess(0).Kill();
  fleet.RestartRouter(0);
  StreamedAnswer answer;
  CPPUNIT_ASSERT(WaitUntil([&] {
    try {
      answer = CallStream(fleet.Router(0),
                          ChatRequest(kParishCredential, "chat", "c", "x"));
      return answer.status > 0;
    } catch (const HttpError&) {
      return false;
    }
  }));
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.outcome);
  CPPUNIT_ASSERT(answer.type.find("no_configuration") != std::string::npos);
}

const Story kStory("configuration", [] {
  return Section(
      "given a fleet of five processes",
      {Section("when one document changes",
               {Then("each process reads only that document",
                     OnlyChangedDocumentsAreRead)}),
       Section("when only one process reaches the configuration service",
               {Then("the change becomes active in every process",
                     UpdateSpreadsFromOneProcess)}),
       Section(
           "when a process restarts",
           {Then("during an outage it loads the configuration from its peers",
                 RestartDuringOutage),
            Then("stale responses of the service do not revert it",
                 RestartDuringStaleResponses),
            Then("after a pause it serves nothing by the old configuration",
                 PausedRouterRefreshesFirst),
            Then("without any configuration it refuses requests",
                 NoConfigurationRefusesRequests)}),
       Section("when operators publish concurrently",
               {Then("a late index of a lower revision changes nothing",
                     OlderIndexIsIgnored),
                Then("an invalid index is reported and the last stays active",
                     InvalidIndexKeepsTheLast),
                Then("conflicting indexes of one revision resolve alike",
                     ConflictIsResolvedAlike)}),
       Section("when the fleet is partitioned",
               {Then("it converges on the highest revision once rejoined",
                     PartitionsConvergeOnTheHighest)})});
});

}  // namespace

}  // namespace buckthornpath
