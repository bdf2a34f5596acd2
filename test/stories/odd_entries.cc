/** @file odd_entries.cc Entries of other writers decide for no other entry. */

#include <cppunit/TestAssert.h>

#include <chrono>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"
#include "harness/tool.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

constexpr std::size_t kLedgers = 5;

constexpr int kRequests = 20;

/** What callers and the store see of a process that has started again. */
struct Start {
  std::size_t endpoints = 0;
  std::size_t served = 0;  ///< Of kRequests.
  std::size_t range_calls = 0;
  std::size_t malformed_calls = 0;

  bool operator==(const Start&) const = default;
};

std::string Describe(const Start& start) {
  std::ostringstream text;
  text << start.endpoints << " endpoints, " << start.served << " served, "
       << start.range_calls << " reads of pages, " << start.malformed_calls
       << " malformed";
  return text.str();
}

GatewayPlan ManyLedgers(std::size_t gateways = 1) {
  GatewayPlan plan;
  plan.gateways = gateways;
  plan.ledgers = kLedgers;
  return plan;
}

/** Gateways whose list of replicas is longer than a page, and a process that
 * the entries of another writer name. */
class FleetWithOddEntry {
 public:
  explicit FleetWithOddEntry(std::size_t gateways = 1)
      : gateways(gateways),
        fleet(ManyLedgers(gateways)),
        stray(ParseSocketAddress(this->StrayAddress()),
              [](ScriptedCall& call) { call.Answer(200, "stray"); }) {}

  GatewayFleet& Fleet() { return this->fleet; }
  PlatformStore& Store() { return this->fleet.Store(); }

  /** @return An entry that would name a replica under a sound name. */
  std::string SoundValue() {
    return json({{"service", "ledger"},
                 {"address", this->StrayAddress()},
                 {"zone", "a"},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"coldRemainingMs", 0},
                 {"sequence", 1}})
        .dump();
  }

  /** Ends all gateways at once and starts them again. */
  void RestartAll() {
    for (std::size_t i = 0; i < this->gateways; ++i)
      this->fleet.Gateway(i).Kill();
    for (std::size_t i = 0; i < this->gateways; ++i)
      this->fleet.Restart(i);
  }

  bool AllReady() {
    for (std::size_t i = 0; i < this->gateways; ++i) {
      if (!this->fleet.IsReady(i))
        return false;
    }
    return true;
  }

  /** Restarts all gateways and sends requests to each. */
  Start MeasureStart() {
    const StoreCalls before = this->Store().Calls();
    this->RestartAll();
    Start start;
    // A gateway that is not ready lacks the requests in the result.
    WaitUntil([this] { return this->AllReady(); });
    for (int i = 0; i < kRequests; ++i) {
      CallerText text;
      text.id = "start-" + std::to_string(++this->requests);
      const std::size_t gateway = static_cast<std::size_t>(i) % this->gateways;
      if (this->fleet.Call(gateway, TextOf(text)).body == "served")
        ++start.served;
    }
    start.endpoints = this->EndpointsOf(0);
    const StoreCalls after = this->Store().Calls();
    start.range_calls = after.range - before.range;
    start.malformed_calls = after.malformed - before.malformed;
    return start;
  }

  std::size_t EndpointsOf(std::size_t gateway) {
    const json status = LocalFleet::StatusOf(this->fleet.Operator(gateway));
    return status.is_object() ? status.value("endpoints", std::size_t{0}) : 0;
  }

  /** @return Requests that reached the process of the odd entries. */
  std::size_t StrayRequests() { return this->stray.Received().size(); }

  /** @return Lines of a gateway's log on items that it cannot use. */
  std::vector<json> ItemLines(std::size_t gateway) {
    std::vector<json> found;
    std::istringstream lines(this->fleet.Log(gateway));
    for (std::string line; std::getline(lines, line);) {
      const json entry = json::parse(line, nullptr, false);
      // The last line may not be written to its end.
      if (entry.is_object() && entry.value("event", "").starts_with("item_"))
        found.push_back(entry);
    }
    return found;
  }

 private:
  std::string StrayAddress() const {
    return this->fleet.Caller(0).address().to_string() + ":7199";
  }

  std::size_t gateways;
  GatewayFleet fleet;
  ScriptedEndpoint stray;
  int requests = 0;
};

