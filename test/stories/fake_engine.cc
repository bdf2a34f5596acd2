/** @file fake_engine.cc The fake model engine behaves as tests assume. */

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "fakes/generation.h"
#include "harness/caller.h"
#include "harness/child_process.h"
#include "harness/local_fleet.h"
#include "harness/story.h"
#include "kernel/http_client.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

/** One fake engine process without a fleet. */
class StandaloneEngine {
 public:
  explicit StandaloneEngine(std::vector<std::string> arguments)
      : address(ParseSocketAddress(this->claim.Network() + "7:7000")) {
    arguments.push_back("--address=" + FormatSocketAddress(this->address));
    this->process =
        std::make_unique<ChildProcess>("fake_engine", arguments, "/dev/null");
    CPPUNIT_ASSERT(WaitUntil([this] {
      try {
        return this->Load().is_object();
      } catch (const HttpError&) {
        return false;
      }
    }));
  }

  nlohmann::json Load() const { return this->Get("/v1/load"); }

  nlohmann::json Get(const std::string& target) const {
    HttpRequest request;
    request.target = target;
    return nlohmann::json::parse(CallHttp(this->address, request).body);
  }

  unsigned Control(const nlohmann::json& faults) const {
    HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = faults.dump();
    return CallHttp(this->address, request).status;
  }

  const NetworkClaim claim;
  const SocketAddress address;

 private:
  std::unique_ptr<ChildProcess> process;
};

HttpRequest CompletionRequest(const std::string& id,
                              const std::string& prompt,
                              int tokens,
                              int priority = 0) {
  HttpRequest request = ChatRequest("", "", "", prompt, tokens);
  auto body = nlohmann::json::parse(request.body);
  body["stream_options"] = {{"include_usage", true}};
  request.body = body.dump();
  request.headers.Append("X-Request-Id", id);
  request.headers.Append("X-Priority", std::to_string(priority));
  return request;
}

/** @return Data of the events in a body; ends in "[DONE]" if complete. */
std::vector<std::string> ParseEvents(const std::string& body) {
  EventStreamParser reader;
  reader.Feed(body);
  std::vector<std::string> events;
  while (auto event = reader.Next())
    events.push_back(event->data);
  return events;
}

std::size_t CachedTokens(const StandaloneEngine& engine,
                         const HttpRequest& request) {
  const auto events = ParseEvents(CallHttp(engine.address, request).body);
  CPPUNIT_ASSERT(events.size() >= 2);
  CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), events.back());
  return nlohmann::json::parse(events.at(events.size() - 2))
      .at("usage")
      .at("prompt_tokens_details")
      .at("cached_tokens");
}

std::string LongPrompt(const std::string& subject) {
  std::string prompt;
  for (int i = 0; i < 64; ++i)
    prompt += subject + std::to_string(i) + " ";
  return prompt;
}

void CachedPrefixIsReused() {
  const StandaloneEngine engine({});
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{0},
      CachedTokens(engine, CompletionRequest("a", LongPrompt("gift"), 4)));
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{64},
      CachedTokens(engine,
                   CompletionRequest("b", LongPrompt("gift") + "and then", 4)));
}

void OldPrefixIsEvicted() {
  const StandaloneEngine engine({"--cache-tokens=64"});
  CachedTokens(engine, CompletionRequest("a", LongPrompt("gift"), 1));
  CachedTokens(engine, CompletionRequest("b", LongPrompt("floor"), 1));
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{0},
      CachedTokens(engine, CompletionRequest("c", LongPrompt("gift"), 1)));
}

void CacheEventsHaveGaps() {
  const StandaloneEngine engine({"--event-gap-every=2"});
  CachedTokens(engine, CompletionRequest("a", LongPrompt("gift"), 1));
  const auto events = engine.Get("/v1/cache_events?after=1").at("events");
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
  CPPUNIT_ASSERT_EQUAL(3, events[0].value("sequence", 0));
}

