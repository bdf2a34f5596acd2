/** @file gateway_logs.cc Failed requests can be explained from logs alone. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <csignal>
#include <set>
#include <sstream>
#include <thread>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"
#include "table/log_table.h"

namespace buckthornpath {

namespace {

/** Number of requests whose log lines exceed the pipe and the log queue. */
constexpr int kManyRequests = 6000;
constexpr int kCallers = 8;

/** @return Output of the explain command for a request. */
std::string Explain(GatewayFleet& fleet, const std::string& id) {
  CPPUNIT_ASSERT(!fleet.LogOf(0, id).is_null());
  const ToolRun run = RunTool({"explain", id, fleet.LogPath(0)});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(run.output, 0, run.exit_code);
  return run.output;
}

void AssertContains(const std::string& output, const std::string& text) {
  CPPUNIT_ASSERT_MESSAGE(text + " is missing in: " + output,
                         output.find(text) != std::string::npos);
}

CallerText RequestWithId(const std::string& id, const std::string& path) {
  CallerText text;
  text.id = id;
  text.path = path;
  return text;
}

void RefusedForLackOfCapacity() {
  GatewayFleet fleet({});
  fleet.Store().Remove("servers/ledger-0");
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return fleet.Log(0).find("endpoint_gone") != std::string::npos; }));
  CPPUNIT_ASSERT_EQUAL(
      503U, fleet.Call(0, TextOf(RequestWithId("full", "/issue/x"))).status);
  const std::string output = Explain(fleet, "full");
  AssertContains(output, "\"wait_ms\"");
  AssertContains(output, "\"reason\":\"no_room\"");
  AssertContains(output, "\"taken_share\"");
  AssertContains(output, "\"published_age_ms\"");
  AssertContains(output, "\"configuration\":1");
}

/** @return Output for a request that ends 29 s after the hub was lost. */
std::string ExplainAfterLostHub(const std::string& line_in_between) {
  const ScratchDirectory scratch;
  const std::string process = R"("process":"gateway/a",)";
  const std::string log = scratch.Write(
      "gateway.log",
      R"({"time_ms":1000,)" + process +
          R"("event":"hub_lost","peer":"x","reason":"silent"})" + "\n" +
          line_in_between + R"({"time_ms":30000,)" + process +
          R"("event":"request","request":"late","total_ms":10})" + "\n");
  const ToolRun run = RunTool({"explain", "late", log});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(run.output, 0, run.exit_code);
  return run.output;
}

void LostHubIsNamed() {
  AssertContains(ExplainAfterLostHub(""),
                 "gateway/a followed no hub: loads of others were late, for "
                 "29000 ms");
  const std::string output = ExplainAfterLostHub(
      R"({"time_ms":1500,"process":"gateway/a","event":"hub_followed"})"
      "\n");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(output, std::string::npos,
                               output.find("followed no hub"));
}

void ConnectionClosedByEndpoint() {
  GatewayFleet fleet({});
  fleet.Ledger(0).SetScript([](ScriptedCall& call) { call.Close(true); });
  CPPUNIT_ASSERT_EQUAL(
      502U, fleet.Call(0, TextOf(RequestWithId("cut", "/issue/x"))).status);
  const std::string output = Explain(fleet, "cut");
  AssertContains(output, "\"reason\":\"broken\"");
  AssertContains(output, "\"endpoint\":\"ledger-0\"");
  AssertContains(output, "\"end\":\"broken\"");
}

void SentToReplacedEndpoint() {
  GatewayFleet fleet({});
  // The endpoint was replaced by another one at the same address.
  fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    call.Send("HTTP/1.1 421 X\r\nBuckthornpath-Request-Id: " + call.Id() +
              "\r\nContent-Length: 0\r\n\r\n");
  });
  CPPUNIT_ASSERT_EQUAL(
      503U, fleet.Call(0, TextOf(RequestWithId("moved", "/issue/x"))).status);
  const std::string output = Explain(fleet, "moved");
  AssertContains(output, "\"end\":\"not_executed\"");
  AssertContains(output, "\"published_age_ms\"");
}