/** The replicas of the plan: an engine and the ledgers. */
constexpr std::size_t kReplicas = kLedgers + 1;

void AssertServes(const Start& start, const std::string& what) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + Describe(start), kReplicas,
                               start.endpoints);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + Describe(start),
                               static_cast<std::size_t>(kRequests),
                               start.served);
}

/** Ends of names in the list of replicas. */
const std::vector<std::string> kOddEnds = {
    "&x=1", "+x",  "#x", "%x",  "%41", " x",         "%2Fx",        "?x",
    "=x",   "\"x", "'x", "\\x", "\nx", "\x01x",      "\x7fx",       "/x",
    ";x,y", "{x}", "&",  " ",   "%",   "&after=zzz", "\u00e9\u4e16"};

/** A place in the list, and a size of pages with which it is the last on its
 * page. The list has 7 sound items and 8 with the odd one, which is the same
 * number of pages of this size. */
struct PageEnd {
  std::string begin;  ///< Of the name.
  std::size_t page_size;
};
const std::vector<PageEnd> kPageEnds = {{"f", 3}, {"ledger-1", 5}};

/** The names of the incident, and others that a query cannot hold as they
 * are. */
void RestartReadsPastOddNames() {
  FleetWithOddEntry odd;
  for (const PageEnd& place : kPageEnds) {
    odd.Store().SetPageSize(place.page_size);
    const Start plain = odd.MeasureStart();
    AssertServes(plain, "no odd entry");
    for (const std::string& end : kOddEnds) {
      const std::string key = "servers/" + place.begin + end;
      odd.Store().Put(key, std::string("{}"));
      const Start start = odd.MeasureStart();
      CPPUNIT_ASSERT_MESSAGE(key + ": " + Describe(start), start == plain);
      odd.Store().Remove(key);
    }
  }
}

/** First on a page, last on it, and alone on it; in the list of replicas and
 * outside of it. */
void RestartReadsPastOddNamesAnywhere() {
  FleetWithOddEntry odd;
  for (const std::string begin : {"servers/a", "servers/ledger-1", "servers/z",
                                  "a", "op/", "op/evacuate/", "z"}) {
    const std::string key = begin + "&+#% x";
    for (const std::size_t size : {1, 2, 3, 4}) {
      odd.Store().SetPageSize(size);
      odd.Store().Put(key, std::string("{}"));
      const Start start = odd.MeasureStart();
      AssertServes(start, key + " on pages of " + std::to_string(size));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, start.malformed_calls);
      odd.Store().Remove(key);
    }
  }
}

/** @return The text of an item in the list or of an event. */
std::string RawItem(const std::string& key_text, const std::string& more) {
  return R"({"key":)" + key_text + "," + more +
         R"(,"createRevision":1,"lease":0})";
}

/** A process that another writer names under an odd name gets no requests. */
void SoundValueUnderAnOddNameIsNotUsed() {
  FleetWithOddEntry odd;
  odd.Store().SetPageSize(2);
  const std::vector<std::string> keys = {
      "servers/a&b+c#d%20 e", "servers/",      "servers/a b",
      "servers/\"",           "servers/a/b",   "servers/ledger-1\r\nX: y",
      "servers/ledger-1%00",  "servers/\u00e9"};
  // Some are seen by the watch, then all by the list.
  for (const std::string& key : keys)
    odd.Store().Put(key, odd.SoundValue());
  CPPUNIT_ASSERT(
      WaitUntil([&] { return odd.ItemLines(0).size() == keys.size(); }));
  AssertServes(odd.MeasureStart(), "sound values under odd names");
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, odd.StrayRequests());
}

/** A writer that renews its entry does not fill the log, and the line has a
 * bound, whatever the entry holds. */
