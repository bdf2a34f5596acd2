/** @file stream_origin_fleet.cc Streams of two software versions that callers
 * take up at another gateway. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kLastEvent = 4;
constexpr std::size_t kEngines = 2;
constexpr std::size_t kStreams = 6;
constexpr std::size_t kManyStreams = 200;

/** Of an endpoint; gateways share it. */
constexpr std::size_t kMaxConnections = 4 * kManyStreams;

/** Time in which a gateway tells others of a stream. */
constexpr milliseconds kAnnouncementTime{20};

/** Time after which it does not tell them again. */
constexpr milliseconds kRepeatTime{300};

/** Limit of the time for which a gateway asks others. */
constexpr milliseconds kLookupLimit{300};

/** Time after which callers leave at the earliest. */
constexpr milliseconds kCallerPatience{2000};

/** Sends one event of a stream that begins, and all others of one that is taken
 * up. */
void Generate(ScriptedCall& call) {
  const std::string last = call.Field("Last-Event-Id");
  call.BeginEvents();
  if (last.empty()) {
    call.Event(1);
    call.WaitForClose(milliseconds(60000));
    return;
  }
  for (int id = std::stoi(last) + 1; id <= kLastEvent; ++id)
    call.Event(id);
  call.EndEvents();
}

/** Gateways, and one engine of each of two software versions. */
class VersionFleet {
 public:
  VersionFleet(std::size_t gateways, std::vector<std::string> domains)
      : gateways(gateways), fleet(PlanOf(gateways, std::move(domains))) {
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      this->fleet.Engine(engine).SetScript(Generate);
      json entry = this->fleet.EntryOf("engine", engine, "ready");
      entry["version"] = "v" + std::to_string(engine + 1);
      this->fleet.Store().Put("servers/engine-" + std::to_string(engine),
                              entry);
    }
    this->PublishConfiguration();
    this->AwaitWitnesses();
  }

  /** Begins streams at a gateway and keeps their connections open. */
  void Begin(std::size_t gateway, std::size_t streams = kStreams) {
    for (std::size_t i = 0; i < streams; ++i) {
      CallerText text;
      text.path = "/talk/x";
      text.id = IdOf(i);
      auto caller =
          std::make_unique<ByteConnection>(this->fleet.Caller(gateway));
      caller->Send(TextOf(text));
      std::string received;
      while (received.find("id: 1\n") == std::string::npos) {
        const std::string more = caller->ReadSome();
        CPPUNIT_ASSERT_MESSAGE("no first event: " + received, !more.empty());
        received += more;
      }
      this->callers.push_back(std::move(caller));
    }
  }

  /** Kills a gateway once others have been told of its streams. */
  void KillAfterAnnouncement(std::size_t gateway) {
    std::this_thread::sleep_for(kAnnouncementTime);
    this->fleet.Gateway(gateway).Kill();
  }

  void CloseCallers() { this->callers.clear(); }

  RawAnswer TakeUp(std::size_t gateway, const std::string& begun_by) const {
    CallerText text;
    text.path = "/talk/x";
    text.id = begun_by + "-again";
    text.more_fields = "Last-Event-Id: 1\r\nResumes: " + begun_by + "\r\n";
    return this->fleet.Call(gateway, TextOf(text));
  }

  /** Takes all streams up; fails unless each goes on to its end at the version
   * that began it. */
  void AssertTheyGoOn(std::size_t gateway) {
    for (std::size_t i = 0; i < kStreams; ++i)
      this->AssertItWentOn(i, this->TakeUp(gateway, IdOf(i)));
  }

  /** Fails unless the answer holds the rest of a stream, from the version that
   * began it. */
  void AssertItWentOn(std::size_t i, const RawAnswer& answer) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.head + answer.body, 200U,
                                 answer.status);
    CPPUNIT_ASSERT(answer.body.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(answer.body.find("id: 1\n") == std::string::npos);
    for (int id = 2; id <= kLastEvent; ++id) {
      CPPUNIT_ASSERT(answer.body.find("id: " + std::to_string(id) + "\n") !=
                     std::string::npos);
    }
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      ScriptedEndpoint& endpoint = this->fleet.Engine(engine);
      CPPUNIT_ASSERT_EQUAL(endpoint.CountOf(IdOf(i)),
                           endpoint.CountOf(IdOf(i) + "-again"));
    }
  }

  json Gossip(std::size_t gateway) const {
    const json status = LocalFleet::StatusOf(this->fleet.Operator(gateway));
    return status.is_object() ? status.value("gossip", json::object())
                              : json::object();
  }

  /** @return Gateways with a role, among some. */
  std::vector<std::size_t> WithRole(
      const std::string& role,
      const std::vector<std::size_t>& among) const {
    std::vector<std::size_t> found;
    std::copy_if(among.begin(), among.end(), std::back_inserter(found),
                 [&](std::size_t gateway) {
                   return this->Gossip(gateway).value("role", "") == role;
                 });
    return found;
  }

  /** Waits until each gateway has the witnesses of a fleet whose gateways all
   * live. */
  void AwaitWitnesses() const {
    const auto is_settled = [&] {
      for (std::size_t gateway = 0; gateway < this->gateways; ++gateway) {
        const json gossip = this->Gossip(gateway);
        if (gossip.value("stream_witnesses", json::array()).size() <
            std::min<std::size_t>(2, this->gateways - 1))
          return false;
      }
      return true;
    };
    CPPUNIT_ASSERT(WaitUntil(is_settled));
  }

  /** @return Lookups of a gateway that have ended in a way. */
  std::uint64_t LookupsOf(std::size_t gateway,
                          const std::string& result) const {
    HttpRequest request;
    request.target = "/metrics";
    const std::string text =
        CallHttp(this->fleet.Operator(gateway), request).body;
    const std::string name = "stream_lookups_total{result=\"" + result + "\"} ";
    const std::size_t found = text.find(name);
    return found == std::string::npos
               ? 0
               : std::stoull(text.substr(found + name.size()));
  }

  static std::string IdOf(std::size_t stream) {
    return "stream-" + std::to_string(stream);
  }

  GatewayFleet& Fleet() { return this->fleet; }

 private:
  /** Publishes room for many streams, and waits until it is in force, as is
   * what has been published before. */
  void PublishConfiguration() {
    constexpr std::uint64_t kVersion = 2;
    json configuration = StandardConfiguration(kVersion);
    for (json& route : configuration["routes"])
      route["timeoutMs"] = 30000;
    for (json& service : configuration["services"]) {
      service["maxConns"] = kMaxConnections;
      if (service.contains("engine"))
        service["engine"]["slots"] = kManyStreams;
    }
    this->fleet.Store().Put("op/config", configuration);
    CPPUNIT_ASSERT(WaitUntil([&] {
      for (std::size_t gateway = 0; gateway < this->gateways; ++gateway) {
        if (LocalFleet::StatusOf(this->fleet.Operator(gateway))
                .value("configuration", std::uint64_t{0}) != kVersion)
          return false;
      }
      return true;
    }));
  }

  static GatewayPlan PlanOf(std::size_t gateways,
                            std::vector<std::string> domains) {
    GatewayPlan plan;
    plan.gateways = gateways;
    plan.failure_domains = std::move(domains);
    plan.engines = kEngines;
    plan.slots = kManyStreams;
    return plan;
  }

  std::size_t gateways;
  GatewayFleet fleet;
  std::vector<std::unique_ptr<ByteConnection>> callers;
};