void UnknownRequestIsReported() {
  GatewayFleet fleet({});
  const ToolRun run = RunTool({"explain", "nobody", fleet.LogPath(0)});
  CPPUNIT_ASSERT_EQUAL(1, run.exit_code);
  AssertContains(run.output, "no log line mentions the request nobody");
  CPPUNIT_ASSERT_EQUAL(2, RunTool({"explain", "x", "/no/such"}).exit_code);
  const ToolRun wrong = RunTool({"explain"});
  CPPUNIT_ASSERT_EQUAL(2, wrong.exit_code);
  AssertContains(wrong.output, "see buckthornpath --help\n");
}

/** @return What a gateway serves on its metrics address. */
std::string MetricsOf(const GatewayFleet& fleet) {
  HttpRequest request;
  request.target = "/metrics";
  return CallHttp(fleet.Operator(0), request).body;
}

void MetricsDistinguishOutcomes() {
  GatewayFleet fleet({});
  fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    if (call.Id() == "cut")
      call.Close(true);
    else
      call.Answer(200, "served");
  });
  fleet.Call(0, TextOf(RequestWithId("good", "/lookup/x")));
  fleet.Call(0, TextOf(RequestWithId("cut", "/issue/x")));
  fleet.LogOf(0, "cut");
  const std::string metrics = MetricsOf(fleet);
  const std::string name = "buckthornpath_";
  const std::string kind = "{service=\"ledger\",priority=\"1\",";
  AssertContains(metrics,
                 name + "requests_total" + kind + "reason=\"served\"} 1");
  AssertContains(metrics,
                 name + "requests_total" + kind + "reason=\"broken\"} 1");
  AssertContains(metrics, name + "request_seconds_bucket" + kind +
                              "outcome=\"failed\",le=\"+Inf\"} 1");
  AssertContains(metrics, name + "request_seconds_bucket" + kind +
                              "outcome=\"served\",le=\"30\"} 1");
  AssertContains(metrics, name + "first_byte_seconds_count");
}

void MetricsCountCachedPrompts() {
  GatewayPlan plan;
  plan.engines = 1;
  GatewayFleet fleet(plan);
  for (const std::string number : {"1", "2"}) {
    CallerText text = RequestWithId("prompt-" + number, "/draft/x");
    text.more_fields = "Buckthornpath-Prompt-Prefix: 5c1e07a2:800,e000000" +
                       number + ":250\r\n";
    CPPUNIT_ASSERT_EQUAL(200U, fleet.Call(0, TextOf(text)).status);
  }
  const auto uncached = [&](const char* id) {
    return fleet.LogOf(0, id).at("attempts").at(0).at("uncached_tokens");
  };
  CPPUNIT_ASSERT_EQUAL(1050, uncached("prompt-1").get<int>());
  CPPUNIT_ASSERT_EQUAL(250, uncached("prompt-2").get<int>());
  const std::string name = "buckthornpath_prompt_tokens_total{service=\"llm\",";
  const std::string metrics = MetricsOf(fleet);
  AssertContains(metrics, name + "cached=\"no\"} 1300");
  AssertContains(metrics, name + "cached=\"yes\"} 800");
  CPPUNIT_ASSERT(metrics.find("requests_placed_away_total") ==
                 std::string::npos);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return MetricsOf(fleet).find(
               "buckthornpath_waiting_requests{service=\"llm\"} 0") !=
           std::string::npos;
  }));
}

/** Makes a gateway log as many kinds of events as possible. */
void TriggerEvents(GatewayFleet& fleet) {
  fleet.Call(0, TextOf(RequestWithId("served", "/lookup/x")));
  fleet.Call(0, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n");
  fleet.Store().SetMode(StoreMode::kBusy);
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return fleet.Log(0).find("store_lost") != std::string::npos; }));
  fleet.Store().SetMode(StoreMode::kServing);
  fleet.PublishEndpoint("ledger", 0, "draining");
  fleet.Store().Put("servers/odd", nlohmann::json({{"service", 7}}));
  fleet.Gateway(0).Signal(SIGHUP);
  for (const char* event : {"store_regained", "endpoint_leaving",
                            "item_unusable", "settings_reloaded"}) {
    CPPUNIT_ASSERT_MESSAGE(event, WaitUntil([&] {
                             return fleet.Log(0).find(event) !=
                                    std::string::npos;
                           }));
  }
  fleet.Call(0, TextOf(RequestWithId("refused", "/lookup/x")));
  fleet.Gateway(0).Signal(SIGTERM);
  fleet.Gateway(0).WaitForExit(kCallerTimeout);
}

