/** @file gateway_answers.cc Complete, invalid, late and missing responses. */

#include <cppunit/TestAssert.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Timeout for closing an endpoint connection after its caller left. */
constexpr milliseconds kDisconnectTimeout{500};

/** Events of a stream that outlasts the detection of a dead gateway. */
constexpr int kEventsInAll = 40;

RawAnswer CallPath(GatewayFleet& fleet, const std::string& path) {
  CallerText text;
  text.path = path;
  return fleet.Call(0, TextOf(text));
}

/** @return A script that sends a complete stream of these events. */
EndpointScript EventStreamScript(int first, int last) {
  return [first, last](ScriptedCall& call) {
    call.BeginEvents();
    for (int id = first; id <= last; ++id)
      call.Event(id);
    call.EndEvents();
  };
}

void SetEngineScripts(GatewayFleet& fleet, const EndpointScript& script) {
  fleet.Engine(0).SetScript(script);
  fleet.Engine(1).SetScript(script);
}

GatewayPlan TwoEndpointsPerService() {
  GatewayPlan plan;
  plan.engines = 2;
  plan.ledgers = 2;
  return plan;
}

bool IsComplete(const RawAnswer& answer) {
  return answer.body.ends_with("0\r\n\r\n");
}

std::size_t RequestsReceived(GatewayFleet& fleet) {
  return fleet.Ledger(0).Received().size() + fleet.Ledger(1).Received().size();
}

void SetLedgerScripts(GatewayFleet& fleet, const EndpointScript& script) {
  fleet.Ledger(0).SetScript(script);
  fleet.Ledger(1).SetScript(script);
}

void ResponseInOnePieceIsComplete() {
  GatewayFleet fleet({});
  fleet.Engine(0).SetScript([](ScriptedCall& call) {
    call.Send("HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + call.Id() +
              "\r\nBuckthornpath-Response-Seal: s\r\n"
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n"
              "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
  });
  const RawAnswer answer = CallPath(fleet, "/draft/x");
  CPPUNIT_ASSERT(answer.body.find("id: 1\ndata: a\n\n") != std::string::npos);
  CPPUNIT_ASSERT(IsComplete(answer));
}

void ResponseWithoutSealFails() {
  GatewayFleet fleet(TwoEndpointsPerService());
  SetLedgerScripts(fleet, [](ScriptedCall& call) {
    call.Send("HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + call.Id() +
              "\r\nContent-Length: 2\r\n\r\nno");
  });
  CPPUNIT_ASSERT_EQUAL(502U, CallPath(fleet, "/issue/x").status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RequestsReceived(fleet));
}

void NonRepeatableIsSentOnce() {
  for (const bool reset : {false, true}) {
    GatewayFleet fleet(TwoEndpointsPerService());
    SetLedgerScripts(fleet, [reset](ScriptedCall& call) { call.Close(reset); });
    CPPUNIT_ASSERT_EQUAL(502U, CallPath(fleet, "/issue/x").status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RequestsReceived(fleet));
  }
}

void NotExecutedIsReportedToCaller() {
  GatewayPlan plan;
  GatewayFleet fleet(plan);
  fleet.Ledger(0).SetScript([](ScriptedCall& call) {
    call.Send(
        "HTTP/1.1 503 X\r\nBuckthornpath-Not-Executed: 1\r\n"
        "Buckthornpath-Request-Id: " +
        call.Id() + "\r\nContent-Length: 0\r\n\r\n");
  });
  const RawAnswer answer = CallPath(fleet, "/issue/x");
  CPPUNIT_ASSERT_EQUAL(503U, answer.status);
  CPPUNIT_ASSERT(answer.head.find("Retry-After: ") != std::string::npos);
}

void RepeatableIsRetriedElsewhere() {
  GatewayFleet fleet(TwoEndpointsPerService());
  std::atomic<int> calls = 0;
  SetLedgerScripts(fleet, [&calls](ScriptedCall& call) {
    if (++calls == 1) {
      call.Close(true);
    } else {
      call.Answer(200, "second");
    }
  });
  const RawAnswer answer = CallPath(fleet, "/lookup/x");
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("second"), answer.body);
}

