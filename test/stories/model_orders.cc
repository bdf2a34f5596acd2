/** @file model_orders.cc Only the process beside an engine gives it orders. */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "buckthornpath/model_assignment.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

/** Longer than the lifetime of an order in these stories. */
constexpr std::chrono::milliseconds kPause{700};

nlohmann::json ModelDocument(const std::string& name,
                             const std::string& version) {
  return {{"name", name},
          {"service", "drafting"},
          {"model", "model-" + name},
          {"version", version},
          {"adapters", "receipts,letters"}};
}

FleetPlan OrderPlan(std::size_t endpoints, bool checks_fencing) {
  FleetPlan plan;
  plan.routers = 0;
  for (std::size_t i = 1; i <= endpoints; ++i)
    plan.endpoints.push_back({"draft-" + std::to_string(i), "drafting", true});
  plan.settings = {{"order_interval", 20},
                   {"assignment_settle", 50},
                   {"order_lifetime", 300}};
  if (!checks_fencing)
    plan.engine_arguments = {"--ignore-fencing"};
  plan.documents = {
      {"services/drafting",
       {{"name", "drafting"}, {"kind", "model"}, {"loads_per_minute", 100000}}},
      {"models/draft", ModelDocument("draft", "v1")}};
  return plan;
}

nlohmann::json EngineStateOf(const LocalFleet& fleet, std::size_t index) {
  HttpRequest request;
  request.target = "/v1/state";
  return nlohmann::json::parse(CallHttp(fleet.Engine(index), request).body);
}

bool AwaitVersion(const LocalFleet& fleet, const std::string& version) {
  return WaitUntil(
      [&] { return EngineStateOf(fleet, 0).value("version", "") == version; });
}

std::vector<nlohmann::json> OrdersTaken(const LocalFleet& fleet) {
  std::vector<nlohmann::json> orders;
  for (nlohmann::json& line : fleet.EngineHistory()) {
    if (line.value("event", "") == "engine_order")
      orders.push_back(std::move(line));
  }
  return orders;
}

/** Fails if an accepted order carries no higher number than one before it. */
void AssertNoOldOrderAccepted(const LocalFleet& fleet) {
  std::uint64_t highest = 0;
  for (const nlohmann::json& line : OrdersTaken(fleet)) {
    if (!line.value("accepted", false))
      continue;
    const auto number = line.value("fencing", std::uint64_t{0});
    CPPUNIT_ASSERT(number > highest);
    highest = number;
  }
  CPPUNIT_ASSERT(highest > 0);
}

/** @return A member of what the first process shows of its orders. */
std::string OrdersOf(const LocalFleet& fleet, const std::string& member) {
  const auto status = LocalFleet::StatusOf(fleet.EndpointOperator(0));
  return status.is_object() ? status["orders"].value(member, "") : "";
}

/** Starts a second process beside the first engine. */
ChildProcess StartSecond(const LocalFleet& fleet,
                         const std::vector<std::string>& moved) {
  std::ifstream file(fleet.Directory() / "draft-1.json");
  auto settings = nlohmann::json::parse(file);
  for (const std::string& name : moved) {
    auto address = settings[name].get<std::string>();
    settings[name] = address.replace(address.find(":70"), 3, ":75");
  }
  const auto path = (fleet.Directory() / "second.json").string();
  std::ofstream(path) << settings.dump();
  return {"buckthornpathd",
          {"--role=endpoint", "--settings=" + path},
          (fleet.Directory() / "second.log").string()};
}

void EachReplicaHoldsItsModel() {
  FleetPlan plan = OrderPlan(4, true);
  plan.documents["models/tags"] = ModelDocument("tags", "t1");
  const LocalFleet fleet(plan);
  std::vector<Replica> replicas;
  for (const LocalEndpoint& endpoint : plan.endpoints)
    replicas.push_back({EndpointId(endpoint.vm), FailureDomainId("a")});
  const auto choices = AssignModels(
      {{ModelName("draft"), 1, 0}, {ModelName("tags"), 1, 0}}, replicas);
  for (std::size_t i = 0; i < choices.size(); ++i) {
    const std::string expected = "model-" + choices[i].model.str();
    CPPUNIT_ASSERT(WaitUntil([&] {
      return EngineStateOf(fleet, i).value("model", "") == expected;
    }));
  }
  std::ifstream log(fleet.Directory() / "draft-1.log");
  const std::string text{std::istreambuf_iterator<char>(log), {}};
  CPPUNIT_ASSERT(text.find("\"model_placement\"") != std::string::npos);
}