void OneLineSaysWhyAnEntryIsNotUsed() {
  FleetWithOddEntry odd;
  const std::string key = "servers/a&b";
  const std::string long_state(100000, 'x');
  json unknown_state = json::parse(odd.SoundValue());
  unknown_state["state"] = long_state;
  for (int i = 0; i < 5; ++i) {
    odd.Store().Put(key, odd.SoundValue());
    odd.Store().Put("servers/plain", unknown_state.dump());
    odd.Store().PutRaw("servers/raw",
                       RawItem("\"servers/raw\"", "\"value\":3"));
  }
  odd.Store().Put("op/config", StandardConfiguration(2));
  // Lines are written in order.
  CPPUNIT_ASSERT(WaitUntil([&] {
    return odd.Fleet().Log(0).find("\"version\":2,") != std::string::npos;
  }));
  std::map<std::string, std::size_t> lines;
  for (const json& line : odd.ItemLines(0)) {
    ++lines[line.value("key", "")];
    CPPUNIT_ASSERT(!line.value("reason", "").empty());
    CPPUNIT_ASSERT(line.dump().size() < 2000);
  }
  const std::map<std::string, std::size_t> expected = {
      {key, 1}, {"servers/plain", 1}, {"servers/raw", 1}};
  CPPUNIT_ASSERT(lines == expected);
}

/** Items that name no key, or whose members have odd types. */
const std::vector<std::string> kUnreadableItems = {
    "null",
    "7",
    "\"servers/a\"",
    "[]",
    "{}",
    R"({"value":"e30=","revision":5})",
    R"({"key":7,"value":"e30=","revision":5})",
    R"({"key":"","value":"e30=","revision":5})",
    R"({"key":"servers/f","value":"e30="})",
    R"({"key":"servers/f","value":"e30=","revision":-1})",
    R"({"key":"servers/f","value":"e30=","revision":1e400})",
    R"({"key":"servers/f","value":"e30=","revision":99999999999999999999999})",
    R"({"key":"servers/f","value":7,"revision":5})",
    R"({"key":"servers/f","value":"\u0000","revision":5})",
    R"({"key":"servers/f","value":"%%%%","revision":5})",
    R"({"key":"servers/f","value":{"a":[]},"revision":5,"removed":"yes"})",
    "{\"key\":\"servers/f\xff\xfe\",\"value\":\"e30=\",\"revision\":5}",
    R"({"key":"servers/f)" + std::string(192, 'x') +
        R"(","value":"e30=","revision":5})",
    "{\"key\":\"servers/f\",\"value\":\"\xc3\x28\",\"revision\":5}"};

/** A page that ends with such an item, or begins with it, is not the last. */
void UnreadableItemEndsNoList() {
  FleetWithOddEntry odd;
  // After the engine, at the end of a page of two, three or eight items.
  for (const std::size_t size : {2, 3, 8}) {
    odd.Store().SetPageSize(size);
    for (const std::string& item : kUnreadableItems) {
      odd.Store().PutRaw("servers/f", item);
      const Start start = odd.MeasureStart();
      AssertServes(start, item);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item, std::size_t{0}, start.malformed_calls);
      // At most one page more: the one that begins with the odd item again.
      CPPUNIT_ASSERT_MESSAGE(item, start.range_calls <= 8 / size + 2);
      CPPUNIT_ASSERT(WaitUntil([&] { return !odd.ItemLines(0).empty(); }));
    }
  }
}

/** The list cannot be read on; what is renewed is learnt by the watch. */
void PageWithoutProgressEndsTheList() {
  for (const bool has_keys : {true, false}) {
    FleetWithOddEntry odd;
    GatewayFleet& fleet = odd.Fleet();
    odd.Store().SetPageSize(has_keys ? 3 : 1);
    if (has_keys)
      odd.Store().SetPages(PageMode::kRepeated);
    else
      odd.Store().PutRaw("servers/f", "null");
    const StoreCalls before = odd.Store().Calls();
    odd.RestartAll();
    CPPUNIT_ASSERT(WaitUntil([&] { return odd.AllReady(); }));
    CPPUNIT_ASSERT(odd.Store().Calls().range - before.range <= 4);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return fleet.Log(0).find("list_incomplete") != std::string::npos;
    }));
    for (std::size_t i = 0; i < kLedgers; ++i)
      fleet.PublishEndpoint("ledger", i, "ready");
    CPPUNIT_ASSERT(WaitUntil([&] { return odd.EndpointsOf(0) == kReplicas; }));
    CPPUNIT_ASSERT_EQUAL(200U, fleet.Call(0, TextOf({})).status);
    CPPUNIT_ASSERT(odd.Store().Calls().range - before.range <= 4);
  }
}