void TruncatedBodyFails() {
  GatewayFleet fleet(TwoEndpointsPerService());
  SetLedgerScripts(fleet, [](ScriptedCall& call) {
    call.Send("HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + call.Id() +
              "\r\nBuckthornpath-Response-Seal: s\r\n"
              "Content-Length: 10\r\n\r\nshort");
    call.Close(false);
  });
  CPPUNIT_ASSERT_EQUAL(502U, CallPath(fleet, "/issue/x").status);
}

/** Guards against a head that breaks off being relayed as a whole response. */
void TruncatedHeadFails() {
  GatewayFleet fleet(TwoEndpointsPerService());
  std::atomic<std::size_t> kept = 0;
  std::atomic<std::size_t> head_size = 0;
  std::atomic<bool> reset = false;
  SetLedgerScripts(fleet, [&](ScriptedCall& call) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + call.Id() +
        "\r\nBuckthornpath-Response-Seal: s\r\nContent-Length: 5\r\n\r\n";
    head_size = head.size();
    call.Send(head.substr(0, kept));
    call.Close(reset);
  });
  do {
    reset = kept % 2 == 0;
    const RawAnswer answer = CallPath(fleet, "/issue/x");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(kept), 502U, answer.status);
    ++kept;
  } while (kept <= head_size);
}

void BodyMayEndWithConnection() {
  GatewayFleet fleet(TwoEndpointsPerService());
  std::atomic<bool> reset = false;
  SetLedgerScripts(fleet, [&reset](ScriptedCall& call) {
    call.Send("HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + call.Id() +
              "\r\nBuckthornpath-Response-Seal: s\r\n\r\nwhole");
    call.Close(reset);
  });
  const RawAnswer response = CallPath(fleet, "/issue/x");
  CPPUNIT_ASSERT_EQUAL(200U, response.status);
  CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
  reset = true;
  CPPUNIT_ASSERT_EQUAL(502U, CallPath(fleet, "/issue/x").status);
}

void StrayResponsesReachNoCaller() {
  GatewayFleet fleet({});
  std::atomic<int> calls = 0;
  fleet.Ledger(0).SetScript([&calls](ScriptedCall& call) {
    if (++calls == 2) {
      call.Send(
          "HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: stray\r\n"
          "Buckthornpath-Response-Seal: s\r\n"
          "Content-Length: 5\r\n\r\nstray");
    }
    call.Answer(200, "own " + call.Id());
    if (calls == 3) {
      call.Send(
          "HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: x\r\n"
          "Buckthornpath-Response-Seal: s\r\n"
          "Content-Length: 4\r\n\r\nmore");
    }
  });
  for (int i = 1; i <= 5; ++i) {
    CallerText text;
    text.id = "r" + std::to_string(i);
    const RawAnswer answer = fleet.Call(0, TextOf(text));
    CPPUNIT_ASSERT_EQUAL(std::string("own ") + text.id, answer.body);
  }
}

void RepeatedRefusalBelongsToNoOtherRequest() {
  GatewayFleet fleet({});
  std::atomic<int> calls = 0;
  fleet.Ledger(0).SetScript([&calls](ScriptedCall& call) {
    static std::string refusal;
    if (++calls % 2 == 1) {
      refusal =
          "HTTP/1.1 503 X\r\nBuckthornpath-Not-Executed: 1\r\n"
          "Buckthornpath-Request-Id: " +
          call.Id() + "\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n";
      call.Send(refusal);
      return;
    }
    // The refusal once more while this request runs, and once before the next.
    call.Send(refusal);
    call.Answer(200, "own " + call.Id());
    call.Send(refusal);
  });
  for (const char* path : {"/issue/x", "/lookup/x"}) {
    for (int i = 1; i <= 6; ++i) {
      CallerText text;
      text.path = path;
      text.id = std::string(path + 1, 5) + std::to_string(i);
      // Refusals of a service without prompts lower its admission.
      text.more_fields = "Buckthornpath-Prompt-Prefix: a1:9,b2:9\r\n";
      const RawAnswer answer = fleet.Call(0, TextOf(text));
      CPPUNIT_ASSERT_EQUAL(i % 2 == 1 ? 503U : 200U, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.Ledger(0).CountOf(text.id));
    }
  }
}

void BrokenStreamDoesNotLookComplete() {
  GatewayFleet fleet(TwoEndpointsPerService());
  SetEngineScripts(fleet, [](ScriptedCall& call) {
    call.BeginEvents();
    call.Event(1);
    call.Close(true);
  });
  const RawAnswer answer = CallPath(fleet, "/draft/x");
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT(!IsComplete(answer));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.Engine(0).Received().size() +
                                           fleet.Engine(1).Received().size());
}

