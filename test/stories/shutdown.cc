/** @file shutdown.cc A draining process completes its open requests. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "harness/byte_connection.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/raw_connection.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

constexpr int kCutOffExitCode = 3;
constexpr std::size_t kStreams = 6;
constexpr std::size_t kCallers = 4;

/** Time within which a drain without open requests ends. */
constexpr std::chrono::milliseconds kIdleDrainTime{800};
constexpr const char* kReceiptPath = "/v1/services/ledger/issue";

FleetPlan DrainPlan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.settings = {{"connect_timeout", 3000}};
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"draft-2", "drafting", true},
                    {"ledger-1", "ledger", false},
                    {"ledger-2", "ledger", false}};
  // A load bound wide enough for the remaining endpoint to take all calls.
  for (const char* name : {"chat", "statement"}) {
    nlohmann::json profile =
        StandardDocuments().at(std::string("profiles/") + name);
    profile["load_multiple_percent"] = 1000;
    plan.documents[std::string("profiles/") + name] = profile;
  }
  return plan;
}

HttpRequest LongStreamRequest(std::size_t number) {
  return ChatRequest(kParishCredential, "statement",
                     "chat-" + std::to_string(number), "a long draft", 300);
}

HttpRequest ReceiptRequest() {
  return ServiceRequest(kParishCredential, "receipt", kReceiptPath, "{}");
}

HttpRequest DrainRequest() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/drain";
  return request;
}

/** Concurrent streams through one router, each on its own thread. */
class RunningStreams {
 public:
  RunningStreams(const LocalFleet& fleet, std::size_t count)
      : answers(count), chunks(count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->threads.emplace_back([this, &fleet, i] {
        this->answers[i] = CallStream(fleet.Router(0), LongStreamRequest(i),
                                      [&](std::size_t n) {
                                        this->chunks[i] = n;
                                        return true;
                                      });
      });
    }
    CPPUNIT_ASSERT(WaitUntil([&] {
      return std::all_of(this->chunks.begin(), this->chunks.end(),
                         [](const auto& n) { return n > 0; });
    }));
  }

  /** Waits for all answers. */
  const std::vector<StreamedAnswer>& Answers() {
    this->threads.clear();
    return this->answers;
  }

 private:
  std::vector<StreamedAnswer> answers;
  std::vector<std::atomic<std::size_t>> chunks;
  std::vector<std::jthread> threads;
};

void AssertAllComplete(const LocalFleet& fleet,
                       const std::vector<StreamedAnswer>& answers) {
  for (std::size_t i = 0; i < answers.size(); ++i) {
    CPPUNIT_ASSERT_EQUAL(std::string(), answers[i].fault);
    CPPUNIT_ASSERT(answers[i].complete);
    CPPUNIT_ASSERT(ExpectedChunks(LongStreamRequest(i)) == answers[i].chunks);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.RunsOf(answers[i].request_id));
  }
}

bool IsDraining(const SocketAddress& address) {
  const nlohmann::json status = LocalFleet::StatusOf(address);
  return status.is_object() && status.value("draining", false);
}

/** @return First log line of a process with this event; null if none. */
nlohmann::json FirstLogLine(const LocalFleet& fleet,
                            const std::string& process,
                            const std::string& event) {
  std::ifstream file(fleet.Directory() / (process + ".log"));
  for (std::string text; std::getline(file, text);) {
    auto line = nlohmann::json::parse(text, nullptr, false);
    if (line.is_object() && line.value("event", "") == event)
      return line;
  }
  return nullptr;
}

void DrainingRouterCompletesStreams() {
  LocalFleet fleet(DrainPlan());
  RawConnection idle(fleet.Router(0));
  idle.Send("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
  CPPUNIT_ASSERT(idle.ReadHead().find("HTTP/1.1 40") == 0);
  RawConnection partial(fleet.Router(0));
  const std::string receipt = FormatRequest(ReceiptRequest());
  partial.Send(receipt.substr(0, receipt.size() - 1));
  RunningStreams streams(fleet, kStreams);
  fleet.RouterProcess(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return IsDraining(fleet.RouterOperator(0)); }));
  idle.Send(receipt);
  const std::string refused = idle.ReadHead();
  CPPUNIT_ASSERT(refused.find("HTTP/1.1 503") == 0);
  CPPUNIT_ASSERT(refused.find("Retry-After: 1") != std::string::npos);
  CPPUNIT_ASSERT(refused.find("Connection: close") != std::string::npos);
  partial.Send(receipt.substr(receipt.size() - 1));
  CPPUNIT_ASSERT(partial.ReadHead().find("HTTP/1.1 503") == 0);
  AssertAllComplete(fleet, streams.Answers());
  CPPUNIT_ASSERT_EQUAL(0, fleet.RouterProcess(0).WaitForExit(kCallerTimeout));
}