/** A process that could not read the list to its end takes no replica away
 * from those that follow it. */
void IncompleteListRemovesNothingElsewhere() {
  FleetWithOddEntry odd(3);
  GatewayFleet& fleet = odd.Fleet();
  odd.Store().SetPageSize(3);
  odd.Store().SetPages(PageMode::kRepeated);
  for (const std::size_t i : {0, 1}) {
    fleet.Gateway(i).Kill();
    fleet.Restart(i);
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return odd.AllReady(); }));
  fleet.Store().Put("op/config", StandardConfiguration(2));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(2)).value("configuration", 0) ==
           2;
  }));
  CPPUNIT_ASSERT_EQUAL(kReplicas, odd.EndpointsOf(2));
}

/** After a restart nothing is served from a part of the list. */
void PartOfTheListIsNotServed() {
  FleetWithOddEntry odd;
  odd.Store().SetPageSize(3);
  odd.Store().SetPages(PageMode::kOnlyTheFirst);
  const std::size_t log_size = odd.Fleet().Log(0).size();
  odd.RestartAll();
  CPPUNIT_ASSERT(WaitUntil([&] {
    return odd.Fleet().Log(0).find("store_lost", log_size) != std::string::npos;
  }));
  CPPUNIT_ASSERT(!odd.AllReady());
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, odd.EndpointsOf(0));
  CPPUNIT_ASSERT_EQUAL(503U, odd.Fleet().Call(0, TextOf({})).status);
  odd.Store().SetPages(PageMode::kSound);
  CPPUNIT_ASSERT(WaitUntil([&] { return odd.AllReady(); }));
  CPPUNIT_ASSERT_EQUAL(kReplicas, odd.EndpointsOf(0));
}

/** All gateways start again beside entries of every kind; some read the store
 * and others follow them. */
void HubsHandOnWhatIsSound() {
  FleetWithOddEntry odd(3);
  odd.Store().SetPageSize(3);
  for (const std::string& end : kOddEnds)
    odd.Store().Put("servers/f" + end, odd.SoundValue());
  odd.Store().PutRaw(
      "servers/raw\xff",
      RawItem("\"servers/raw\xff\xfe\"", "\"value\":\"e30=\",\"revision\":5"));
  for (std::size_t i = 0; i < kUnreadableItems.size(); ++i)
    odd.Store().PutRaw("servers/u" + std::to_string(i), kUnreadableItems[i]);
  const Start start = odd.MeasureStart();
  AssertServes(start, "odd entries of every kind");
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, start.malformed_calls);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, odd.StrayRequests());
  for (std::size_t i = 0; i < 3; ++i) {
    CPPUNIT_ASSERT_EQUAL(kReplicas, odd.EndpointsOf(i));
    CPPUNIT_ASSERT_EQUAL(std::string::npos,
                         odd.Fleet().Log(i).find("service_restarted"));
  }
}

/** While the store is unavailable, a new process learns from its peers. */
void PeersHandOnWhatIsSound() {
  FleetWithOddEntry odd(2);
  for (const std::string& end : kOddEnds)
    odd.Store().Put("servers/f" + end, odd.SoundValue());
  odd.Store().Put("op/config", StandardConfiguration(2));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(odd.Fleet().Operator(0))
               .value("configuration", 0) == 2;
  }));
  odd.Store().SetMode(StoreMode::kBusy);
  odd.Fleet().Gateway(1).Kill();
  odd.Fleet().Restart(1);
  CPPUNIT_ASSERT(WaitUntil([&] { return odd.AllReady(); }));
  CPPUNIT_ASSERT_EQUAL(kReplicas, odd.EndpointsOf(1));
  CPPUNIT_ASSERT_EQUAL(200U, odd.Fleet().Call(1, TextOf({})).status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, odd.StrayRequests());
}

/** An entry that another writer overwrites with what cannot be read. */
void OverwrittenEntryNamesNoReplica() {
  FleetWithOddEntry odd;
  odd.Store().PutRaw(
      "servers/ledger-0",
      RawItem("\"servers/ledger-0\"", R"("value":"%","revision":100000)"));
  CPPUNIT_ASSERT(
      WaitUntil([&] { return odd.EndpointsOf(0) == kReplicas - 1; }));
  // And an evacuation says it all by its key.
  odd.Store().PutRaw(
      "op/evacuate/b",
      RawItem("\"op/evacuate/b\"", R"("value":7,"revision":100001)"));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(odd.Fleet().Operator(0))
        .value("evacuated", json::object())
        .contains("b");
  }));
  CPPUNIT_ASSERT_EQUAL(200U, odd.Fleet().Call(0, TextOf({})).status);
}

