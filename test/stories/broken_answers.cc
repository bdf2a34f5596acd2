/** @file broken_answers.cc Bytes of an endpoint that look like a response and
 * are none reach no caller, whichever attempt of a gateway reads them. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/broken_answer.h"
#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Longer than a gateway waits for a silent stream, and shorter than the route
 * allows. */
constexpr milliseconds kMaxPause{3000};

/** Time in which the answer of the endpoint that takes a stream over arrives.
 */
constexpr milliseconds kArrival{200};

/** Sends nothing until another endpoint has been asked to take the stream over
 * and has answered. */
void PauseUntilAsked(const std::atomic<int>& asked) {
  WaitUntil([&] { return asked > 0; }, kMaxPause);
  std::this_thread::sleep_for(kArrival);
}

GatewayPlan TwoEndpointsPerService() {
  GatewayPlan plan;
  plan.engines = 2;
  plan.ledgers = 2;
  plan.settings = {{"retry_slack", 56}};
  return plan;
}

bool IsComplete(const RawAnswer& answer) {
  return answer.body.ends_with("0\r\n\r\n");
}

/** @return Fields of a sound answer to the call. */
std::string SoundFields(const ScriptedCall& call, const std::string& type) {
  return "Buckthornpath-Request-Id: " + call.Id() +
         "\r\nBuckthornpath-Response-Seal: s\r\nContent-Type: " + type + "\r\n";
}

/** Sends a broken answer and closes the connection. */
void SendBroken(ScriptedCall& call,
                const BrokenAnswer& broken,
                const std::string& type) {
  call.Send(broken.Format(SoundFields(call, type)));
  call.Close(false);
}

/** A gateway with two endpoints a service, and its callers. */
class BrokenEndpoints {
 public:
  BrokenEndpoints() : fleet(TwoEndpointsPerService()) {}

  void SetScript(const EndpointScript& script) {
    for (std::size_t i = 0; i < 2; ++i) {
      this->fleet.Engine(i).SetScript(script);
      this->fleet.Ledger(i).SetScript(script);
    }
  }

  RawAnswer Call(const std::string& path, const std::string& more_fields = "") {
    CallerText text;
    text.path = path;
    text.more_fields = more_fields;
    text.id = "broken-" + std::to_string(++this->calls);
    return this->fleet.Call(0, TextOf(text));
  }

  /** @return Endpoints that received the last call. */
  std::size_t RunsOfLast() {
    const std::string id = "broken-" + std::to_string(this->calls);
    std::size_t runs = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      runs += this->fleet.Engine(i).CountOf(id);
      runs += this->fleet.Ledger(i).CountOf(id);
    }
    return runs;
  }

  /** Outlier ejection and retry budgets are empty in a new fleet. */
  GatewayFleet fleet;

 private:
  int calls = 0;
};

/** @return The answer, for the message of an assertion. */
std::string Describe(const BrokenAnswer& broken, const RawAnswer& answer) {
  return broken.name + ": " + answer.head + "\n" + answer.body;
}

void CheckNothingPassed(const BrokenAnswer& broken, const RawAnswer& answer) {
  CPPUNIT_ASSERT_MESSAGE(
      Describe(broken, answer),
      answer.body.find("not-an-answer") == std::string::npos);
}

/** A request that must not run twice is answered as one that may have run. */
std::function<void()> NoCallerGets(
    const std::function<std::vector<BrokenAnswer>()>& answers,
    const std::string& path,
    const std::string& type) {
  return [answers, path, type] {
    BrokenEndpoints endpoints;
    for (const BrokenAnswer& broken : answers()) {
      endpoints.SetScript(
          [&](ScriptedCall& call) { SendBroken(call, broken, type); });
      const RawAnswer answer = endpoints.Call(path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(broken, answer), 502U,
                                   answer.status);
      CheckNothingPassed(broken, answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, std::size_t{1},
                                   endpoints.RunsOfLast());
    }
  };
}