void PartialRequestIsAnswered() {
  LocalFleet fleet(DrainPlan());
  RawConnection caller(fleet.Router(0));
  const std::string receipt = FormatRequest(ReceiptRequest());
  caller.Send(receipt.substr(0, receipt.size() / 2));
  // A response to a later request shows that the first half has arrived.
  CPPUNIT_ASSERT_EQUAL(200U,
                       CallHttp(fleet.Router(0), ReceiptRequest()).status);
  fleet.RouterProcess(0).Signal(SIGTERM);
  CPPUNIT_ASSERT_EQUAL(-1, fleet.RouterProcess(0).WaitForExit(kIdleDrainTime));
  caller.Send(receipt.substr(receipt.size() / 2));
  CPPUNIT_ASSERT(caller.ReadHead().find("HTTP/1.1 503") == 0);
  CPPUNIT_ASSERT_EQUAL(0, fleet.RouterProcess(0).WaitForExit(kCallerTimeout));
}

void PlainCallInFlightIsAnswered() {
  FleetPlan plan = DrainPlan();
  plan.endpoints = {{"ledger-1", "ledger", false}};
  plan.engine_arguments = {"--work-ms=600"};
  LocalFleet fleet(plan);
  HttpResponse response;
  std::jthread caller(
      [&] { response = CallHttp(fleet.Router(0), ReceiptRequest()); });
  CPPUNIT_ASSERT(WaitUntil([&] { return !fleet.EngineHistory().empty(); }));
  fleet.RouterProcess(0).Signal(SIGTERM);
  fleet.EndpointProcess(0).Signal(SIGTERM);
  caller.join();
  CPPUNIT_ASSERT_EQUAL(200U, response.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.EngineHistory().size());
  CPPUNIT_ASSERT_EQUAL(0, fleet.RouterProcess(0).WaitForExit(kCallerTimeout));
  CPPUNIT_ASSERT_EQUAL(0, fleet.EndpointProcess(0).WaitForExit(kCallerTimeout));
}

void RepeatedDrainCutsNothingOff() {
  LocalFleet fleet(DrainPlan());
  RunningStreams streams(fleet, kStreams);
  CPPUNIT_ASSERT_EQUAL(
      202U, CallHttp(fleet.RouterOperator(0), DrainRequest()).status);
  CPPUNIT_ASSERT_EQUAL(
      202U, CallHttp(fleet.RouterOperator(0), DrainRequest()).status);
  fleet.RouterProcess(0).Signal(SIGTERM);
  AssertAllComplete(fleet, streams.Answers());
  CPPUNIT_ASSERT_EQUAL(0, fleet.RouterProcess(0).WaitForExit(kCallerTimeout));
}

/** Counts complete responses and records the others; thread-safe. */
class ResponseTally {
 public:
  void Add(bool is_complete, const std::string& details) {
    if (is_complete) {
      ++this->answered;
      return;
    }
    const std::lock_guard lock(this->mutex);
    this->failures += details + "\n";
  }

  int Answered() const { return this->answered; }

  /** @return Responses that were not complete, one a line. */
  std::string Failures() {
    const std::lock_guard lock(this->mutex);
    return this->failures;
  }

 private:
  std::atomic<int> answered = 0;
  std::mutex mutex;
  std::string failures;
};

/** Sends calls one after another until `stop` is set. */
void CallUntilStopped(const LocalFleet& fleet,
                      std::size_t router,
                      const std::atomic<bool>& stop,
                      ResponseTally& tally) {
  for (std::size_t i = 0; !stop; ++i) {
    if (i % 2 == 0) {
      const HttpResponse response =
          CallHttp(fleet.Router(router), ReceiptRequest());
      tally.Add(response.status == 200, response.body);
      continue;
    }
    const HttpRequest chat =
        ChatRequest(kParishCredential, "chat", "c" + std::to_string(i), "hi");
    const StreamedAnswer answer = CallStream(fleet.Router(router), chat);
    tally.Add(answer.complete && ExpectedChunks(chat) == answer.chunks,
              answer.type + " " + answer.outcome + " " + answer.fault);
  }
}

/** @return Number of calls that a process admitted after its drain began. */
std::size_t CountAdmittedInDrain(const LocalFleet& fleet,
                                 const std::string& vm) {
  std::ifstream file(fleet.Directory() / (vm + ".log"));
  std::size_t admitted = 0;
  bool draining = false;
  for (std::string text; std::getline(file, text);) {
    draining = draining || text.find("drain_begun") != std::string::npos;
    if (draining && text.find("\"admitted\"") != std::string::npos)
      ++admitted;
  }
  return admitted;
}