/** @return A script that sends the first event and a part of the second as a
 * stream without length, and then closes the connection in order. */
EndpointScript EndsWithinSecondEvent() {
  return [](ScriptedCall& call) {
    call.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Buckthornpath-Request-Id: " +
        call.Id() +
        "\r\nBuckthornpath-Response-Seal: s\r\n\r\n"
        "id: 1\ndata: d1\n\nid: 2\nda");
    call.Close(false);
  };
}

void StreamThatEndsWithinAnEventIsIncomplete() {
  GatewayFleet fleet(TwoEndpointsPerService());
  SetEngineScripts(fleet, EndsWithinSecondEvent());
  const RawAnswer answer = CallPath(fleet, "/draft/x");
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT(!IsComplete(answer));
}

void StreamThatEndsWithinAnEventIsResumed() {
  GatewayFleet fleet(TwoEndpointsPerService());
  std::atomic<int> calls = 0;
  std::string resumed_after;
  SetEngineScripts(fleet, [&](ScriptedCall& call) {
    if (++calls == 1) {
      EndsWithinSecondEvent()(call);
      return;
    }
    resumed_after = call.Field("Last-Event-Id");
    EventStreamScript(2, 3)(call);
  });
  const RawAnswer answer = CallPath(fleet, "/talk/x");
  CPPUNIT_ASSERT(IsComplete(answer));
  CPPUNIT_ASSERT_EQUAL(std::string("1"), resumed_after);
}

