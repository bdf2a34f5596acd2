/** @file configuration.cc A configuration once accepted never reverts. */

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

/** Within which an accepted configuration is to be in force everywhere. */
constexpr milliseconds kInForceTarget{18000};

/** Longer than a process may pause without asking anew. */
constexpr milliseconds kLongPause{3500};

const std::vector<std::string> kNames = {"router-0", "router-1", "draft-1",
                                         "draft-2", "ledger-1"};

FleetPlan Plan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"ledger-1", "ledger", false}};
  plan.settings = {{"configuration_wait", 2000}};
  return plan;
}

std::vector<SocketAddress> Operators(const LocalFleet& fleet) {
  return {fleet.RouterOperator(0), fleet.RouterOperator(1),
          fleet.EndpointOperator(0), fleet.EndpointOperator(1),
          fleet.EndpointOperator(2)};
}

nlohmann::json Status(const LocalFleet& fleet, std::size_t process) {
  return LocalFleet::StatusOf(Operators(fleet).at(process));
}

std::uint64_t RevisionOf(const nlohmann::json& status) {
  return status.is_object() ? status.value("configuration_revision", 0U) : 0;
}

bool AllAt(const LocalFleet& fleet,
           const std::vector<std::size_t>& processes,
           std::uint64_t revision) {
  return std::all_of(processes.begin(), processes.end(), [&](std::size_t i) {
    return RevisionOf(Status(fleet, i)) == revision;
  });
}

const std::vector<std::size_t> kAll = {0, 1, 2, 3, 4};

void SetFaults(const LocalFleet& fleet, const nlohmann::json& faults) {
  SendHttp(fleet.ConfigurationService(), "POST", "/control", faults.dump());
}

/** Everyone but those named cannot reach the configuration service. */
void LetOnlyReach(const LocalFleet& fleet,
                  const std::vector<std::string>& allowed) {
  std::vector<std::string> out;
  for (const std::string& name : kNames) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
      out.push_back(name);
  }
  SetFaults(fleet, {{"configuration_outage_for", out}});
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

/** Gives each reader the VM list of its part only. */
void Split(const LocalFleet& fleet,
           const std::vector<std::vector<std::string>>& parts) {
  HttpRequest read;
  read.target = "/v1/vms";
  const auto whole =
      nlohmann::json::parse(CallHttp(fleet.VmListService(), read).body);
  for (const auto& part : parts) {
    nlohmann::json vms = nlohmann::json::array();
    for (const nlohmann::json& vm : whole.at("vms")) {
      if (std::find(part.begin(), part.end(), vm.value("vm", "")) != part.end())
        vms.push_back(vm);
    }
    for (const std::string& name : part) {
      SendHttp(fleet.VmListService(), "PUT", "/v1/vms?reader=" + name,
               nlohmann::json{{"vms", vms}}.dump());
    }
  }
}

/** Gives every reader the whole VM list again. */
void Heal(const LocalFleet& fleet) {
  HttpRequest read;
  read.target = "/v1/vms";
  const std::string whole = CallHttp(fleet.VmListService(), read).body;
  for (const std::string& name : kNames)
    SendHttp(fleet.VmListService(), "PUT", "/v1/vms?reader=" + name, whole);
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

/** @return Lines of one event in a process's log, over all its lives. */
std::vector<nlohmann::json> Events(const LocalFleet& fleet,
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

/** Checks that no life of any process ever went back. */
void CheckNeverFell(const LocalFleet& fleet) {
  for (const std::string& name : kNames) {
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
  const auto place = text.find(series);
  return place == std::string::npos
             ? 0
             : std::stoull(text.substr(place + series.size()));
}

void OnlyChangedDocumentsAreRead() {
  LocalFleet fleet(Plan());
  std::vector<std::uint64_t> before;
  for (const SocketAddress& address : Operators(fleet))
    before.push_back(Metric(address, "configuration_documents_read_total"));
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAt(fleet, kAll, 2); }, kInForceTarget));
  for (std::size_t i = 0; i < before.size(); ++i) {
    CPPUNIT_ASSERT_EQUAL(
        before[i] + 1,
        Metric(Operators(fleet)[i], "configuration_documents_read_total"));
  }
}

