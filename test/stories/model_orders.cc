/** @file model_orders.cc Only an engine's current process sends it orders. */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "buckthornpath/model_assignment.h"
#include "endpoint/model_order_client.h"
#include "fakes/scripted_endpoint.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"
#include "kernel/blocking_http.h"

namespace buckthornpath {

namespace {

/** Longer than the `order_lifetime` of OrderPlan(). */
constexpr std::chrono::milliseconds kProcessPause{700};

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

bool WaitForVersion(const LocalFleet& fleet, const std::string& version) {
  return WaitUntil(
      [&] { return EngineStateOf(fleet, 0).value("version", "") == version; });
}

std::vector<nlohmann::json> ReceivedOrders(const LocalFleet& fleet) {
  std::vector<nlohmann::json> orders;
  for (nlohmann::json& line : fleet.EngineHistory()) {
    if (line.value("event", "") == "engine_order")
      orders.push_back(std::move(line));
  }
  return orders;
}

/** Asserts that the fencing tokens of accepted orders strictly increase. */
void AssertFencingTokensIncrease(const LocalFleet& fleet) {
  std::uint64_t highest = 0;
  for (const nlohmann::json& line : ReceivedOrders(fleet)) {
    if (!line.value("accepted", false))
      continue;
    const auto token = line.value("fencing", std::uint64_t{0});
    CPPUNIT_ASSERT(token > highest);
    highest = token;
  }
  CPPUNIT_ASSERT(highest > 0);
}

/** @return A member of `orders` in the status of the first process. */
std::string OrderStatus(const LocalFleet& fleet, const std::string& member) {
  const auto status = LocalFleet::StatusOf(fleet.EndpointOperator(0));
  return status.is_object() ? status["orders"].value(member, "") : "";
}

/** Starts a second process for the first engine, at other addresses. */
ChildProcess StartSecondProcess(
    const LocalFleet& fleet,
    const std::vector<std::string>& changed_addresses) {
  std::ifstream file(fleet.Directory() / "draft-1.json");
  auto settings = nlohmann::json::parse(file);
  for (const std::string& name : changed_addresses) {
    auto address = settings[name].get<std::string>();
    settings[name] = address.replace(address.find(":70"), 3, ":75");
  }
  const auto path = (fleet.Directory() / "second.json").string();
  std::ofstream(path) << settings.dump();
  return {"buckthornpathd",
          {"--role=endpoint", "--settings=" + path},
          (fleet.Directory() / "second.log").string()};
}

void EachReplicaLoadsItsModel() {
  FleetPlan plan = OrderPlan(4, true);
  plan.documents["models/tags"] = ModelDocument("tags", "t1");
  const LocalFleet fleet(plan);
  std::vector<Replica> replicas;
  for (const LocalEndpoint& endpoint : plan.endpoints)
    replicas.push_back({EndpointId(endpoint.vm), FailureDomainId("a")});
  const auto assignments = AssignModels(
      {{ModelName("draft"), 1, 0}, {ModelName("tags"), 1, 0}}, replicas);
  for (std::size_t i = 0; i < assignments.size(); ++i) {
    const std::string expected = "model-" + assignments[i].model.str();
    CPPUNIT_ASSERT(WaitUntil([&] {
      return EngineStateOf(fleet, i).value("model", "") == expected;
    }));
  }
  std::ifstream log(fleet.Directory() / "draft-1.log");
  const std::string text{std::istreambuf_iterator<char>(log), {}};
  CPPUNIT_ASSERT(text.find("\"model_placement\"") != std::string::npos);
}

/** A restarted process sends orders with a higher fencing token. */
void RestartedProcessRaisesToken(bool checks_fencing) {
  LocalFleet fleet(OrderPlan(1, checks_fencing));
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Kill();
  fleet.RestartEndpoint(0);
  fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v2"));
  AssertFencingTokensIncrease(fleet);
}

/** A duplicate of an order carries an outdated fencing token. */
void DuplicateOrderIsRefused() {
  LocalFleet fleet(OrderPlan(1, true));
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v1"));
  HttpRequest duplicate;
  duplicate.method = "POST";
  duplicate.target = "/v1/orders";
  duplicate.body = ReceivedOrders(fleet).front().at("order").dump();
  CPPUNIT_ASSERT_EQUAL(409U, CallHttp(fleet.Engine(0), duplicate).status);
  AssertFencingTokensIncrease(fleet);
}

void DuplicateOrderIsCorrected() {
  LocalFleet fleet(OrderPlan(1, false));
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v1"));
  HttpRequest duplicate;
  duplicate.method = "POST";
  duplicate.target = "/v1/orders";
  duplicate.body = ReceivedOrders(fleet).front().at("order").dump();
  fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v2"));
  CPPUNIT_ASSERT(
      WaitUntil([&] { return OrderStatus(fleet, "version") == "v2"; }));
  CallHttp(fleet.Engine(0), duplicate);
  CPPUNIT_ASSERT(WaitUntil([&] { return ReceivedOrders(fleet).size() == 4; }));
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v2"));
}

/** The first process is paused while a second one sends orders. */
void ResumedProcessIsSuperseded(bool checks_fencing) {
  LocalFleet fleet(OrderPlan(1, checks_fencing));
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Signal(SIGSTOP);
  {
    const ChildProcess second = StartSecondProcess(
        fleet, {"dialogue_address", "operator_address", "gossip_address"});
    fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
    CPPUNIT_ASSERT(WaitForVersion(fleet, "v2"));
  }
  std::this_thread::sleep_for(kProcessPause);
  fleet.Publish({{"models/draft", ModelDocument("draft", "v3")}});
  fleet.EndpointProcess(0).Signal(SIGCONT);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return OrderStatus(fleet, "state") == "superseded"; }));
  AssertFencingTokensIncrease(fleet);
  CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                       EngineStateOf(fleet, 0).value("version", ""));
}