const std::vector<std::string> kTwoDomains = {"a", "b"};

/** Gateways 0 and 2 are in failure domain a, 1 and 3 in b. */
void BrokenConnection(std::size_t taken_up_at) {
  VersionFleet fleet(4, kTwoDomains);
  fleet.Begin(0);
  fleet.CloseCallers();
  fleet.AssertTheyGoOn(taken_up_at);
}

void KilledGateway(std::size_t taken_up_at) {
  VersionFleet fleet(4, kTwoDomains);
  fleet.Begin(0);
  fleet.KillAfterAnnouncement(0);
  fleet.AssertTheyGoOn(taken_up_at);
}

void OnlyGatewayOfItsDomainIsKilled() {
  VersionFleet fleet(3, {"a", "b", "c"});
  fleet.Begin(1);
  fleet.KillAfterAnnouncement(1);
  fleet.AssertTheyGoOn(0);
}

/** Begins streams at a member of a failure domain that has one.
 * @param hubs_killed Hubs that are killed together with it, the leader first.
 */
void KilledWithHubs(std::size_t hubs_killed) {
  // Failure domain a has the gateways 0, 2 and 4.
  VersionFleet fleet(6, kTwoDomains);
  const std::vector<std::size_t> domain = {0, 2, 4};
  std::vector<std::size_t> hubs;
  CPPUNIT_ASSERT(WaitUntil([&] {
    hubs = fleet.WithRole("leader", domain);
    for (const std::size_t hub : fleet.WithRole("hub", domain))
      hubs.push_back(hub);
    return hubs.size() == 2 && fleet.WithRole("member", domain).size() == 1;
  }));
  const std::size_t member = fleet.WithRole("member", domain).front();
  fleet.Begin(member);
  fleet.KillAfterAnnouncement(member);
  for (std::size_t i = 0; i < hubs_killed; ++i)
    fleet.Fleet().Gateway(hubs.at(i)).Kill();
  if (hubs_killed < hubs.size())
    fleet.AssertTheyGoOn(hubs.back());
  else
    fleet.AssertTheyGoOn(3);
}

/** All callers come back within some milliseconds. */
void ManyGoOnAtOnce() {
  VersionFleet fleet(4, kTwoDomains);
  fleet.Begin(0, kManyStreams);
  fleet.KillAfterAnnouncement(0);
  std::vector<RawAnswer> answers(kManyStreams);
  std::vector<std::jthread> callers;
  callers.reserve(kManyStreams);
  for (std::size_t i = 0; i < kManyStreams; ++i) {
    callers.emplace_back([&fleet, &answers, i] {
      answers[i] = fleet.TakeUp(1, VersionFleet::IdOf(i));
    });
  }
  callers.clear();
  for (std::size_t i = 0; i < kManyStreams; ++i)
    fleet.AssertItWentOn(i, answers[i]);
}