void HigherPriorityRunsFirst() {
  const StandaloneEngine engine({"--max-batch=1", "--step-ms=5"});
  std::vector<std::string> finished;
  std::mutex mutex;
  const auto run = [&](const std::string& id, int tokens, int priority) {
    CallHttp(engine.address, CompletionRequest(id, "words", tokens, priority));
    const std::lock_guard lock(mutex);
    finished.push_back(id);
  };
  std::jthread first(run, "first", 100, 0);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return engine.Load().value("running", 0) == 1; }));
  std::jthread bulk(run, "bulk", 20, 2);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return engine.Load().value("waiting", 0) == 1; }));
  std::jthread urgent(run, "urgent", 20, 0);
  urgent.join();
  bulk.join();
  first.join();
  const std::vector<std::string> expected = {"first", "urgent", "bulk"};
  CPPUNIT_ASSERT(expected == finished);
}

void BrokenStreamIsResumed() {
  const StandaloneEngine engine({});
  CPPUNIT_ASSERT_EQUAL(200U,
                       engine.Control({{"break_next", 1}, {"break_after", 5}}));
  HttpRequest request = CompletionRequest("a", "some words", 20);
  CPPUNIT_ASSERT_THROW(CallHttp(engine.address, request), HttpError);
  request.headers.Append("X-Resume-After", "5");
  const auto rest = ParseEvents(CallHttp(engine.address, request).body);
  const auto expected = ExpectedChunks(request);
  CPPUNIT_ASSERT_EQUAL(std::size_t{17}, rest.size());
  CPPUNIT_ASSERT_EQUAL(expected.at(5), rest.front());
  CPPUNIT_ASSERT_EQUAL(expected.back(), rest.at(14));
}

void UnknownStreamIsNotResumed() {
  const StandaloneEngine engine({});
  HttpRequest request = CompletionRequest("never", "some words", 20);
  request.headers.Append("X-Resume-After", "5");
  CPPUNIT_ASSERT_EQUAL(404U, CallHttp(engine.address, request).status);
}

void CancelledStreamIsIncomplete() {
  const StandaloneEngine engine({"--step-ms=5"});
  bool was_cut_off = false;
  std::jthread caller([&] {
    try {
      CallHttp(engine.address, CompletionRequest("a", "words", 100000));
    } catch (const HttpError&) {
      was_cut_off = true;
    }
  });
  CPPUNIT_ASSERT(
      WaitUntil([&] { return engine.Load().value("running", 0) == 1; }));
  HttpRequest cancel;
  cancel.method = "DELETE";
  cancel.target = "/v1/requests/a";
  CPPUNIT_ASSERT_EQUAL(204U, CallHttp(engine.address, cancel).status);
  caller.join();
  CPPUNIT_ASSERT(was_cut_off);
  CPPUNIT_ASSERT_EQUAL(0, engine.Load().value("running", 1));
  CPPUNIT_ASSERT_EQUAL(404U, [&] {
    cancel.target = "/v1/requests/never";
    return CallHttp(engine.address, cancel).status;
  }());
}

void RequestedFaultsAreInjected() {
  const StandaloneEngine engine({});
  engine.Control({{"fail_next", 1}});
  CPPUNIT_ASSERT_EQUAL(
      503U, CallHttp(engine.address, CompletionRequest("a", "x", 3)).status);
  engine.Control({{"empty_next", 1}});
  CPPUNIT_ASSERT_EQUAL(
      std::size_t{2},
      ParseEvents(CallHttp(engine.address, CompletionRequest("b", "x", 3)).body)
          .size());
  CPPUNIT_ASSERT_EQUAL(400U, engine.Control("nothing"));
}

const Story kStory("fake_engine", [] {
  return Section(
      "given one fake model engine",
      {Section("when prompts share a prefix",
               {Then("cached blocks are reused", CachedPrefixIsReused),
                Then("blocks beyond the cache size are evicted",
                     OldPrefixIsEvicted),
                Then("the sequence of cache events has the requested gaps",
                     CacheEventsHaveGaps)}),
       Section("when its batch is full",
               {Then("the request of higher priority runs first",
                     HigherPriorityRunsFirst)}),
       Section(
           "when a stream ends early",
           {Then("it is resumed after the last token", BrokenStreamIsResumed),
            Then("an unknown stream is not resumed", UnknownStreamIsNotResumed),
            Then("a cancelled stream is not complete",
                 CancelledStreamIsIncomplete)}),
       Section("when a fault is requested",
               {Then("the next request fails accordingly",
                     RequestedFaultsAreInjected)})});
});

}  // namespace

}  // namespace buckthornpath
