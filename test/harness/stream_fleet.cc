/** @file stream_fleet.cc Gateways whose streams are begun by endpoints of two
 * software versions. */

#include "harness/stream_fleet.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kLastEvent = 4;

/** Of an endpoint; gateways share it. */
constexpr std::size_t kMaxConnections = 4 * kManyStreams;

/** Time in which a gateway tells others of a stream. */
constexpr milliseconds kAnnouncementTime{20};

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

}  // namespace

StreamFleet::StreamFleet(std::size_t gateways, std::vector<std::string> domains)
    : gateways(gateways), fleet(PlanOf(gateways, std::move(domains))) {
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    this->fleet.Engine(engine).SetScript(Generate);
    json entry = this->fleet.EntryOf("engine", engine, "ready");
    entry["version"] = "v" + std::to_string(engine + 1);
    this->fleet.Store().Put("servers/engine-" + std::to_string(engine), entry);
  }
  this->PublishConfiguration();
  this->AwaitWitnesses();
}

void StreamFleet::Begin(std::size_t gateway, std::size_t streams) {
  for (std::size_t i = 0; i < streams; ++i) {
    CallerText text;
    text.path = "/talk/x";
    text.id = IdOf(i);
    auto caller = std::make_unique<ByteConnection>(this->fleet.Caller(gateway));
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

void StreamFleet::KillAfterAnnouncement(std::size_t gateway) {
  std::this_thread::sleep_for(kAnnouncementTime);
  this->fleet.Gateway(gateway).Kill();
}

RawAnswer StreamFleet::TakeUp(std::size_t gateway,
                              const std::string& begun_by) const {
  CallerText text;
  text.path = "/talk/x";
  text.id = begun_by + "-again";
  text.more_fields = "Last-Event-Id: 1\r\nResumes: " + begun_by + "\r\n";
  return this->fleet.Call(gateway, TextOf(text));
}

void StreamFleet::AssertTheyGoOn(std::size_t gateway) {
  for (std::size_t i = 0; i < kStreams; ++i)
    this->AssertItWentOn(i, this->TakeUp(gateway, IdOf(i)));
}

void StreamFleet::AssertItWentOn(std::size_t i, const RawAnswer& answer) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.head + answer.body, 200U, answer.status);
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

json StreamFleet::Gossip(std::size_t gateway) const {
  const json status = LocalFleet::StatusOf(this->fleet.Operator(gateway));
  return status.is_object() ? status.value("gossip", json::object())
                            : json::object();
}

std::vector<std::size_t> StreamFleet::WithRole(
    const std::string& role,
    const std::vector<std::size_t>& among) const {
  std::vector<std::size_t> found;
  std::copy_if(among.begin(), among.end(), std::back_inserter(found),
               [&](std::size_t gateway) {
                 return this->Gossip(gateway).value("role", "") == role;
               });
  return found;
}

void StreamFleet::AwaitWitnesses() const {
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

std::uint64_t StreamFleet::LookupsOf(std::size_t gateway,
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

void StreamFleet::PublishConfiguration() {
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

GatewayPlan StreamFleet::PlanOf(std::size_t gateways,
                                std::vector<std::string> domains) {
  GatewayPlan plan;
  plan.gateways = gateways;
  plan.failure_domains = std::move(domains);
  plan.engines = kEngines;
  plan.slots = kManyStreams;
  return plan;
}

void StreamFleet::AwaitRecords(std::size_t gateway) const {
  CPPUNIT_ASSERT_MESSAGE(
      "gateway " + std::to_string(gateway) + " is not told of all streams",
      WaitUntil([&] {
        return this->Gossip(gateway).value("stream_records", 0U) >= kStreams;
      }));
}

}  // namespace buckthornpath