void EndpointsDrainUnderLoad() {
  LocalFleet fleet(DrainPlan());
  RunningStreams streams(fleet, kStreams);
  std::atomic<bool> stop = false;
  ResponseTally tally;
  std::vector<std::jthread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(
        [&, i] { CallUntilStopped(fleet, i % 2, stop, tally); });
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return tally.Answered() > 20; }));
  for (const std::size_t endpoint : {0U, 2U}) {
    fleet.EndpointProcess(endpoint).Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(
        0, fleet.EndpointProcess(endpoint).WaitForExit(kCallerTimeout));
    const int before = tally.Answered();
    CPPUNIT_ASSERT(WaitUntil([&] { return tally.Answered() > before + 20; }));
  }
  stop = true;
  callers.clear();
  AssertAllComplete(fleet, streams.Answers());
  CPPUNIT_ASSERT_EQUAL(std::string(), tally.Failures());
  // Each caller may have had one call under way when the drain began.
  CPPUNIT_ASSERT(CountAdmittedInDrain(fleet, "draft-1") <= kCallers);
  std::map<std::string, int> runs;
  for (const nlohmann::json& line : fleet.EngineHistory())
    ++runs[line.value("request", "")];
  for (const auto& [request, count] : runs)
    CPPUNIT_ASSERT_EQUAL_MESSAGE(request, 1, count);
}

/** Asserts that router 0 cut off and logged exactly these requests. */
void AssertCutOff(LocalFleet& fleet,
                  const std::vector<StreamedAnswer>& answers,
                  const char* reason) {
  CPPUNIT_ASSERT_EQUAL(kCutOffExitCode,
                       fleet.RouterProcess(0).WaitForExit(kCallerTimeout));
  const nlohmann::json line = FirstLogLine(fleet, "router-0", "cut_off");
  CPPUNIT_ASSERT_EQUAL(std::string(reason), line.value("reason", ""));
  const auto logged = line.value("requests", std::vector<std::string>());
  CPPUNIT_ASSERT_EQUAL(answers.size(), logged.size());
  for (const StreamedAnswer& answer : answers) {
    CPPUNIT_ASSERT(!answer.complete);
    CPPUNIT_ASSERT(std::find(logged.begin(), logged.end(), answer.request_id) !=
                   logged.end());
  }
}

void InterruptLogsCutOffRequests() {
  LocalFleet fleet(DrainPlan());
  RunningStreams streams(fleet, 3);
  fleet.RouterProcess(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return IsDraining(fleet.RouterOperator(0)); }));
  fleet.RouterProcess(0).Signal(SIGINT);
  AssertCutOff(fleet, streams.Answers(), "interrupt");
}

void DrainTimeoutLogsCutOffRequests() {
  FleetPlan plan = DrainPlan();
  plan.settings["drain_timeout"] = 100;
  LocalFleet fleet(plan);
  RunningStreams streams(fleet, 3);
  fleet.RouterProcess(0).Signal(SIGTERM);
  AssertCutOff(fleet, streams.Answers(), "drain_timeout");
}

/** Callers connect and send while the router is paused; when it wakes, it finds
 * them together with SIGTERM. */
void ConnectionsOfAPauseAreAnswered() {
  constexpr int kConnections = 40;
  LocalFleet fleet(DrainPlan());
  ChildProcess& router = fleet.RouterProcess(0);
  router.Signal(SIGSTOP);
  std::vector<std::unique_ptr<ByteConnection>> callers;
  for (int i = 0; i < kConnections; ++i) {
    callers.push_back(std::make_unique<ByteConnection>(fleet.Router(0)));
    callers.back()->Send(
        "GET /v1/none HTTP/1.1\r\nHost: h.example\r\n"
        "Connection: close\r\n\r\n");
  }
  router.Signal(SIGTERM);
  router.Signal(SIGCONT);
  int answered = 0;
  for (const auto& caller : callers)
    answered += ParseRawAnswer(caller->ReadToEnd()).status != 0 ? 1 : 0;
  CPPUNIT_ASSERT_EQUAL(kConnections, answered);
  CPPUNIT_ASSERT_EQUAL(0, router.WaitForExit(kCallerTimeout));
}

const Story kStory("shutdown", [] {
  return Section(
      "given a fleet with streams and plain calls in flight",
      {Section("when a router receives SIGTERM",
               {Then("every stream completes and new requests are refused",
                     DrainingRouterCompletesStreams),
                Then("a partially received request is answered",
                     PartialRequestIsAnswered),
                Then("a plain call in flight is answered",
                     PlainCallInFlightIsAnswered),
                Then("connections made during a pause are answered",
                     ConnectionsOfAPauseAreAnswered)}),
       Section("when an operator drains a router twice and SIGTERM follows",
               {Then("nothing is cut off", RepeatedDrainCutsNothingOff)}),
       Section("when endpoint processes drain while routers still send",
               {Then("no call is lost and none runs twice",
                     EndpointsDrainUnderLoad)}),
       Section("when SIGINT arrives during the drain",
               {Then("it cuts off the open requests and logs their IDs",
                     InterruptLogsCutOffRequests)}),
       Section("when the drain timeout is reached",
               {Then("it cuts off the open requests and logs their IDs",
                     DrainTimeoutLogsCutOffRequests)})});
});

}  // namespace

}  // namespace buckthornpath
