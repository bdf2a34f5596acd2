/** @file early_answers.cc Answers that an endpoint sends while a long upload is
 * still being written to it, and breaks off. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fakes/scripted_endpoint.h"
#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Far more than the sockets between two processes hold. */
constexpr std::size_t kLongUpload = std::size_t{8} * 1024 * 1024;

/** Fits into the sockets: it has been written when the answer comes. */
constexpr std::size_t kShortUpload = std::size_t{2} * 1024;

/** How an endpoint breaks off. */
struct EarlyEnd {
  std::string name;
  std::size_t discards;  ///< Bytes of the upload that are read before.
  milliseconds pause;    ///< Between the part of the answer and the reset.
};

/** Closing a connection with unread input resets it, too. */
std::vector<EarlyEnd> EarlyEnds() {
  return {{"at once", 0, milliseconds(0)},
          {"after a while", 0, milliseconds(100)},
          {"in the middle of the upload", kLongUpload / 2, milliseconds(0)},
          {"in the middle of the upload, after a while", kLongUpload / 2,
           milliseconds(100)}};
}

/** @return Head of an answer that ends with its connection. */
std::string HeadWithoutLength(const ScriptedCall& call,
                              const std::string& type) {
  return "HTTP/1.1 200 OK\r\nBuckthornpath-Request-Id: " + call.Id() +
         "\r\nBuckthornpath-Response-Seal: s\r\nContent-Type: " + type +
         "\r\n\r\n";
}

void SendPartAndReset(ScriptedCall& call,
                      const EarlyEnd& end,
                      const std::string& bytes) {
  call.DiscardBody(end.discards);
  call.Send(bytes);
  std::this_thread::sleep_for(end.pause);
  call.Close(true);
}

/** A gateway that allows long uploads, and two endpoints a service. */
class LongUploads {
 public:
  LongUploads() : fleet(Plan()) {
    nlohmann::json configuration = StandardConfiguration(2);
    configuration["limits"]["maxBodyBytes"] = 2 * kLongUpload;
    this->fleet.Store().Put("op/config", configuration);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return LocalFleet::StatusOf(this->fleet.Operator(0))
                 .value("configuration", std::uint64_t{0}) == 2;
    }));
    for (std::size_t i = 0; i < 2; ++i) {
      this->fleet.Engine(i).StopReadingBodies();
      this->fleet.Ledger(i).StopReadingBodies();
    }
  }

  static GatewayPlan Plan() {
    GatewayPlan plan;
    plan.engines = 2;
    plan.ledgers = 2;
    plan.settings = {{"retry_slack", 56}};
    return plan;
  }

  void SetScript(const EndpointScript& script) {
    for (std::size_t i = 0; i < 2; ++i) {
      this->fleet.Engine(i).SetScript(script);
      this->fleet.Ledger(i).SetScript(script);
    }
  }

  RawAnswer Call(const std::string& path, std::size_t size) {
    CallerText text;
    text.path = path;
    text.id = "early-" + std::to_string(++this->calls);
    text.body.assign(size, 'u');
    return this->fleet.Call(0, TextOf(text));
  }

 private:
  GatewayFleet fleet;
  int calls = 0;
};

bool IsComplete(const RawAnswer& answer) {
  return answer.body.ends_with("0\r\n\r\n");
}

std::function<void()> PartIsNoAnswer(std::size_t size) {
  return [size] {
    LongUploads uploads;
    for (const EarlyEnd& end : EarlyEnds()) {
      uploads.SetScript([&](ScriptedCall& call) {
        SendPartAndReset(call, end,
                         HeadWithoutLength(call, "text/plain") + "part");
      });
      const RawAnswer answer = uploads.Call("/issue/x", size);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(end.name, 502U, answer.status);
      CPPUNIT_ASSERT_MESSAGE(end.name,
                             answer.body.find("part") == std::string::npos);
    }
  };
}