/** Guards against a version below 0 that counts as the greatest. */
void NegativeVersionIsNotInForce() {
  FleetWithOddEntry odd;
  json configuration = StandardConfiguration(2);
  configuration["version"] = -1;
  odd.Store().Put("op/config", configuration);
  const auto version = [&] {
    return LocalFleet::StatusOf(odd.Fleet().Operator(0))
        .value("configuration", json())
        .dump();
  };
  CPPUNIT_ASSERT(
      WaitUntil([&] { return version() != "1" || !odd.ItemLines(0).empty(); }));
  odd.Store().Put("op/config", StandardConfiguration(2));
  CPPUNIT_ASSERT(WaitUntil([&] { return version() == "2"; }));
}

/** The name of an organisation goes into a header field of its requests. */
void OddOrganisationIsLeftOut() {
  FleetWithOddEntry odd;
  std::uint64_t version = 1;
  for (const std::string name :
       {"x\r\nBuckthornpath-Odd: 1", "x\r\n\r\nGET /issue/x HTTP/1.1", "x\n",
        "\x01", "x\x7f", " parish", "parish ", "parish\t"}) {
    json configuration = StandardConfiguration(++version);
    configuration["tenants"].push_back(
        {{"name", name}, {"apiKeys", {"odd-key"}}});
    odd.Store().Put("op/config", configuration);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return LocalFleet::StatusOf(odd.Fleet().Operator(0))
                 .value("configuration", std::uint64_t{0}) == version;
    }));
    CallerText text;
    text.id = "odd-" + std::to_string(version);
    text.key = "odd-key";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(json(name).dump(), 401U,
                                 odd.Fleet().Call(0, TextOf(text)).status);
    CPPUNIT_ASSERT_EQUAL(200U, odd.Fleet().Call(0, TextOf({})).status);
  }
  AssertServes(odd.MeasureStart(), "odd organisations");
  CPPUNIT_ASSERT(WaitUntil([&] {
    return odd.Fleet().Log(0).find("organisation_unusable") !=
           std::string::npos;
  }));
}

/** As many calls as for sound entries, which come together with others. */
void UnreadableChangesCauseNoFloodOfCalls() {
  FleetWithOddEntry odd;
  constexpr std::size_t kChanges = 300;
  const StoreCalls before = odd.Store().Calls();
  for (std::size_t i = 0; i < kChanges; ++i) {
    odd.Store().PutRaw("servers/f", "null");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  odd.Store().Put("op/config", StandardConfiguration(2));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(odd.Fleet().Operator(0))
               .value("configuration", 0) == 2;
  }));
  const StoreCalls after = odd.Store().Calls();
  CPPUNIT_ASSERT_EQUAL(before.range, after.range);
  // A call in 250 ms, and the test may run at a fifth of its speed.
  CPPUNIT_ASSERT(after.watch - before.watch < kChanges / 5);
}

/** Names of failure domains that others chose. */
void StatusShowsOddNames() {
  FleetWithOddEntry odd;
  GatewayFleet& fleet = odd.Fleet();
  odd.Store().PutRaw(
      "op/evacuate/z\xff",
      RawItem("\"op/evacuate/z\xff\\u001b[2J\"", R"("value":"","revision":5)"));
  odd.Store().Put("op/evacuate/a\x1b[2J", std::string("{}"));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(0))
               .value("evacuated", json::object())
               .size() == 2;
  }));
  const ToolRun shown =
      RunTool({"show", FormatSocketAddress(fleet.Operator(0))});
  CPPUNIT_ASSERT_EQUAL(0, shown.exit_code);
  CPPUNIT_ASSERT(shown.Says("a\\u001b[2J"));
  CPPUNIT_ASSERT(!shown.Says("\x1b"));
}