/** The records of hubs that are killed are gone; who began the streams tells
 * those that follow. */
void NewHubsAreTold() {
  VersionFleet fleet(4, {"a"});
  const std::vector<std::size_t> all = {0, 1, 2, 3};
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.WithRole("member", all).size() == 2; }));
  const std::vector<std::size_t> members = fleet.WithRole("member", all);
  fleet.Begin(members.front());
  const std::size_t begun_at = members.front();
  std::this_thread::sleep_for(kRepeatTime);
  for (const std::size_t gateway : all) {
    if (std::find(members.begin(), members.end(), gateway) == members.end()) {
      fleet.Fleet().Gateway(gateway).Kill();
      fleet.Fleet().Restart(gateway);
    }
  }
  CPPUNIT_ASSERT(WaitUntil([&] {
    return std::all_of(all.begin(), all.end(), [&](std::size_t gateway) {
      return gateway == members.back() ||
             fleet.Gossip(gateway).value("stream_records", 0U) == kStreams;
    });
  }));
  fleet.Fleet().Gateway(begun_at).Kill();
  fleet.AssertTheyGoOn(members.back());
}

/** Times in which streams that nobody knows are refused. */
struct RefusalTimes {
  milliseconds first{};
  milliseconds least = milliseconds::max();
};

RefusalTimes TimesOfUnknown(VersionFleet& fleet, std::size_t gateway) {
  RefusalTimes times;
  for (std::size_t i = 0; i < kStreams; ++i) {
    const auto start = Clock::now();
    const RawAnswer answer =
        fleet.TakeUp(gateway, "nobody-" + std::to_string(i));
    const auto time =
        std::chrono::duration_cast<milliseconds>(Clock::now() - start);
    if (i == 0)
      times.first = time;
    times.least = std::min(times.least, time);
    CPPUNIT_ASSERT_EQUAL(503U, answer.status);
    CPPUNIT_ASSERT_MESSAGE(
        answer.head + answer.body,
        (answer.head + answer.body).find("version_unknown") !=
            std::string::npos);
  }
  for (std::size_t engine = 0; engine < kEngines; ++engine)
    CPPUNIT_ASSERT(fleet.Fleet().Engine(engine).Received().empty());
  return times;
}

void UnknownStreamIsRefusedAtOnce() {
  VersionFleet fleet(4, kTwoDomains);
  const milliseconds time = TimesOfUnknown(fleet, 1).least;
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{kStreams}, fleet.LookupsOf(1, "unknown"));
  CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()), time < kLookupLimit / 3);
}

/** The silent gateway is asked at first; later, it counts as dead. */
void UnknownStreamIsRefusedInTime() {
  VersionFleet fleet(4, kTwoDomains);
  fleet.Fleet().Gateway(3).Signal(SIGSTOP);
  const RefusalTimes times = TimesOfUnknown(fleet, 1);
  fleet.Fleet().Gateway(3).Signal(SIGCONT);
  CPPUNIT_ASSERT(fleet.LookupsOf(1, "silent") > 0);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(times.first.count()),
                         times.first < kCallerPatience);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(times.least.count()),
                         times.least <= kLookupLimit);
}

/** Another gateway knows the stream; one that is silent is not awaited. */
void SilentGatewayHoldsNothingUp() {
  VersionFleet fleet(4, kTwoDomains);
  fleet.Begin(0);
  fleet.CloseCallers();
  fleet.Fleet().Gateway(3).Signal(SIGSTOP);
  fleet.AssertTheyGoOn(1);
  fleet.Fleet().Gateway(3).Signal(SIGCONT);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.LookupsOf(1, "silent"));
}

const Story kStory("stream_origin_fleet", [] {
  return Section(
      "given streams that two software versions begin at a gateway",
      {Section("when their connections break",
               {Then("each goes on at another gateway of the failure domain",
                     [] { BrokenConnection(2); }),
                Then("each goes on in another failure domain",
                     [] { BrokenConnection(1); }),
                Then("a silent gateway holds nothing up",
                     SilentGatewayHoldsNothingUp)}),
       Section(
           "when the gateway is killed after their first events",
           {Then("they go on at another gateway of the failure domain",
                 [] { KilledGateway(2); }),
            Then("they go on in another failure domain",
                 [] { KilledGateway(1); }),
            Then("hundreds that are taken up at once go on", ManyGoOnAtOnce),
            Then("they go on if it was the only one of its domain",
                 OnlyGatewayOfItsDomainIsKilled),
            Then("they go on though the leader is killed as well",
                 [] { KilledWithHubs(1); }),
            Then("they go on though both hubs are killed as well",
                 [] { KilledWithHubs(2); }),
            Then("they go on after the hubs have been replaced",
                 NewHubsAreTold)}),
       Section("when nobody knows a stream",
               {Then("it is refused at once, as all say so",
                     UnknownStreamIsRefusedAtOnce),
                Then("it is refused in time though a gateway is silent",
                     UnknownStreamIsRefusedInTime)})});
});

}  // namespace

}  // namespace buckthornpath