void LinesMatchTheEventTable() {
  GatewayPlan plan;
  plan.gateways = 2;
  GatewayFleet fleet(plan);
  TriggerEvents(fleet);
  std::istringstream lines(fleet.Log(0));
  std::set<std::string> seen;
  for (std::string text; std::getline(lines, text);) {
    const nlohmann::json line = nlohmann::json::parse(text);
    const std::string event = line.at("event");
    seen.insert(event);
    const LogEventRow* row = FindLogEvent(event);
    CPPUNIT_ASSERT_MESSAGE(event, row != nullptr);
    for (const auto& [field, value] : line.items()) {
      CPPUNIT_ASSERT_MESSAGE(text, ContainsWord(kCommonLogFields, field) ||
                                       ContainsWord(row->fields, field));
    }
  }
  for (const char* event : {"started", "request", "request_malformed",
                            "peer_found", "out_of_rotation", "stopped"}) {
    CPPUNIT_ASSERT_MESSAGE(event, seen.contains(event));
  }
}

void KeysAreNeverLogged() {
  GatewayFleet fleet({});
  fleet.Call(0, TextOf(RequestWithId("a", "/issue/x")));
  CallerText text = RequestWithId("b", "/issue/x");
  text.key = "a-wrong-key";
  fleet.Call(0, TextOf(text));
  fleet.LogOf(0, "b");
  const std::string log = fleet.Log(0);
  CPPUNIT_ASSERT(log.find(kParishKey) == std::string::npos);
  CPPUNIT_ASSERT(log.find("a-wrong-key") == std::string::npos);
}

void ServingContinuesWithoutLogReader() {
  GatewayPlan plan;
  plan.stalls_logs = true;
  GatewayFleet fleet(plan);
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < kManyRequests / kCallers; ++i) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(i);
        if (fleet.Call(0, TextOf(RequestWithId(id, "/lookup/x"))).status == 200)
          ++served;
      }
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  CPPUNIT_ASSERT_EQUAL(kManyRequests, served.load());
}

/** Lines about requests are limited by rate; lines about state are kept. */
void FloodDropsRequestLinesFirst() {
  GatewayPlan plan;
  plan.settings = {{"log_bytes_per_second", 2000}};
  GatewayFleet fleet(plan);
  for (int i = 0; i < 200; ++i)
    fleet.Call(0, TextOf(RequestWithId("f" + std::to_string(i), "/lookup/x")));
  fleet.Store().Remove("servers/ledger-0");
  CPPUNIT_ASSERT(WaitUntil([&] {
    const std::string log = fleet.Log(0);
    return log.find("endpoint_gone") != std::string::npos &&
           log.find("log_dropped") != std::string::npos;
  }));
}

const Story kStory("gateway_logs", [] {
  return Section(
      "given the logs of a gateway",
      {Section(
           "when a request has failed",
           {Then("one refused for lack of capacity is explained",
                 RefusedForLackOfCapacity),
            Then("a hub that was lost long before is named", LostHubIsNamed),
            Then("one whose endpoint closed the connection is explained",
                 ConnectionClosedByEndpoint),
            Then("one sent to a replaced endpoint is explained",
                 SentToReplacedEndpoint),
            Then("an unknown one and a wrong command are reported",
                 UnknownRequestIsReported)}),
       Section("when metrics are read",
               {Then("services, priorities and outcomes are distinguished",
                     MetricsDistinguishOutcomes),
                Then("prompt tokens are counted by what is cached",
                     MetricsCountCachedPrompts)}),
       Section("when log lines are about callers' requests",
               {Then("they never hold keys", KeysAreNeverLogged),
                Then("their events and fields are those of the table",
                     LinesMatchTheEventTable)}),
       Section("when log lines are not read, or are too many",
               {Then("serving continues", ServingContinuesWithoutLogReader),
                Then("lines about requests are dropped first, and counted",
                     FloodDropsRequestLinesFirst)})});
});

}  // namespace

}  // namespace buckthornpath