void OneProcessIsEnough() {
  LocalFleet fleet(Plan());
  for (const std::string& lucky : kNames) {
    LetOnlyReach(fleet, {lucky});
    const std::uint64_t next = RevisionOf(Status(fleet, 0)) + 1;
    fleet.Publish(
        {{"profiles/chat", ChatProfile(20000 + static_cast<int>(next))}});
    const auto published = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_MESSAGE(
        "only " + lucky + " reaches the service",
        WaitUntil([&] { return AllAt(fleet, kAll, next); }, kInForceTarget));
    const auto took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - published);
    std::cout << "    in force everywhere after " << took.count() << " ms, by "
              << lucky << std::endl;
  }
  CheckNeverFell(fleet);
}

void RestartDuringOutage() {
  LocalFleet fleet(Plan());
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAt(fleet, kAll, 2); }));
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
  CheckNeverFell(fleet);
}

void RestartDuringStaleAnswers() {
  LocalFleet fleet(Plan());
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  fleet.Publish({{"profiles/chat", ChatProfile(21000)}});
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAt(fleet, kAll, 3); }));
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
  CheckNeverFell(fleet);
}

/** A credential that was withdrawn during the pause lets nobody in. */
void PausedRouterAsksFirst() {
  LocalFleet fleet(Plan());
  const HttpRequest request =
      ChatRequest(kParishCredential, "chat", "c", "let me in");
  for (int i = 0; i < 3; ++i) {
    const std::uint64_t withdrawn = RevisionOf(Status(fleet, 1)) + 1;
    fleet.RouterProcess(0).Signal(SIGSTOP);
    const std::string hash(64, static_cast<char>('1' + i));
    fleet.Publish({{"organisations/parish",
                    {{"name", "parish"}, {"credential_sha256", hash}}}});
    CPPUNIT_ASSERT(WaitUntil([&] {
      return AllAt(fleet, {1, 2, 3, 4}, withdrawn);
    }));
    std::this_thread::sleep_for(kLongPause);
    fleet.RouterProcess(0).Signal(SIGCONT);
    unsigned status = 503;
    while (status == 503)
      status = CallStream(fleet.Router(0), request).status;
    CPPUNIT_ASSERT_EQUAL(401U, status);
    fleet.Publish({{"organisations/parish",
                    StandardDocuments().at("organisations/parish")}});
    CPPUNIT_ASSERT(
        WaitUntil([&] { return AllAt(fleet, kAll, withdrawn + 1); }));
  }
  CheckNeverFell(fleet);
}

void LateIndexIsPassedOver() {
  LocalFleet fleet(Plan());
  const IndexVersion accepted = PutIndex(fleet, 9, 20000);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAt(fleet, kAll, 9); }));
  PutIndex(fleet, 8, 21000);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return Metric(fleet.RouterOperator(0), "configuration_stale_total") > 0 &&
           Metric(fleet.EndpointOperator(0), "configuration_stale_total") > 0;
  }));
  fleet.RouterProcess(1).Kill();
  fleet.RestartRouter(1);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAt(fleet, kAll, 9); }));
  CPPUNIT_ASSERT_EQUAL(
      FormatDigest(accepted.digest),
      Status(fleet, 1).value("configuration_digest", std::string()));
  CheckNeverFell(fleet);
}

