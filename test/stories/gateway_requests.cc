/** @file gateway_requests.cc Validation and forwarding of requests. */

#include <cppunit/TestAssert.h>

#include <list>

#include "harness/byte_connection.h"
#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

constexpr const char* kReservedFields =
    "Buckthornpath-Tenant: someone\r\n"
    "Buckthornpath-Expect-Instance: other\r\n"
    "Buckthornpath-Request-Urgency: 0\r\n"
    "Buckthornpath-Hold: h\r\nBuckthornpath-Pin-Ms: 9\r\n"
    "Buckthornpath-Kv-Backup: 1.2.3.4:5\r\nKv-From: 1.2.3.4:5/x\r\n"
    "Buckthornpath-Expect-Version: 7\r\n"
    "Buckthornpath-Deadline-Ms: 1500\r\nX-Mine: kept\r\n"
    "Keep-Alive: timeout=9\r\n";

unsigned StatusFor(GatewayFleet& fleet, const CallerText& text) {
  return fleet.Call(0, TextOf(text)).status;
}

void ReservedFieldsAreReplaced() {
  GatewayFleet fleet({});
  CallerText text;
  text.path = "/lookup/a/%2fb?x=1";
  text.more_fields = kReservedFields;
  CPPUNIT_ASSERT_EQUAL(200U, StatusFor(fleet, text));
  const auto received = fleet.Ledger(0).Received();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
  const auto& message = received.front();
  const auto field = [&](const char* name) {
    return std::string(message[name]);
  };
  CPPUNIT_ASSERT_EQUAL(std::string("/lookup/a/%2fb?x=1"),
                       std::string(message.target()));
  CPPUNIT_ASSERT_EQUAL(std::string("body"), message.body());
  CPPUNIT_ASSERT_EQUAL(std::string("parish"), field("Buckthornpath-Tenant"));
  CPPUNIT_ASSERT_EQUAL(std::string("ledger-0"),
                       field("Buckthornpath-Expect-Instance"));
  CPPUNIT_ASSERT_EQUAL(std::string("kept"), field("X-Mine"));
  for (const char* name :
       {"X-Api-Key", "Buckthornpath-Hold", "Buckthornpath-Pin-Ms",
        "Buckthornpath-Kv-Backup", "Kv-From", "Buckthornpath-Expect-Version",
        "Keep-Alive"}) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, message.count(name));
  }
  const int remaining_ms = std::stoi(field("Buckthornpath-Deadline-Ms"));
  CPPUNIT_ASSERT(remaining_ms > 0 && remaining_ms <= 1500);
}

void DeadlineDefaultsToTheRoute() {
  GatewayFleet fleet({});
  CPPUNIT_ASSERT_EQUAL(200U, StatusFor(fleet, {}));
  const auto received = fleet.Ledger(0).Received();
  const int remaining_ms =
      std::stoi(std::string(received.at(0)["Buckthornpath-Deadline-Ms"]));
  CPPUNIT_ASSERT(remaining_ms > 0 && remaining_ms <= 4000);
}

void UnknownKeysAndRoutesAreRefused() {
  GatewayFleet fleet({});
  CallerText text;
  text.key = "no-such-key";
  CPPUNIT_ASSERT_EQUAL(401U, StatusFor(fleet, text));
  text.key = "";
  CPPUNIT_ASSERT_EQUAL(401U, StatusFor(fleet, text));
  text.key = kParishKey;
  text.path = "/nowhere/x";
  CPPUNIT_ASSERT_EQUAL(404U, StatusFor(fleet, text));
  text.path = "/lookupx";
  CPPUNIT_ASSERT_EQUAL(404U, StatusFor(fleet, text));
  CPPUNIT_ASSERT(fleet.Ledger(0).Received().empty());
}

