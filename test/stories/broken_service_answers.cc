/** @file broken_service_answers.cc Bytes of a plain service or an engine behind
 * an endpoint process that look like a response and are none. */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include "fakes/broken_answer.h"
#include "fakes/scripted_endpoint.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

/** A router and two endpoint processes; a plain service and an engine run the
 * script of a test instead of their programs. */
class BrokenServices {
 public:
  BrokenServices() : fleet(Plan()) {
    for (const std::size_t index : {0, 1})
      this->fleet.EngineProcess(index).Kill();
  }

  static FleetPlan Plan() {
    FleetPlan plan;
    plan.endpoints = {{"ledger-1", "ledger", false},
                      {"draft-1", "drafting", true}};
    return plan;
  }

  SocketAddress Service() const { return this->fleet.Engine(0); }
  SocketAddress Engine() const { return this->fleet.Engine(1); }

  HttpResponse CallService() const {
    return CallHttp(this->fleet.Router(0),
                    ServiceRequest(kParishCredential, "receipt",
                                   "/v1/services/ledger/issue", "{}"));
  }

  StreamedAnswer CallEngine() const {
    return CallStream(
        this->fleet.Router(0),
        ChatRequest(kParishCredential, "chat", "chat-1", "dear donor"));
  }

 private:
  LocalFleet fleet;
};

EndpointScript SendsAndCloses(const BrokenAnswer& broken,
                              const std::string& type) {
  return [broken, type](ScriptedCall& call) {
    call.Send(broken.Format("Content-Type: " + type + "\r\n"));
    call.Close(false);
  };
}

std::function<void()> ServiceAnswerIsUnknown(
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return [answers] {
    const BrokenServices services;
    for (const BrokenAnswer& broken : answers()) {
      ScriptedEndpoint service(services.Service(),
                               SendsAndCloses(broken, "application/json"));
      const HttpResponse response = services.CallService();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name + ": " + response.body, 502U,
                                   response.status);
      CPPUNIT_ASSERT_MESSAGE(
          broken.name + ": " + response.body,
          response.body.find("not-an-answer") == std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(
          broken.name + ": " + response.body,
          response.body.find("\"unknown\"") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, std::size_t{1},
                                   service.Received().size());
    }
  };
}

std::function<void()> EngineStreamIsIncomplete(
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return [answers] {
    const BrokenServices services;
    for (const BrokenAnswer& broken : answers()) {
      const ScriptedEndpoint engine(
          services.Engine(), SendsAndCloses(broken, "text/event-stream"));
      const StreamedAnswer answer = services.CallEngine();
      CPPUNIT_ASSERT_MESSAGE(broken.name, !answer.complete);
      CPPUNIT_ASSERT_MESSAGE(broken.name, answer.chunks.empty());
    }
  };
}

void FinalResponseOfTheService() {
  const BrokenServices services;
  const ScriptedEndpoint service(services.Service(), [](ScriptedCall& call) {
    for (const std::string& head : InterimHeads(""))
      call.Send(head);
    call.Answer(201, "final");
  });
  const HttpResponse response = services.CallService();
  CPPUNIT_ASSERT_EQUAL(201U, response.status);
  CPPUNIT_ASSERT_EQUAL(std::string("final"), response.body);
}

CppUnit::Test* SectionOf(
    const std::string& name,
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return Section("when " + name,
                 {Then("the outcome of a call to the service is unknown",
                       ServiceAnswerIsUnknown(answers)),
                  Then("no stream holds what the engine sent",
                       EngineStreamIsIncomplete(answers))});
}

const Story kStory("broken_service_answers", [] {
  return Section(
      "given a service and an engine that send what looks like a response",
      {SectionOf("its status code ends no exchange", InvalidStatuses),
       SectionOf("the name of a field holds a blank or a control byte",
                 InvalidFieldNames),
       SectionOf("its body has another transfer coding than chunked",
                 InvalidTransferCodings),
       SectionOf("its body has a content coding that was not asked for",
                 ContentCodings),
       Section("when interim responses come first",
               {Then("the final response is the answer",
                     FinalResponseOfTheService)})});
});

}  // namespace

}  // namespace buckthornpath