/** A restarted process speaks with a higher number; a doubled order is old. */
void RestartedProcess(bool checks_fencing) {
  LocalFleet fleet(OrderPlan(1, checks_fencing));
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Kill();
  fleet.RestartEndpoint(0);
  fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v2"));
  AssertNoOldOrderAccepted(fleet);
}

void DoubledOrderIsRefused() {
  LocalFleet fleet(OrderPlan(1, true));
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v1"));
  HttpRequest doubled;
  doubled.method = "POST";
  doubled.target = "/v1/orders";
  doubled.body = OrdersTaken(fleet).front().at("order").dump();
  CPPUNIT_ASSERT_EQUAL(409U, CallHttp(fleet.Engine(0), doubled).status);
  AssertNoOldOrderAccepted(fleet);
}

void DoubledOrderIsUndone() {
  LocalFleet fleet(OrderPlan(1, false));
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v1"));
  HttpRequest doubled;
  doubled.method = "POST";
  doubled.target = "/v1/orders";
  doubled.body = OrdersTaken(fleet).front().at("order").dump();
  fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v2"));
  CPPUNIT_ASSERT(WaitUntil([&] { return OrdersOf(fleet, "version") == "v2"; }));
  CallHttp(fleet.Engine(0), doubled);
  CPPUNIT_ASSERT(WaitUntil([&] { return OrdersTaken(fleet).size() == 4; }));
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v2"));
}

/** The old process sleeps while another one speaks, then wakes. */
void WokenProcessIsSilent(bool checks_fencing) {
  LocalFleet fleet(OrderPlan(1, checks_fencing));
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Signal(SIGSTOP);
  {
    const ChildProcess second = StartSecond(
        fleet, {"dialogue_address", "operator_address", "gossip_address"});
    fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
    CPPUNIT_ASSERT(AwaitVersion(fleet, "v2"));
  }
  std::this_thread::sleep_for(kPause);
  fleet.Publish({{"models/draft", ModelDocument("draft", "v3")}});
  fleet.EndpointProcess(0).Signal(SIGCONT);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return OrdersOf(fleet, "state") == "superseded"; }));
  AssertNoOldOrderAccepted(fleet);
  CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                       EngineStateOf(fleet, 0).value("version", ""));
}

void SecondProcessCannotStart() {
  LocalFleet fleet(OrderPlan(1, false));
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Signal(SIGSTOP);
  ChildProcess second =
      StartSecond(fleet, {"operator_address", "gossip_address"});
  CPPUNIT_ASSERT_EQUAL(1, second.WaitForExit(kCallerTimeout));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, OrdersTaken(fleet).size());
}

void PausedProcessGoesOn() {
  LocalFleet fleet(OrderPlan(1, false));
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(kPause);
  fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
  fleet.EndpointProcess(0).Signal(SIGCONT);
  CPPUNIT_ASSERT(AwaitVersion(fleet, "v2"));
  AssertNoOldOrderAccepted(fleet);
}

const Story kStory("model_orders", [] {
  return Section(
      "given engines with an endpoint process beside each",
      {Section("when documents name two models",
               {Then("each replica is ordered to hold its own",
                     EachReplicaHoldsItsModel)}),
       Section("when a process is killed and another takes its place",
               {Then("a checking engine sees numbers rise",
                     [] { RestartedProcess(true); }),
                Then("an ignoring engine sees numbers rise",
                     [] { RestartedProcess(false); })}),
       Section("when an order arrives twice",
               {Then("a checking engine refuses it", DoubledOrderIsRefused),
                Then("an ignoring engine is put right", DoubledOrderIsUndone)}),
       Section("when a process wakes after another one has spoken",
               {Then("a checking engine hears nothing old",
                     [] { WokenProcessIsSilent(true); }),
                Then("an ignoring engine hears nothing old",
                     [] { WokenProcessIsSilent(false); })}),
       Section("when a second process starts at the address of a paused one",
               {Then("it ends and gives no order", SecondProcessCannotStart)}),
       Section("when a process wakes and no other has spoken",
               {Then("it gives orders again", PausedProcessGoesOn)})});
});

}  // namespace

}  // namespace buckthornpath