void AmbiguousFramingIsRefused() {
  GatewayFleet fleet({});
  CallerText text;
  for (const char* more :
       {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Buckthornpath-Request-Id: second\r\n", "X-Api-Key: hospital-key\r\n",
        "Host: other.example\r\n", "X-Odd : a\r\n"}) {
    text.more_fields = more;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(more, 400U, StatusFor(fleet, text));
  }
  CPPUNIT_ASSERT(fleet.Ledger(0).Received().empty());
}

void OversizedRequestsAreRefused() {
  GatewayFleet fleet({});
  CallerText text;
  text.body = std::string(70000, 'b');
  CPPUNIT_ASSERT_EQUAL(413U, StatusFor(fleet, text));
  text.body = "body";
  text.more_fields = "X-Long: " + std::string(20000, 'h') + "\r\n";
  CPPUNIT_ASSERT_EQUAL(431U, StatusFor(fleet, text));
  CPPUNIT_ASSERT(fleet.Ledger(0).Received().empty());
}

void ChunkedBodiesArriveComplete() {
  GatewayFleet fleet({});
  const RawAnswer answer = fleet.Call(
      0,
      "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: parish-key\r\n"
      "Buckthornpath-Request-Id: c\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("abcde"),
                       fleet.Ledger(0).Received().at(0).body());
}

void MissingConfigurationGives503() {
  GatewayPlan plan;
  plan.publishes_configuration = false;
  GatewayFleet fleet(plan);
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return !LocalFleet::StatusOf(fleet.Operator(0)).is_null(); }));
  CPPUNIT_ASSERT(!fleet.IsReady(0));
  CallerText text;
  text.key = "no-such-key";
  text.path = "/nowhere/x";
  CPPUNIT_ASSERT_EQUAL(503U, StatusFor(fleet, text));
}

/** Callers send part of a large body and then stall. */
void IncompleteRequestsUseLittleMemory() {
  constexpr int kConnections = 2000;
  constexpr std::size_t kSentBytes = 8000;
  // What the smallest VM of the platform's large installations allows.
  constexpr std::uint64_t kMaxMemoryBytes = std::uint64_t{160} * 1024 * 1024;
  GatewayFleet fleet({});
  CallerText text;
  text.body = std::string(60000, 'x');
  const std::string part = TextOf(text).substr(0, kSentBytes);
  std::list<ByteConnection> connections;
  for (int i = 0; i < kConnections; ++i)
    connections.emplace_back(fleet.Caller(0)).Send(part);
  CPPUNIT_ASSERT(WaitUntil([&] {
    const auto status = LocalFleet::StatusOf(fleet.Operator(0));
    return status.is_object() && status.value("connections", 0) == kConnections;
  }));
  CallerText next;
  next.id = "next";
  CPPUNIT_ASSERT_EQUAL(200U, StatusFor(fleet, next));
  CPPUNIT_ASSERT(fleet.Gateway(0).ResidentBytes() < kMaxMemoryBytes);
}

const Story kStory("gateway_requests", [] {
  return Section(
      "given a gateway in front of endpoints",
      {Section("when a caller sends header fields reserved for the gateway",
               {Then("the endpoint sees only the gateway's values",
                     ReservedFieldsAreReplaced),
                Then("the forwarded deadline is at most the route's",
                     DeadlineDefaultsToTheRoute)}),
       Section("when a request is not allowed or ambiguous",
               {Then("unknown keys and routes are refused, none forwarded",
                     UnknownKeysAndRoutesAreRefused),
                Then("ambiguous body lengths or duplicate fields are refused",
                     AmbiguousFramingIsRefused),
                Then("headers and bodies above the limits are refused",
                     OversizedRequestsAreRefused)}),
       Section("when a body comes in chunks",
               {Then("it arrives complete", ChunkedBodiesArriveComplete)}),
       Section("when thousands of callers send incomplete requests",
               {Then("it keeps serving within its memory limit",
                     IncompleteRequestsUseLittleMemory)}),
       Section("when it has no configuration",
               {Then("it is not ready and reports requests as not executed",
                     MissingConfigurationGives503)})});
});

}  // namespace

}  // namespace buckthornpath