std::function<void()> PartOfAStreamIsNotComplete(std::size_t size) {
  return [size] {
    LongUploads uploads;
    for (const EarlyEnd& end : EarlyEnds()) {
      uploads.SetScript([&](ScriptedCall& call) {
        SendPartAndReset(call, end,
                         HeadWithoutLength(call, "text/event-stream") +
                             "id: 1\ndata: d1\n\n");
      });
      const RawAnswer answer = uploads.Call("/draft/x", size);
      CPPUNIT_ASSERT_MESSAGE(end.name + answer.head + answer.body,
                             answer.status == 502 || !IsComplete(answer));
    }
  };
}

/** The first endpoint breaks off or pauses after an event; the next one sends
 * another before it has read the upload, and resets the connection. */
std::function<void()> PartOfANextAttemptIsNotComplete(bool pauses) {
  return [pauses] {
    for (const EarlyEnd& end : EarlyEnds()) {
      LongUploads uploads;
      std::atomic<int> resumed = 0;
      uploads.SetScript([&](ScriptedCall& call) {
        if (!call.Field("Last-Event-Id").empty()) {
          ++resumed;
          SendPartAndReset(call, end,
                           HeadWithoutLength(call, "text/event-stream") +
                               "id: 2\ndata: d2\n\n");
          return;
        }
        call.DiscardBody(kLongUpload);
        call.BeginEvents();
        call.Event(1);
        if (pauses)
          WaitUntil([&] { return resumed > 0; }, milliseconds(3000));
        call.Close(true);
      });
      const RawAnswer answer = uploads.Call("/talk/x", kLongUpload);
      CPPUNIT_ASSERT_MESSAGE(end.name, resumed > 0);
      CPPUNIT_ASSERT_MESSAGE(end.name + answer.head + answer.body,
                             !IsComplete(answer));
    }
  };
}

void WholeAnswerIsStillPassedOn() {
  LongUploads uploads;
  uploads.SetScript([](ScriptedCall& call) {
    call.DiscardBody(kLongUpload);
    call.Send(HeadWithoutLength(call, "text/plain") + "whole");
    call.Close(false);
  });
  for (const std::size_t size : {kShortUpload, kLongUpload}) {
    const RawAnswer answer = uploads.Call("/issue/x", size);
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.body);
  }
}

/** Also for what the endpoint role, the store's reader and the operators'
 * command read. */
void ClientReportsAnError() {
  const NetworkClaim claim;
  const SocketAddress address = ParseSocketAddress(claim.Network() + "1:7100");
  for (const EarlyEnd& end : EarlyEnds()) {
    for (const std::size_t size : {kShortUpload, kLongUpload}) {
      ScriptedEndpoint server(address, [&](ScriptedCall& call) {
        SendPartAndReset(call, end,
                         HeadWithoutLength(call, "text/plain") + "part");
      });
      server.StopReadingBodies();
      HttpRequest request;
      request.method = "POST";
      request.body.assign(size, 'u');
      CPPUNIT_ASSERT_THROW_MESSAGE(end.name, CallHttp(address, request),
                                   HttpError);
    }
  }
}

const Story kStory("early_answers", [] {
  return Section(
      "given an endpoint that answers before it has read an upload",
      {Section("when it sends a part without length and resets the connection",
               {Then("the part of a long upload's answer is none",
                     PartIsNoAnswer(kLongUpload)),
                Then("nor is that of one which has been written",
                     PartIsNoAnswer(kShortUpload)),
                Then("a stream is not complete",
                     PartOfAStreamIsNotComplete(kLongUpload)),
                Then("nor is that of an upload which has been written",
                     PartOfAStreamIsNotComplete(kShortUpload)),
                Then("nor is a resumed stream",
                     PartOfANextAttemptIsNotComplete(false)),
                Then("nor is one that a standby attempt has taken over",
                     PartOfANextAttemptIsNotComplete(true)),
                Then("the client of other processes reports an error",
                     ClientReportsAnError)}),
       Section("when it reads the upload and closes the connection in order",
               {Then("the answer is passed on", WholeAnswerIsStillPassedOn)})});
});

}  // namespace

}  // namespace buckthornpath