void SecondProcessExits() {
  LocalFleet fleet(OrderPlan(1, false));
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Signal(SIGSTOP);
  ChildProcess second =
      StartSecondProcess(fleet, {"operator_address", "gossip_address"});
  CPPUNIT_ASSERT_EQUAL(1, second.WaitForExit(kCallerTimeout));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReceivedOrders(fleet).size());
}

void ResumedProcessSendsOrders() {
  LocalFleet fleet(OrderPlan(1, false));
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v1"));
  fleet.EndpointProcess(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(kProcessPause);
  fleet.Publish({{"models/draft", ModelDocument("draft", "v2")}});
  fleet.EndpointProcess(0).Signal(SIGCONT);
  CPPUNIT_ASSERT(WaitForVersion(fleet, "v2"));
  AssertFencingTokensIncrease(fleet);
}

/** The outcome is known by the status; the body is the engine's own. */
void RefusalMayHaveAnyBody() {
  const NetworkClaim claim;
  const SocketAddress address = ParseSocketAddress(claim.Network() + "1:7110");
  ScriptedEndpoint engine(address, nullptr);
  for (const char* body :
       {"{}", "", "[]", "null", R"({"highest":"x"})", R"({"highest":-1})"}) {
    engine.SetScript([body](ScriptedCall& call) { call.Answer(409, body); });
    OrderReply reply;
    RunBlocking([&]() -> asio::awaitable<void> {
      ModelOrder order;
      order.lifetime = std::chrono::milliseconds(5000);
      reply = co_await SendOrder(address, order, BootClock::now());
    }());
    CPPUNIT_ASSERT_MESSAGE(body, reply.outcome == OrderOutcome::kSuperseded);
    CPPUNIT_ASSERT(reply.highest_fencing == FencingToken{});
  }
}

const Story kStory("model_orders", [] {
  return Section(
      "given engines with one endpoint process each",
      {Section("when documents name two models",
               {Then("each replica is ordered to load its assigned model",
                     EachReplicaLoadsItsModel)}),
       Section("when a killed process is restarted",
               {Then("with fencing checks, fencing tokens increase",
                     [] { RestartedProcessRaisesToken(true); }),
                Then("without fencing checks, fencing tokens increase",
                     [] { RestartedProcessRaisesToken(false); })}),
       Section("when an order arrives twice",
               {Then("an engine that checks fencing refuses it",
                     DuplicateOrderIsRefused),
                Then("an engine that ignores fencing is sent the newer again",
                     DuplicateOrderIsCorrected)}),
       Section("when an engine refuses an order with an odd body",
               {Then("it is read as a refusal", RefusalMayHaveAnyBody)}),
       Section("when a process resumes after another one has sent orders",
               {Then("with fencing checks, the engine gets no outdated order",
                     [] { ResumedProcessIsSuperseded(true); }),
                Then("without fencing checks, it gets no outdated order",
                     [] { ResumedProcessIsSuperseded(false); })}),
       Section(
           "when a second process starts at the address of a paused one",
           {Then("the second exits and sends no order", SecondProcessExits)}),
       Section("when a process resumes and no other has sent orders",
               {Then("it sends orders again", ResumedProcessSendsOrders)})});
});

}  // namespace

}  // namespace buckthornpath
