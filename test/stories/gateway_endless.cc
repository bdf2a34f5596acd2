/** @file gateway_endless.cc Endpoints that send without end or hardly at all.
 */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/write.hpp>
#include <list>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Requests at once, and the memory of the smallest VM. */
constexpr std::size_t kCallers = 200;
constexpr std::uint64_t kMemoryLimit = std::uint64_t{160} * 1024 * 1024;

/** Timeout of the routes, and the margin of the gateway and of this test. */
constexpr milliseconds kRouteTimeout{4000};
constexpr milliseconds kMargin{1500};

const std::string kJunk(std::size_t{16} * 1024, 'x');

/** Sends until the gateway closes the connection. It may have sent another
 * request before, which is never read, so that only writing tells. */
void SendForever(ScriptedCall& call, const std::string& bytes) {
  while (call.Send(bytes)) {
  }
}

std::string Head(const ScriptedCall& call, const std::string& more_fields) {
  return "HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + call.Id() +
         "\r\nBuckthornpath-Response-Seal: seal\r\n" + more_fields + "\r\n";
}

EndpointScript Endless(const std::string& fields, const std::string& prefix) {
  return [fields, prefix](ScriptedCall& call) {
    call.Send(Head(call, fields) + prefix);
    SendForever(call, kJunk);
  };
}

void HeadWithoutEnd(ScriptedCall& call) {
  call.Send("HTTP/1.1 200 OK\r\nX: ");
  SendForever(call, kJunk);
}

void HeaderLinesWithoutEnd(ScriptedCall& call) {
  call.Send("HTTP/1.1 200 OK\r\n");
  SendForever(call, "X-Filler: " + std::string(500, 'y') + "\r\n");
}

void InterimResponsesWithoutEnd(ScriptedCall& call) {
  SendForever(call, "HTTP/1.1 100 Continue\r\n\r\n");
}

GatewayPlan ManySlots() {
  GatewayPlan plan;
  plan.slots = 2 * kCallers;
  plan.max_connections = 10 * kCallers;
  return plan;
}

/** What the callers of one run have seen. */
struct Seen {
  std::size_t successes = 0;
  std::size_t server_errors = 0;  ///< 502 or 504.
  std::size_t cut_off = 0;        ///< No complete response.
  milliseconds slowest{};
};

bool IsCompleteSuccess(const RawAnswer& answer) {
  if (answer.status != 200)
    return false;
  return answer.head.find("chunked") == std::string::npos ||
         answer.body.ends_with("0\r\n\r\n");
}

/** Sends kCallers requests at once. */
Seen CallAtOnce(GatewayFleet& fleet, const std::string& path) {
  std::vector<RawAnswer> answers(kCallers);
  std::vector<milliseconds> times(kCallers);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      CallerText text;
      text.path = path;
      text.id = "endless-" + std::to_string(i);
      if (path != "/lookup/x" && path != "/issue/x")
        text.more_fields = "Buckthornpath-Prompt-Prefix: 1:10,2:5\r\n";
      const auto started_at = Clock::now();
      answers[i] = fleet.Call(0, TextOf(text));
      times[i] =
          std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  Seen seen;
  for (const RawAnswer& answer : answers) {
    if (IsCompleteSuccess(answer))
      ++seen.successes;
    else if (answer.status == 502 || answer.status == 504)
      ++seen.server_errors;
    else
      ++seen.cut_off;
  }
  seen.slowest = *std::max_element(times.begin(), times.end());
  return seen;
}

void CheckBounded(GatewayFleet& fleet, const Seen& seen) {
  CPPUNIT_ASSERT(fleet.Gateway(0).IsRunning());
  CPPUNIT_ASSERT(fleet.Gateway(0).PeakResidentBytes() < kMemoryLimit);
  CPPUNIT_ASSERT(seen.slowest <= kRouteTimeout + kMargin);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, seen.successes);
}

/** A plain service sends bytes that are no response, until it is closed. */
std::function<void()> PlainServiceSends(const EndpointScript& script) {
  return [script] {
    GatewayFleet fleet(ManySlots());
    fleet.Ledger(0).SetScript(script);
    const Seen seen = CallAtOnce(fleet, "/issue/x");
    CheckBounded(fleet, seen);
    CPPUNIT_ASSERT_EQUAL(kCallers, seen.server_errors);
    fleet.Ledger(0).SetScript(
        [](ScriptedCall& call) { call.Answer(200, "served"); });
    CPPUNIT_ASSERT_EQUAL(200U, fleet.Call(0, TextOf({})).status);
  };
}

