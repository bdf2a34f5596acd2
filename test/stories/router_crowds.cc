/** @file router_crowds.cc Crowds at a router and at ports without bodies. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/hostile_crowd.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Memory of the VM in MB; the process may use four fifths at its peak. */
constexpr std::uint64_t kVmMegabytes = 192;
constexpr std::uint64_t kMemoryBound = kVmMegabytes * 1000 * 1000 / 5 * 4;

/** The largest body that a router accepts. */
constexpr std::size_t kMaxBody = std::size_t{4} * 1024 * 1024;

/** Callers of a crowd with large bodies: 240 MiB if all is kept. */
constexpr std::size_t kCrowd = 60;
/** Callers that connect and send hardly anything. */
constexpr std::size_t kConnectors = 800;
/** Limit of a router's callers. */
constexpr std::size_t kMaxConnections = 100;
/** Connections that a port for operators or peers needs: each of 300 gateways
 * may ask at once. */
constexpr std::size_t kMaxPortConnections = 400;
/** Descriptors beside those of callers: listeners, store, endpoints, peers. */
constexpr std::size_t kOwnDescriptors = 64;

/** A crowd that isn't read on can't settle; the test then goes on. */
constexpr milliseconds kSettleTime{8000};

const std::string kPage(std::size_t{64} * 1024, 'x');

std::string HostileHead(const std::string& framing) {
  return "POST /v1/services/ledger/issue HTTP/1.1\r\nHost: h.example\r\n"
         "Authorization: Bearer " +
         std::string(kParishCredential) + "\r\nX-Profile: receipt\r\n" +
         framing + "\r\n";
}

std::string Announced() {
  return HostileHead("Content-Length: " + std::to_string(kMaxBody) + "\r\n");
}

HostileScript WholeBodies() {
  return {Announced(), kPage, kMaxBody / kPage.size(), ""};
}

HostileScript ShortOfTheEnd() {
  return {Announced(), kPage, kMaxBody / kPage.size() - 1, kPage.substr(1)};
}

HostileScript LargeChunks() {
  return {HostileHead("Transfer-Encoding: chunked\r\n"),
          "10000\r\n" + kPage + "\r\n", kMaxBody / kPage.size(), "0\r\n"};
}

/** A port of a process and a request that must be answered there. */
struct CrowdedPort {
  ChildProcess& process;
  SocketAddress address;
  HttpRequest ordinary;
  std::size_t max_connections = 0;
};

void CheckOrdinaryRequest(const CrowdedPort& port, const std::string& when) {
  std::string seen;
  try {
    seen = std::to_string(CallHttp(port.address, port.ordinary).status);
  } catch (const HttpError& error) {
    seen = error.what();
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE("an ordinary request " + when + " the crowd",
                               std::string("200"), seen);
}

void CheckProcess(const CrowdedPort& port) {
  CPPUNIT_ASSERT_MESSAGE("the process lives", port.process.IsRunning());
  const std::uint64_t peak = port.process.PeakResidentBytes();
  CPPUNIT_ASSERT_MESSAGE(
      "peak resident memory in bytes: " + std::to_string(peak) + ", bound " +
          std::to_string(kMemoryBound),
      peak > 0 && peak < kMemoryBound);
}

/** Runs a crowd to its end and checks what must hold. */
void CheckCrowd(const CrowdedPort& port,
                std::size_t count,
                const HostileScript& script) {
  CheckOrdinaryRequest(port, "before");
  {
    HostileCrowd crowd(port.address);
    crowd.Add(count, script);
    std::size_t most_descriptors = 0;
    WaitUntil(
        [&] {
          most_descriptors =
              std::max(most_descriptors, port.process.OpenDescriptors());
          return crowd.IsSettled();
        },
        kSettleTime);
    CheckProcess(port);
    CPPUNIT_ASSERT_MESSAGE(
        "descriptors: " + std::to_string(most_descriptors),
        most_descriptors <= port.max_connections + kOwnDescriptors);
    CheckOrdinaryRequest(port, "beside");
  }
  CheckOrdinaryRequest(port, "after");
  CheckProcess(port);
}

void CrowdAtRouter(std::size_t count, const HostileScript& script) {
  FleetPlan plan;
  plan.endpoints = {{"ledger-1", "ledger", false}};
  plan.settings = {{"memory_limit", kVmMegabytes},
                   {"max_connections", kMaxConnections}};
  LocalFleet fleet(plan);
  CheckCrowd({fleet.RouterProcess(0), fleet.Router(0),
              ServiceRequest(kParishCredential, "receipt",
                             "/v1/services/ledger/issue", "{\"for\":7}"),
              kMaxConnections},
             count, script);
}

HttpRequest Get(const std::string& target) {
  HttpRequest request;
  request.target = target;
  return request;
}

GatewayPlan GatewayOnSmallVm() {
  GatewayPlan plan;
  plan.settings = {{"memory_limit", kVmMegabytes}};
  return plan;
}

void CrowdAtOperatorPort(std::size_t count, const HostileScript& script) {
  GatewayFleet fleet(GatewayOnSmallVm());
  CheckCrowd({fleet.Gateway(0), fleet.Operator(0), Get("/status"),
              kMaxPortConnections},
             count, script);
}

void CrowdAtPeerPort(std::size_t count, const HostileScript& script) {
  GatewayFleet fleet(GatewayOnSmallVm());
  CheckCrowd({fleet.Gateway(0), fleet.Peer(0), Get("/fleet/published"),
              kMaxPortConnections},
             count, script);
}

using CrowdAt = void (*)(std::size_t, const HostileScript&);

/** The same crowds at each port; names are apart for the list of failures. */
CppUnit::Test* CrowdsAt(const std::string& port, CrowdAt run) {
  const auto then = [&](const std::string& name, std::size_t count,
                        const HostileScript& script) {
    return Then(port + ": " + name, [=] { run(count, script); });
  };
  return Section(
      "when a crowd comes to " + port + ", it stays bounded and serves others",
      {then("whole bodies of legal size", kCrowd, WholeBodies()),
       then("bodies that stop short of their end", kCrowd, ShortOfTheEnd()),
       then("large chunks that stop short of their end", kCrowd, LargeChunks()),
       then("connections without a word", kConnectors, {}),
       then("connections with the start of a body", kConnectors,
            {Announced() + "x", "", 0, ""})});
}

const Story kStory("router_crowds", [] {
  return Section("given processes on a VM of 192 MB",
                 {CrowdsAt("a router", CrowdAtRouter),
                  CrowdsAt("an operators' port", CrowdAtOperatorPort),
                  CrowdsAt("a peer port", CrowdAtPeerPort)});
});

}  // namespace

}  // namespace buckthornpath