std::function<void()> RepeatableIsAnsweredElsewhere(
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return [answers] {
    for (const BrokenAnswer& broken : answers()) {
      BrokenEndpoints endpoints;
      std::atomic<int> calls = 0;
      endpoints.SetScript([&](ScriptedCall& call) {
        if (++calls == 1)
          SendBroken(call, broken, "text/plain");
        else
          call.Answer(200, "second");
      });
      const RawAnswer answer = endpoints.Call("/lookup/x");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(broken, answer), 200U,
                                   answer.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, std::string("second"),
                                   answer.body);
    }
  };
}

/** The first endpoint breaks off after an event; the second one, which is to
 * resume the stream, sends the broken answer. */
std::function<void()> NoPartOfAResumedStream(
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return [answers] {
    for (const BrokenAnswer& broken : answers()) {
      BrokenEndpoints endpoints;
      endpoints.SetScript([&](ScriptedCall& call) {
        if (!call.Field("Last-Event-Id").empty()) {
          SendBroken(call, broken, "text/event-stream");
          return;
        }
        call.BeginEvents();
        call.Event(1);
        call.Close(true);
      });
      const RawAnswer answer = endpoints.Call("/talk/x");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, 200U, answer.status);
      CheckNothingPassed(broken, answer);
      CPPUNIT_ASSERT_MESSAGE(Describe(broken, answer), !IsComplete(answer));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, std::size_t{2},
                                   endpoints.RunsOfLast());
    }
  };
}

/** The first endpoint pauses and goes on later; the one that is asked
 * meanwhile to take the stream over sends the broken answer. */