std::function<void()> EngineSends(const std::string& path,
                                  const EndpointScript& script) {
  return [path, script] {
    GatewayFleet fleet(ManySlots());
    fleet.Engine(0).SetScript(script);
    CheckBounded(fleet, CallAtOnce(fleet, path));
  };
}

/** The first response is whole; the bytes after it belong to no request. */
void BytesAfterAResponseReachNobody() {
  GatewayFleet fleet(ManySlots());
  fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    call.Answer(200, "whole");
    SendForever(call, kJunk);
  });
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 10; ++i) {
      CallerText text;
      text.id = "r" + std::to_string(round) + "-" + std::to_string(i);
      const RawAnswer answer = fleet.Call(0, TextOf(text));
      if (answer.status == 200)
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.body);
    }
    std::this_thread::sleep_for(milliseconds(200));
    CPPUNIT_ASSERT(fleet.Gateway(0).PeakResidentBytes() < kMemoryLimit);
  }
}

/** Sends bytes on each connection before any request was read. */
class EarlySender {
 public:
  explicit EarlySender(const SocketAddress& address)
      : acceptor(this->io, address),
        thread([this] { this->AcceptConnections(); }) {}

  ~EarlySender() {
    this->is_stopping = true;
    shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
    for (auto& [socket, sender] : this->senders) {
      shutdown(socket.native_handle(), SHUT_RDWR);
      sender.join();
    }
  }
  EarlySender(const EarlySender&) = delete;
  EarlySender& operator=(const EarlySender&) = delete;

 private:
  struct Sender {
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void AcceptConnections() {
    while (!this->is_stopping) {
      boost::system::error_code error;
      auto socket = this->acceptor.accept(error);
      if (error)
        continue;
      Sender& sender =
          this->senders.emplace_back(Sender{std::move(socket), std::thread()});
      sender.thread = std::thread([&sender] {
        boost::system::error_code failed;
        while (!failed)
          boost::asio::write(sender.socket, boost::asio::buffer(kJunk), failed);
      });
    }
  }

  boost::asio::io_context io;
  std::atomic<bool> is_stopping = false;
  std::list<Sender> senders;
  boost::asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};

void BytesBeforeTheRequestIsRead() {
  GatewayPlan plan = ManySlots();
  plan.ledgers = 0;
  GatewayFleet fleet(plan);
  const std::string address = fleet.Caller(0).address().to_string() + ":7198";
  EarlySender sender(ParseSocketAddress(address));
  fleet.Store().Put("servers/ledger-9", nlohmann::json({{"service", "ledger"},
                                                        {"address", address},
                                                        {"zone", "a"},
                                                        {"slots", plan.slots},
                                                        {"state", "ready"}}));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(0)).value("endpoints", 0) == 2;
  }));
  const Seen seen = CallAtOnce(fleet, "/issue/x");
  CheckBounded(fleet, seen);
  CPPUNIT_ASSERT_EQUAL(kCallers, seen.server_errors);
}

RawAnswer CallStream(GatewayFleet& fleet, const std::string& path) {
  CallerText text;
  text.path = path;
  text.id = "stream";
  return fleet.Call(0, TextOf(text));
}

GatewayPlan TwoEngines() {
  GatewayPlan plan;
  plan.engines = 2;
  return plan;
}

/** Events 900 ms apart: more than the time after which a stall is assumed. */
void SendSlowEvents(ScriptedCall& call) {
  const std::string after = call.Field("Last-Event-Id");
  const int first = after.empty() ? 1 : std::stoi(after) + 1;
  call.BeginEvents();
  for (int id = first; id <= 4; ++id) {
    call.Event(id);
    std::this_thread::sleep_for(milliseconds(900));
  }
  call.EndEvents();
}