void ResumableStreamContinuesElsewhere() {
  GatewayFleet fleet(TwoEndpointsPerService());
  std::atomic<int> calls = 0;
  std::string resumed_after;
  SetEngineScripts(fleet, [&](ScriptedCall& call) {
    if (++calls == 1) {
      call.BeginEvents();
      call.Event(1);
      call.Event(2);
      call.Send("8\r\nid: 3\nda");
      call.Close(true);
      return;
    }
    resumed_after = call.Field("Last-Event-Id");
    EventStreamScript(3, 4)(call);
  });
  const RawAnswer answer = CallPath(fleet, "/talk/x");
  CPPUNIT_ASSERT_EQUAL(std::string("2"), resumed_after);
  CPPUNIT_ASSERT(IsComplete(answer));
  std::size_t from = 0;
  for (int id = 1; id <= 4; ++id) {
    const std::string event = "data: d" + std::to_string(id) + "\n\n";
    const std::size_t position = answer.body.find(event, from);
    CPPUNIT_ASSERT_MESSAGE(answer.body, position != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(answer.body.rfind(event), position);
    from = position;
  }
}

/** A stream breaks; the endpoint that should continue it answers otherwise. */
void ErrorIsNoPartOfAResumedStream() {
  const std::string from_endpoint =
      "Buckthornpath-Response-Seal: seal\r\nContent-Length: 8\r\n";
  const std::vector<std::string> heads = {
      "HTTP/1.1 404 X\r\n" + from_endpoint,
      "HTTP/1.1 400 X\r\n" + from_endpoint,
      "HTTP/1.1 429 X\r\n" + from_endpoint,
      "HTTP/1.1 500 X\r\n" + from_endpoint,
      "HTTP/1.1 503 X\r\nBuckthornpath-Not-Executed: 1\r\n" + from_endpoint,
      "HTTP/1.1 302 X\r\nLocation: /\r\n" + from_endpoint,
      "HTTP/1.1 200 X\r\nContent-Type: text/plain\r\n" + from_endpoint,
      "HTTP/1.1 404 X\r\nContent-Type: text/event-stream\r\n" + from_endpoint};
  for (const std::string& head : heads) {
    GatewayFleet fleet(TwoEndpointsPerService());
    std::atomic<int> calls = 0;
    SetEngineScripts(fleet, [&](ScriptedCall& call) {
      if (++calls == 1) {
        call.BeginEvents();
        call.Event(1);
        call.Close(true);
        return;
      }
      call.Send(head + "Buckthornpath-Request-Id: " + call.Id() +
                "\r\n\r\nno such!");
    });
    const RawAnswer answer = CallPath(fleet, "/talk/x");
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    CPPUNIT_ASSERT_MESSAGE(head + answer.body,
                           answer.body.find("no such!") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(head + answer.body,
                           answer.body.find("HTTP/1.1") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(head + answer.body, !IsComplete(answer));
  }
}

void StalledStreamContinuesElsewhere() {
  GatewayFleet fleet(TwoEndpointsPerService());
  std::atomic<int> calls = 0;
  std::atomic<bool> first_closed = false;
  SetEngineScripts(fleet, [&](ScriptedCall& call) {
    if (++calls == 1) {
      call.BeginEvents();
      call.Event(1);
      first_closed = call.WaitForClose(milliseconds(3000));
      return;
    }
    EventStreamScript(2, 2)(call);
  });
  CPPUNIT_ASSERT(IsComplete(CallPath(fleet, "/talk/x")));
  CPPUNIT_ASSERT(WaitUntil([&] { return first_closed.load(); }));
  const nlohmann::json first = fleet.LogOf(0, "id-1")["attempts"].front();
  CPPUNIT_ASSERT_EQUAL(std::string("stalled"),
                       first.value("end", std::string()));
  CPPUNIT_ASSERT(first.value("silent_ms", 0) >= 700);
}

/** Guards against sound streams that pause being broken off while no other
 * endpoint has room for them. */
void PausedStreamGoesOnWithoutRoomElsewhere() {
  constexpr std::size_t kCallers = 8;
  constexpr milliseconds kPause{1500};
  constexpr int kLastEvent = 6;
  GatewayPlan plan = TwoEndpointsPerService();
  plan.slots = 3;
  GatewayFleet fleet(plan);
  fleet.PublishLongTimeouts();
  const auto generate = [&](ScriptedCall& call, milliseconds pause,
                            milliseconds interval) {
    call.BeginEvents();
    for (int id = 1; id <= kLastEvent; ++id) {
      call.Event(id);
      std::this_thread::sleep_for(id == 1 ? pause : interval);
    }
    call.EndEvents();
  };
  fleet.Engine(0).SetScript(
      [&](ScriptedCall& call) { generate(call, kPause, milliseconds(50)); });
  fleet.Engine(1).SetScript([&](ScriptedCall& call) {
    generate(call, milliseconds(400), milliseconds(400));
  });
  std::vector<std::thread> callers;
  std::array<RawAnswer, kCallers> answers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      CallerText text;
      text.path = "/talk/x";
      text.id = "pause-" + std::to_string(i);
      text.more_fields =
          "Buckthornpath-Prompt-Prefix: a:4,b" + std::to_string(i) + ":5\r\n";
      answers.at(i) = fleet.Call(0, TextOf(text));
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  std::size_t served = 0;
  for (std::size_t i = 0; i < kCallers; ++i) {
    if (answers.at(i).status != 200)
      continue;
    ++served;
    const std::string id = "pause-" + std::to_string(i);
    CPPUNIT_ASSERT_MESSAGE(id, answers.at(i).body.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        id, std::size_t{1},
        fleet.Engine(0).CountOf(id) + fleet.Engine(1).CountOf(id));
  }
  CPPUNIT_ASSERT(served >= plan.slots);
}

/** The number of gateways changes while a stream is open; then it stalls, with
 * no other request in between. */
void StreamStallsAfterGatewayHasLeft() {
  GatewayPlan plan = TwoEndpointsPerService();
  plan.gateways = 2;
  GatewayFleet fleet(plan);
  std::atomic<int> calls = 0;
  std::atomic<bool> is_alone = false;
  SetEngineScripts(fleet, [&](ScriptedCall& call) {
    if (++calls > 1) {
      EventStreamScript(std::stoi(call.Field("Last-Event-Id")) + 1,
                        kEventsInAll)(call);
      return;
    }
    call.BeginEvents();
    for (int id = 1; !is_alone && id < kEventsInAll; ++id) {
      call.Event(id);
      std::this_thread::sleep_for(milliseconds(100));
    }
    call.WaitForClose(milliseconds(3000));
  });
  ByteConnection connection(fleet.Caller(0));
  CallerText text;
  text.path = "/talk/x";
  connection.Send(TextOf(text));
  CPPUNIT_ASSERT(WaitUntil([&] { return calls == 1; }));
  fleet.Gateway(1).Kill();
  CPPUNIT_ASSERT(WaitUntil([&] {
    const nlohmann::json status = LocalFleet::StatusOf(fleet.Operator(0));
    return status.is_object() && status.value("peers", 1U) == 0;
  }));
  is_alone = true;
  const RawAnswer answer = ParseRawAnswer(connection.ReadToEnd());
  CPPUNIT_ASSERT(fleet.Gateway(0).IsRunning());
  CPPUNIT_ASSERT(IsComplete(answer));
}

void DisconnectClosesEndpointConnection() {
  for (const char* path : {"/draft/x", "/issue/x"}) {
    GatewayFleet fleet({});
    std::atomic<int> started = 0;
    std::atomic<int> disconnects_seen = 0;
    const EndpointScript script = [&](ScriptedCall& call) {
      ++started;
      if (call.WaitForClose(kDisconnectTimeout * 4))
        ++disconnects_seen;
      call.Close(false);
    };
    fleet.Engine(0).SetScript(script);
    fleet.Ledger(0).SetScript(script);
    {
      CallerText text;
      text.path = path;
      ByteConnection connection(fleet.Caller(0));
      connection.Send(TextOf(text));
      CPPUNIT_ASSERT(WaitUntil([&] { return started == 1; }));
    }
    CPPUNIT_ASSERT(WaitUntil([&] { return disconnects_seen == 1; },
                             kDisconnectTimeout * 3));
  }
}

void UnreachableEndpointIsSkipped() {
  GatewayFleet fleet({});
  fleet.Store().Put("servers/ledger-9",
                    nlohmann::json({{"service", "ledger"},
                                    {"address", "127.0.0.1:1"},
                                    {"zone", "a"},
                                    {"slots", 8},
                                    {"state", "ready"}}));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(0)).value("endpoints", 0) == 3;
  }));
  for (int i = 0; i < 8; ++i)
    CPPUNIT_ASSERT_EQUAL(200U, CallPath(fleet, "/issue/x").status);
}