std::function<void()> PausedStreamOutlives(
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return [answers] {
    for (const BrokenAnswer& broken : answers()) {
      BrokenEndpoints endpoints;
      std::atomic<int> asked = 0;
      endpoints.SetScript([&](ScriptedCall& call) {
        if (!call.Field("Last-Event-Id").empty()) {
          ++asked;
          SendBroken(call, broken, "text/event-stream");
          return;
        }
        call.BeginEvents();
        call.Event(1);
        PauseUntilAsked(asked);
        call.Event(2);
        call.EndEvents();
      });
      const RawAnswer answer = endpoints.Call("/talk/x");
      CPPUNIT_ASSERT_MESSAGE(broken.name, asked > 0);
      CheckNothingPassed(broken, answer);
      CPPUNIT_ASSERT_MESSAGE(Describe(broken, answer),
                             answer.body.find("id: 2\n") != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(Describe(broken, answer), IsComplete(answer));
    }
  };
}

/** Sends all interim heads, in one piece with what follows or apart from it. */
void SendInterim(ScriptedCall& call, const std::string& type, bool apart) {
  std::string heads;
  for (const std::string& head : InterimHeads(SoundFields(call, type))) {
    heads += head;
    if (apart) {
      call.Send(std::exchange(heads, std::string()));
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  if (!heads.empty())
    call.Send(heads);
}

void FinalResponseIsTheAnswer() {
  BrokenEndpoints endpoints;
  for (const bool apart : {false, true}) {
    endpoints.SetScript([apart](ScriptedCall& call) {
      SendInterim(call, "text/plain", apart);
      call.Answer(200, "final");
    });
    for (const char* path : {"/issue/x", "/lookup/x"}) {
      const RawAnswer answer = endpoints.Call(path);
      CPPUNIT_ASSERT_EQUAL(200U, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("final"), answer.body);
      CPPUNIT_ASSERT(answer.head.find("not-an-answer") == std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.RunsOfLast());
    }
  }
}

void FinalStreamIsTheAnswer() {
  BrokenEndpoints endpoints;
  for (const bool apart : {false, true}) {
    endpoints.SetScript([apart](ScriptedCall& call) {
      SendInterim(call, "text/event-stream", apart);
      call.BeginEvents();
      call.Event(1);
      call.EndEvents();
    });
    for (const char* path : {"/draft/x", "/talk/x"}) {
      const RawAnswer answer = endpoints.Call(path);
      CPPUNIT_ASSERT_EQUAL(200U, answer.status);
      CPPUNIT_ASSERT(answer.body.find("id: 1\n") != std::string::npos);
      CPPUNIT_ASSERT(IsComplete(answer));
    }
  }
}

/** The first endpoint breaks off or pauses after an event. */
void FinalStreamResumes() {
  for (const bool pauses : {false, true}) {
    BrokenEndpoints endpoints;
    endpoints.SetScript([pauses](ScriptedCall& call) {
      if (!call.Field("Last-Event-Id").empty()) {
        SendInterim(call, "text/event-stream", true);
        call.BeginEvents();
        call.Event(2);
        call.EndEvents();
        return;
      }
      call.BeginEvents();
      call.Event(1);
      if (pauses)
        call.WaitForClose(milliseconds(3000));
      call.Close(true);
    });
    const RawAnswer answer = endpoints.Call("/talk/x");
    CPPUNIT_ASSERT(answer.body.find("id: 2\n") != std::string::npos);
    CPPUNIT_ASSERT(IsComplete(answer));
  }
}

/** After a request was read, an end without a final response tells nothing. */
void InterimResponseAloneIsNoAnswer() {
  BrokenEndpoints endpoints;
  for (const bool reset : {false, true}) {
    endpoints.SetScript([reset](ScriptedCall& call) {
      SendInterim(call, "text/plain", false);
      call.Close(reset);
    });
    CPPUNIT_ASSERT_EQUAL(502U, endpoints.Call("/issue/x").status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.RunsOfLast());
  }
}

/** They carry the request's id, so that they are no late responses. */
void InterimResponsesAreBounded() {
  BrokenEndpoints endpoints;
  endpoints.SetScript([](ScriptedCall& call) {
    const std::string head =
        InterimHeads(SoundFields(call, "text/plain")).at(1);
    while (call.Send(head)) {
    }
  });
  CPPUNIT_ASSERT_EQUAL(502U, endpoints.Call("/issue/x").status);
}

/** Names of codings are case-insensitive, and empty list elements allowed. */
void ChunksAreRead() {
  BrokenEndpoints endpoints;
  for (const char* coding : {"chunked", "Chunked", "chunked,", ", chunked"}) {
    endpoints.SetScript([coding](ScriptedCall& call) {
      call.Send("HTTP/1.1 200 OK\r\n" + SoundFields(call, "text/plain") +
                "Transfer-Encoding: " + coding +
                "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    });
    const RawAnswer answer = endpoints.Call("/issue/x");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, 200U, answer.status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, std::string("whole"), answer.body);
  }
}

/** Such a response says how a body would have been coded; it has none. */
void ResponseWithoutBodyMayNameACoding() {
  BrokenEndpoints endpoints;
  endpoints.SetScript([](ScriptedCall& call) {
    call.Send("HTTP/1.1 304 X\r\n" + SoundFields(call, "text/plain") +
              "Transfer-Encoding: gzip, chunked\r\n\r\n");
  });
  CPPUNIT_ASSERT_EQUAL(304U, endpoints.Call("/issue/x").status);
}

/** What makes a response count must be known before its body. */
void TrailerIsNoPartOfTheHead() {
  const std::string id = "Buckthornpath-Request-Id: ";
  const std::string seal = "Buckthornpath-Response-Seal: s\r\n";
  BrokenEndpoints endpoints;
  endpoints.SetScript([&](ScriptedCall& call) {
    call.Send(WithTrailer(id + call.Id() + "\r\n", "not-an-answer", seal));
    call.Close(false);
  });
  CPPUNIT_ASSERT_EQUAL(502U, endpoints.Call("/issue/x").status);
  endpoints.SetScript([&](ScriptedCall& call) {
    call.Send(WithTrailer(seal, "not-an-answer", id + call.Id() + "\r\n"));
    call.Close(false);
  });
  CPPUNIT_ASSERT_EQUAL(502U, endpoints.Call("/issue/x").status);
}

/** The response is sound, and its request has run. */
void TrailerDoesNotTakeBackTheResponse() {
  BrokenEndpoints endpoints;
  endpoints.SetScript([](ScriptedCall& call) {
    call.Send(WithTrailer(SoundFields(call, "text/plain"), "whole",
                          "Buckthornpath-Not-Executed: 1\r\n"));
  });
  const RawAnswer answer = endpoints.Call("/issue/x");
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.body);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.RunsOfLast());
}

void TrailerIsNotPassedOnAsHead() {
  BrokenEndpoints endpoints;
  endpoints.SetScript([](ScriptedCall& call) {
    call.Send(WithTrailer(SoundFields(call, "text/event-stream"),
                          "id: 1\ndata: d1\n\n",
                          "X-Trailer: 1\r\nContent-Encoding: gzip\r\n"));
  });
  for (const char* path : {"/draft/x", "/talk/x", "/issue/x"}) {
    const RawAnswer answer = endpoints.Call(path);
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    CPPUNIT_ASSERT(answer.body.find("id: 1\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(answer.head,
                           answer.head.find("X-Trailer") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(
        answer.head, answer.head.find("Content-Encoding") == std::string::npos);
  }
}

/** A stream may have begun before its end turns out to be broken. */
std::function<void()> NoStreamIsComplete(
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return [answers] {
    BrokenEndpoints endpoints;
    for (const BrokenAnswer& broken : answers()) {
      endpoints.SetScript([&](ScriptedCall& call) {
        SendBroken(call, broken, "text/event-stream");
      });
      const RawAnswer answer = endpoints.Call("/draft/x");
      CPPUNIT_ASSERT_MESSAGE(Describe(broken, answer),
                             answer.status == 502 || !IsComplete(answer));
    }
  };
}

/** Such a response may belong to another request. */
void TwoRequestIdsAreNone() {
  BrokenEndpoints endpoints;
  for (const bool own_first : {true, false}) {
    endpoints.SetScript([own_first](ScriptedCall& call) {
      const std::string own = "Buckthornpath-Request-Id: " + call.Id() + "\r\n";
      const std::string other = "Buckthornpath-Request-Id: other\r\n";
      call.Send("HTTP/1.1 200 OK\r\n" +
                (own_first ? own + other : other + own) +
                "Buckthornpath-Response-Seal: s\r\n"
                "Content-Length: 13\r\n\r\nnot-an-answer");
      call.Close(false);
    });
    const RawAnswer answer = endpoints.Call("/issue/x");
    CPPUNIT_ASSERT_EQUAL(502U, answer.status);
    CPPUNIT_ASSERT(answer.body.find("not-an-answer") == std::string::npos);
  }
}

/** Broken heads, which the parser of the library rejects. */
CppUnit::Test* HeadSectionOf(
    const std::string& name,
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return Section("when " + name,
                 {Then("no caller gets it as an answer",
                       NoCallerGets(answers, "/issue/x", "text/plain")),
                  Then("nor as a stream",
                       NoCallerGets(answers, "/draft/x", "text/event-stream")),
                  Then("it is no part of a resumed stream",
                       NoPartOfAResumedStream(answers))});
}

/** Broken bodies, of which a stream has passed on a part. */
CppUnit::Test* BodySectionOf(
    const std::string& name,
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return Section(
      "when " + name,
      {Then("no caller gets it as an answer",
            NoCallerGets(answers, "/issue/x", "text/plain")),
       Then("no caller gets a complete stream", NoStreamIsComplete(answers)),
       Then("a repeatable request is answered by another endpoint",
            RepeatableIsAnsweredElsewhere(answers))});
}

void NextAttemptWithAContentCodingIsNoPart() {
  for (const bool pauses : {false, true}) {
    BrokenEndpoints endpoints;
    std::atomic<int> asked = 0;
    endpoints.SetScript([&, pauses](ScriptedCall& call) {
      if (!call.Field("Last-Event-Id").empty()) {
        ++asked;
        BrokenAnswer broken;
        broken.fields = "Content-Encoding: gzip\r\n";
        SendBroken(call, broken, "text/event-stream");
        return;
      }
      call.BeginEvents();
      call.Event(1);
      if (pauses)
        PauseUntilAsked(asked);
      call.Close(true);
    });
    const RawAnswer answer = endpoints.Call("/talk/x");
    CPPUNIT_ASSERT(!IsComplete(answer));
    CPPUNIT_ASSERT(answer.body.find("not-an-answer") == std::string::npos);
  }
}

void RequestedContentCodingIsPassedOn() {
  BrokenEndpoints endpoints;
  endpoints.SetScript([](ScriptedCall& call) {
    call.Answer(200, "coded", "Content-Encoding: GZIP\r\n");
  });
  const RawAnswer answer =
      endpoints.Call("/issue/x", "Accept-Encoding: br;q=0.5, gzip\r\n");
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("coded"), answer.body);
  CPPUNIT_ASSERT(answer.head.find("Content-Encoding") != std::string::npos);
}

void IdentityIsNoContentCoding() {
  BrokenEndpoints endpoints;
  endpoints.SetScript([](ScriptedCall& call) {
    call.Answer(200, "plain", "Content-Encoding: identity\r\n");
  });
  CPPUNIT_ASSERT_EQUAL(200U, endpoints.Call("/issue/x").status);
}

/** The head says that nothing has run, whatever its body is. */
void NotExecutedMayHaveAContentCoding() {
  BrokenEndpoints endpoints;
  endpoints.SetScript([](ScriptedCall& call) {
    call.Answer(503, "coded",
                "Content-Encoding: gzip\r\nBuckthornpath-Not-Executed: 1\r\n");
  });
  CPPUNIT_ASSERT_EQUAL(503U, endpoints.Call("/issue/x").status);
}

CppUnit::Test* SectionOf(
    const std::string& name,
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return Section(
      "when " + name,
      {Then("no caller gets it as an answer",
            NoCallerGets(answers, "/issue/x", "text/plain")),
       Then("nor as a stream",
            NoCallerGets(answers, "/draft/x", "text/event-stream")),
       Then("a repeatable request is answered by another endpoint",
            RepeatableIsAnsweredElsewhere(answers)),
       Then("it is no part of a resumed stream",
            NoPartOfAResumedStream(answers)),
       Then("a paused stream outlives it as the answer of a standby attempt",
            PausedStreamOutlives(answers))});
}

const Story kStory("broken_answers", [] {
  return Section(
      "given endpoints that send what looks like a response",
      {SectionOf("its status code ends no exchange", InvalidStatuses),
       SectionOf("the name of a field holds a blank or a control byte",
                 InvalidFieldNames),
       HeadSectionOf("a line of its head is no field", InvalidFieldLines),
       HeadSectionOf("its status line is malformed", InvalidStatusLines),
       Section("when it has two request ids",
               {Then("no caller gets it as an answer", TwoRequestIdsAreNone)}),
       BodySectionOf("its length is malformed", InvalidLengths),
       BodySectionOf("its chunks are malformed", InvalidChunks),
       SectionOf("its body has another transfer coding than chunked",
                 InvalidTransferCodings),
       Section("when its transfer coding is sound",
               {Then("its chunks are read", ChunksAreRead),
                Then("a response without body may name any",
                     ResponseWithoutBodyMayNameACoding)}),
       Section(
           "when its body has a content coding",
           {Then("one that was not asked for is no answer",
                 NoCallerGets(ContentCodings, "/issue/x", "text/plain")),
            Then("nor a stream",
                 NoCallerGets(ContentCodings, "/draft/x", "text/event-stream")),
            Then("nor part of a stream that moves there",
                 NextAttemptWithAContentCodingIsNoPart),
            Then("one that the caller accepts is passed on",
                 RequestedContentCodingIsPassedOn),
            Then("identity is none", IdentityIsNoContentCoding),
            Then("a refusal remains one", NotExecutedMayHaveAContentCoding)}),
       Section("when fields follow its body",
               {Then("they do not make it count", TrailerIsNoPartOfTheHead),
                Then("nor take it back", TrailerDoesNotTakeBackTheResponse),
                Then("nor reach the caller as fields of the head",
                     TrailerIsNotPassedOnAsHead)}),
       Section(
           "when interim responses come first",
           {Then("the final response is the answer", FinalResponseIsTheAnswer),
            Then("so is the final stream", FinalStreamIsTheAnswer),
            Then("which resumes one that broke or pauses", FinalStreamResumes),
            Then("they are no answer by themselves",
                 InterimResponseAloneIsNoAnswer),
            Then("nor without end", InterimResponsesAreBounded)})});
});

}  // namespace

}  // namespace buckthornpath