/** Both endpoints are slow; there is no third attempt. */
void SlowStreamIsNotCut() {
  GatewayFleet fleet(TwoEngines());
  for (std::size_t i = 0; i < 2; ++i)
    fleet.Engine(i).SetScript(SendSlowEvents);
  const RawAnswer answer = CallStream(fleet, "/talk/x");
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_MESSAGE("the stream is complete",
                         answer.body.ends_with("0\r\n\r\n"));
  for (int id = 1; id <= 4; ++id) {
    const std::string line = "id: " + std::to_string(id) + "\n";
    const std::size_t at = answer.body.find(line);
    CPPUNIT_ASSERT(at != std::string::npos);
    CPPUNIT_ASSERT(answer.body.find(line, at + 1) == std::string::npos);
  }
}

/** A script that sends one event, then the bytes now and then, for ever. */
EndpointScript NowAndThen(const std::string& bytes) {
  return [bytes](ScriptedCall& call) {
    call.BeginEvents();
    if (call.Field("Last-Event-Id").empty())
      call.Event(1);
    while (!call.WaitForClose(milliseconds(100)))
      call.Send("1\r\n" + bytes + "\r\n");
  };
}

/** The first endpoint stalls, the other one completes the stream. */
std::function<void()> StalledStreamMovesOn(const std::string& bytes) {
  return [bytes] {
    GatewayFleet fleet(TwoEngines());
    std::atomic<int> calls = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      fleet.Engine(i).SetScript([&calls, bytes](ScriptedCall& call) {
        if (calls++ == 0) {
          NowAndThen(bytes)(call);
          return;
        }
        call.BeginEvents();
        call.Event(2);
        call.EndEvents();
      });
    }
    const auto started_at = Clock::now();
    const RawAnswer answer = CallStream(fleet, "/talk/x");
    CPPUNIT_ASSERT(answer.body.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(answer.body.find("id: 2\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE("before the route's timeout",
                           Clock::now() - started_at < kRouteTimeout);
  };
}

void StalledStreamEndsInItsTime() {
  GatewayFleet fleet(TwoEngines());
  for (std::size_t i = 0; i < 2; ++i)
    fleet.Engine(i).SetScript(NowAndThen(":"));
  const auto started_at = Clock::now();
  const RawAnswer answer = CallStream(fleet, "/draft/x");
  CPPUNIT_ASSERT(!answer.body.ends_with("0\r\n\r\n"));
  CPPUNIT_ASSERT(Clock::now() - started_at <= kRouteTimeout + kMargin);
}

const Story kStory("gateway_endless", [] {
  return Section(
      "given 200 callers before an endpoint that never stops sending",
      {Section("when a plain service sends",
               {Then("a head without end", PlainServiceSends(HeadWithoutEnd)),
                Then("header lines without end",
                     PlainServiceSends(HeaderLinesWithoutEnd)),
                Then("interim responses without end",
                     PlainServiceSends(InterimResponsesWithoutEnd)),
                Then("a body without length or end",
                     PlainServiceSends(Endless("Connection: close\r\n", ""))),
                Then("a body with an absurd length",
                     PlainServiceSends(
                         Endless("Content-Length: 900000000000000\r\n", ""))),
                Then("a chunk without end",
                     PlainServiceSends(Endless("Transfer-Encoding: chunked\r\n",
                                               "fffffffffff\r\n"))),
                Then("the size of a chunk without end",
                     PlainServiceSends(
                         Endless("Transfer-Encoding: chunked\r\n", "1;"))),
                Then("a trailer without end",
                     PlainServiceSends(Endless("Transfer-Encoding: chunked\r\n",
                                               "0\r\nX: "))),
                Then("bytes before it has read the request",
                     BytesBeforeTheRequestIsRead),
                Then("bytes after a whole response, which reach nobody",
                     BytesAfterAResponseReachNobody)}),
       Section("when an engine sends",
               {Then("an event without end on a resumable stream",
                     EngineSends("/talk/x",
                                 Endless("Content-Type: text/event-stream\r\n",
                                         "data: "))),
                Then("an event without end on another stream",
                     EngineSends("/draft/x",
                                 Endless("Content-Type: text/event-stream\r\n",
                                         "data: ")))}),
       Section(
           "when an engine sends slowly",
           {Then("a slow stream is not cut", SlowStreamIsNotCut),
            Then("a stream of comments moves on", StalledStreamMovesOn(":")),
            Then("a stream of single bytes moves on",
                 StalledStreamMovesOn("d")),
            Then("one that cannot be resumed ends in its time",
                 StalledStreamEndsInItsTime)})});
});

}  // namespace

}  // namespace buckthornpath