void FinalResponseComesByTheDeadline() {
  GatewayFleet fleet({});
  fleet.Ledger(0).SetScript(
      [](ScriptedCall& call) { call.WaitForClose(milliseconds(5000)); });
  CallerText text;
  text.path = "/issue/x";
  text.more_fields = "Buckthornpath-Deadline-Ms: 300\r\n";
  const RawAnswer answer = fleet.Call(0, TextOf(text));
  CPPUNIT_ASSERT_EQUAL(504U, answer.status);
}

/**
 * Every timeout expires while the process is stopped, and responses are
 * already buffered when it continues.
 */
void PauseBeyondAllTimeouts() {
  GatewayPlan plan;
  plan.ledgers = 8;
  GatewayFleet fleet(plan);
  for (std::size_t i = 0; i < plan.ledgers; ++i) {
    fleet.Ledger(i).SetScript([](ScriptedCall& call) {
      std::this_thread::sleep_for(milliseconds(250));
      call.Answer(200, "late");
    });
  }
  std::vector<std::unique_ptr<ByteConnection>> callers;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 40; ++i) {
      CallerText text;
      text.id = "p" + std::to_string(round) + "-" + std::to_string(i);
      text.more_fields = "Buckthornpath-Deadline-Ms: 200\r\n";
      callers.push_back(std::make_unique<ByteConnection>(fleet.Caller(0)));
      callers.back()->Send(TextOf(text));
    }
    std::this_thread::sleep_for(milliseconds(60));
    fleet.Gateway(0).Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(500));
    fleet.Gateway(0).Signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(100));
    CPPUNIT_ASSERT(fleet.Gateway(0).IsRunning());
  }
  CPPUNIT_ASSERT(fleet.IsReady(0));
}

/** A listener with a full backlog: connects hang until Close() resets them. */
class HangingListener {
 public:
  explicit HangingListener(const SocketAddress& address)
      : listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    CPPUNIT_ASSERT(bind(this->listener, address.data(),
                        static_cast<socklen_t>(address.size())) == 0);
    CPPUNIT_ASSERT(listen(this->listener, 0) == 0);
    // Fills the backlog, so that the kernel drops further SYN packets.
    for (int& filler : this->fillers) {
      filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(filler, address.data(),
                    static_cast<socklen_t>(address.size()));
    }
  }
  ~HangingListener() {
    this->Close();
    for (const int filler : this->fillers)
      close(filler);
  }
  HangingListener(const HangingListener&) = delete;
  HangingListener& operator=(const HangingListener&) = delete;

  void Close() {
    if (this->listener >= 0)
      close(this->listener);
    this->listener = -1;
  }

 private:
  int listener;
  std::array<int, 3> fillers{};
};