void RefusedIndexLeavesTheLast() {
  LocalFleet fleet(Plan());
  nlohmann::json broken = ChatProfile(1);
  broken["rank"] = "royal";
  fleet.Publish({{"profiles/chat", broken}});
  for (const std::size_t process : kAll) {
    nlohmann::json status;
    CPPUNIT_ASSERT(WaitUntil([&] {
      status = Status(fleet, process);
      return status.is_object() && status["configuration_refused"].is_object();
    }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, RevisionOf(status));
    const nlohmann::json& refused = status["configuration_refused"];
    CPPUNIT_ASSERT_EQUAL(2, refused.value("revision", 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, refused["faults"].size());
    CPPUNIT_ASSERT(
        !Events(fleet, kNames[process], "configuration_refused").empty());
  }
  fleet.Publish({{"profiles/chat", ChatProfile(20000)}});
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAt(fleet, kAll, 3); }, kInForceTarget));
  CPPUNIT_ASSERT(Status(fleet, 0)["configuration_refused"].is_null());
  CheckNeverFell(fleet);
}

/** The fleet's parts when it is split; see SplitInTwo(). */
const std::vector<std::vector<std::string>> kParts = {
    {"router-0", "draft-1"},
    {"router-1", "draft-2", "ledger-1"}};

/** Splits the fleet; only the first part reaches the service. */
void SplitInTwo(LocalFleet& fleet) {
  Split(fleet, kParts);
  WaitForPeers(fleet, {0, 2}, 1);
  WaitForPeers(fleet, {1, 3, 4}, 2);
  LetOnlyReach(fleet, kParts[0]);
}

void PartsSettleOnTheHighest() {
  LocalFleet fleet(Plan());
  SplitInTwo(fleet);
  PutIndex(fleet, 5, 20000);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAt(fleet, {0, 2}, 5); }));
  CPPUNIT_ASSERT(AllAt(fleet, {1, 3, 4}, 1));
  SetFaults(fleet, {{"configuration_outage", true}});
  Heal(fleet);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return AllAt(fleet, kAll, 5); }, kInForceTarget));
  CheckNeverFell(fleet);
}

void RacingOperatorsAreResolvedAlike() {
  LocalFleet fleet(Plan());
  SplitInTwo(fleet);
  const IndexVersion first = PutIndex(fleet, 7, 20000);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAt(fleet, {0, 2}, 7); }));
  LetOnlyReach(fleet, kParts[1]);
  const IndexVersion second = PutIndex(fleet, 7, 21000);
  CPPUNIT_ASSERT(WaitUntil([&] { return AllAt(fleet, {1, 3, 4}, 7); }));
  SetFaults(fleet, {{"configuration_outage", true}});
  Heal(fleet);
  const std::string winner = FormatDigest(std::max(first, second).digest);
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        return std::all_of(kAll.begin(), kAll.end(), [&](std::size_t i) {
          const nlohmann::json status = Status(fleet, i);
          return status.is_object() &&
                 status.value("configuration_digest", "") == winner;
        });
      },
      kInForceTarget));
  std::size_t reports = 0;
  for (const std::string& name : kNames)
    reports += Events(fleet, name, "configuration_conflict").size();
  CPPUNIT_ASSERT(reports > 0);
  CheckNeverFell(fleet);
}

void NoConfigurationNoService() {
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
               {Then("each process reads that one only",
                     OnlyChangedDocumentsAreRead)}),
       Section("when only one process reaches the service",
               {Then("the change is in force everywhere", OneProcessIsEnough)}),
       Section(
           "when a process restarts",
           {Then("during an outage it takes its peers' configuration",
                 RestartDuringOutage),
            Then("stale answers do not set it back", RestartDuringStaleAnswers),
            Then("after a pause it serves nothing by the old one",
                 PausedRouterAsksFirst),
            Then("without any configuration it runs nothing",
                 NoConfigurationNoService)}),
       Section("when operators race",
               {Then("a late lower revision changes nothing",
                     LateIndexIsPassedOver),
                Then("a refused one leaves the last in force and is shown",
                     RefusedIndexLeavesTheLast),
                Then("two of one revision are resolved alike",
                     RacingOperatorsAreResolvedAlike)}),
       Section("when the fleet is split",
               {Then("it settles on the highest once whole",
                     PartsSettleOnTheHighest)})});
});

}  // namespace

}  // namespace buckthornpath