/** The service of an entry is a label. */
void LabelsHoldAnyText() {
  FleetWithOddEntry odd;
  json entry = json::parse(odd.SoundValue());
  entry["service"] = "odd\"} 1\nbuckthornpath_fake{x=\"\\";
  odd.Store().Put("servers/odd-service", entry.dump());
  HttpRequest request;
  request.target = "/metrics";
  std::string metrics;
  CPPUNIT_ASSERT(WaitUntil([&] {
    metrics = CallHttp(odd.Fleet().Operator(0), request).body;
    return metrics.find("odd") != std::string::npos;
  }));
  CPPUNIT_ASSERT(metrics.find("\nbuckthornpath_fake") == std::string::npos);
  CPPUNIT_ASSERT(metrics.find(R"(odd\"} 1\nbuckthornpath_fake{x=\"\\")") !=
                 std::string::npos);
}

/** A file may hold lines of other programs. */
void ExplainSkipsLinesOfOthers() {
  const ScratchDirectory scratch;
  std::string log;
  for (const char* odd :
       {R"({"time_ms":"x","process":"p","event":"request","request":"id-1"})",
        R"({"time_ms":1,"process":7,"event":"request"})",
        R"({"time_ms":1,"process":"p","event":7,"request":"id-1"})",
        R"({"time_ms":1,"event":"request","request":["id-1"]})",
        R"({"time_ms":1,"event":"request","endpoint":{},"request":"id-1"})",
        R"({"time_ms":1,"event":"request","request":"id-1","total_ms":"x"})",
        R"({"time_ms":1,"event":"request","request":"id-1","attempts":7})",
        R"({"time_ms":1,"event":"request","request":"id-1","attempts":[7]})",
        R"({"time_ms":1,"event":"log_dropped","lines":"x"})"})
    log += std::string(odd) + "\n";
  log += R"({"time_ms":5,"process":"gateway/g","event":"request",)"
         R"("request":"id-1","reason":"served","total_ms":3,"attempts":[]})";
  const ToolRun run =
      RunTool({"explain", "id-1", scratch.Write("odd.log", log + "\n")});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(run.output, 0, run.exit_code);
  CPPUNIT_ASSERT_MESSAGE(run.output, run.Says("served"));
  CPPUNIT_ASSERT_MESSAGE(run.output, run.Says("9 lines are not valid"));
}

const Story kStory("odd_entries", [] {
  return Section(
      "given a list of replicas that is longer than a page of the store",
      {Section("when all processes start again beside an entry of an odd name",
               {Then("the same replicas are used with as many reads as without",
                     RestartReadsPastOddNames),
                Then("wherever the entry stands on a page",
                     RestartReadsPastOddNamesAnywhere),
                Then("a sound value under such a name names no replica",
                     SoundValueUnderAnOddNameIsNotUsed),
                Then("those that follow a hub use the same replicas",
                     HubsHandOnWhatIsSound),
                Then("so does one that can ask its peers alone",
                     PeersHandOnWhatIsSound)}),
       Section("when a page has an item that cannot be read",
               {Then("the list goes on after it", UnreadableItemEndsNoList),
                Then("its replica is not used any more",
                     OverwrittenEntryNamesNoReplica),
                Then("a version below 0 is not in force",
                     NegativeVersionIsNotInForce),
                Then("changes of it cause no flood of calls",
                     UnreadableChangesCauseNoFloodOfCalls)}),
       Section("when the configuration has an organisation of an odd name",
               {Then("its requests are refused and the others served",
                     OddOrganisationIsLeftOut)}),
       Section("when a page brings nothing new",
               {Then("the list ends, and the watch goes on from there",
                     PageWithoutProgressEndsTheList),
                Then("replicas that others know stay in use",
                     IncompleteListRemovesNothingElsewhere)}),
       Section("when only the first page can be read",
               {Then("nothing is served until the list is whole",
                     PartOfTheListIsNotServed)}),
       Section(
           "when an entry is looked at by operators",
           {Then("one line says why it names no replica",
                 OneLineSaysWhyAnEntryIsNotUsed),
            Then("the status and the tool show odd names safely",
                 StatusShowsOddNames),
            Then("a label of a metric may have any text", LabelsHoldAnyText),
            Then("explain skips lines that no process of ours writes",
                 ExplainSkipsLinesOfOthers)})});
});

}  // namespace

}  // namespace buckthornpath