/** A connect fails and its timeout expires while the process is stopped. */
void PauseWhileConnecting() {
  GatewayPlan plan;
  plan.ledgers = 0;
  GatewayFleet fleet(plan);
  const std::string address = fleet.Caller(0).address().to_string() + ":7199";
  HangingListener hanging_listener(ParseSocketAddress(address));
  fleet.Store().Put("servers/ledger-9", nlohmann::json({{"service", "ledger"},
                                                        {"address", address},
                                                        {"zone", "a"},
                                                        {"slots", 8},
                                                        {"state", "ready"}}));
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(fleet.Operator(0)).value("endpoints", 0) == 2;
  }));
  std::vector<std::unique_ptr<ByteConnection>> callers;
  for (int i = 0; i < 4; ++i) {
    CallerText text;
    text.id = "c" + std::to_string(i);
    callers.push_back(std::make_unique<ByteConnection>(fleet.Caller(0)));
    callers.back()->Send(TextOf(text));
  }
  std::this_thread::sleep_for(milliseconds(100));
  fleet.Gateway(0).Signal(SIGSTOP);
  hanging_listener.Close();
  // The kernel retransmits the SYN after one second and is refused.
  std::this_thread::sleep_for(milliseconds(1500));
  fleet.Gateway(0).Signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(300));
  CPPUNIT_ASSERT(fleet.Gateway(0).IsRunning());
  CPPUNIT_ASSERT(fleet.IsReady(0));
}

const Story kStory("gateway_answers", [] {
  return Section(
      "given a gateway in front of faulty endpoints",
      {Section("when a response is complete",
               {Then("it is forwarded completely, even if sent in one piece",
                     ResponseInOnePieceIsComplete),
                Then("its body may end with the connection, unless reset",
                     BodyMayEndWithConnection)}),
       Section(
           "when a response is invalid",
           {Then("one without its seal is not a success",
                 ResponseWithoutSealFails),
            Then("a truncated body is not a success", TruncatedBodyFails),
            Then("nor is a head that breaks off anywhere", TruncatedHeadFails),
            Then("responses to other requests reach no caller",
                 StrayResponsesReachNoCaller),
            Then("a refusal sent once more is none of the next request",
                 RepeatedRefusalBelongsToNoOtherRequest)}),
       Section("when an endpoint closes the connection or stalls",
               {Then("a request that may run only once is not sent again",
                     NonRepeatableIsSentOnce),
                Then("a repeatable request goes to another endpoint",
                     RepeatableIsRetriedElsewhere),
                Then("a broken stream does not look complete",
                     BrokenStreamDoesNotLookComplete),
                Then("nor does one without length that ends within an event",
                     StreamThatEndsWithinAnEventIsIncomplete),
                Then("which continues elsewhere if it is resumable",
                     StreamThatEndsWithinAnEventIsResumed),
                Then("a resumable stream continues, each event once",
                     ResumableStreamContinuesElsewhere),
                Then("an error of the next endpoint is no part of the stream",
                     ErrorIsNoPartOfAResumedStream),
                Then("one that pauses goes on while no other has room",
                     PausedStreamGoesOnWithoutRoomElsewhere),
                Then("a stalled resumable stream continues elsewhere",
                     StalledStreamContinuesElsewhere),
                Then("also if the number of gateways has changed meanwhile",
                     StreamStallsAfterGatewayHasLeft)}),
       Section("when an endpoint did not execute the request",
               {Then("the caller is told so and when to retry",
                     NotExecutedIsReportedToCaller),
                Then("an unreachable endpoint is skipped",
                     UnreachableEndpointIsSkipped)}),
       Section("when a caller disconnects or time runs out",
               {Then("a disconnect closes the endpoint's connection at once",
                     DisconnectClosesEndpointConnection),
                Then("the final response comes by the deadline",
                     FinalResponseComesByTheDeadline),
                Then("a pause beyond all timeouts ends only requests",
                     PauseBeyondAllTimeouts),
                Then("a pause while connects fail ends only requests",
                     PauseWhileConnecting)})});
});

}  // namespace

}  // namespace buckthornpath
