/** @file gateway_version_waits.cc Requests that wait for endpoints that may not
 * serve them any more. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>

#include "harness/caller.h"
#include "harness/story.h"
#include "harness/versioned_fleet.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Less than the wait for an endpoint, and more than a publication takes, or
 * than a gateway that ends serves on. */
constexpr milliseconds kSoon{6000};

/** Limit of all routes with which the wait for an endpoint is 15 s. */
constexpr milliseconds kLongLimit{30000};

/** Two engines of a version each, whose only connections are in use, and a
 * stream that the caller takes up and that waits for one of them. */
class WaitingTakeUp {
 public:
  WaitingTakeUp() {
    this->engines.Configure(kLongLimit);
    this->engines.BeginBrokenStream("begun");
    this->engines.SetScript([this](const VersionedCall& call) {
      call.call.BeginEvents();
      call.Event(call.First());
      WaitUntil([this] { return this->may_end.load(); });
      call.Events(call.First() + 1, kLastVersionedEvent);
      call.call.EndEvents();
    });
    for (const std::string id : {"hold-1", "hold-2"}) {
      this->callers.emplace_back([this, id] {
        this->engines.Call({.id = id, .path = "/talk/" + id});
      });
    }
    CPPUNIT_ASSERT(WaitUntil([&] {
      return this->engines.CountOf("hold-1") +
                 this->engines.CountOf("hold-2") ==
             2;
    }));
    this->callers.emplace_back([this] {
      this->answer = this->engines.Call(TakeUp("waits", "begun"));
      this->is_answered = true;
    });
    // The waiting request has no effect that could be waited for.
    std::this_thread::sleep_for(milliseconds(200));
    CPPUNIT_ASSERT(!this->is_answered);
  }

  ~WaitingTakeUp() {
    this->may_end = true;
    this->callers.clear();
  }

  VersionedFleet& Engines() { return this->engines; }

  /** @return The engine that began the stream. */
  std::size_t Engine() { return this->engines.EngineOf("begun"); }

  /** Fails the test unless the request is refused soon, while the connections
   * are still in use, and reaches no engine. */
  void AssertRefusedSoon() {
    CPPUNIT_ASSERT(WaitUntil([&] { return this->is_answered.load(); }, kSoon));
    CPPUNIT_ASSERT_EQUAL(503U, this->answer.raw.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->engines.CountOf("waits"));
  }

 private:
  static GatewayPlan OneConnection() {
    GatewayPlan plan;
    plan.max_connections = 1;
    return plan;
  }

  std::atomic<bool> may_end = false;
  std::atomic<bool> is_answered = false;
  VersionedAnswer answer;
  VersionedFleet engines{{"v1", "v2"}, OneConnection()};
  std::vector<std::jthread> callers;
};

void WaitEndsWith(const std::function<void(WaitingTakeUp& waiting)>& change) {
  WaitingTakeUp waiting;
  change(waiting);
  waiting.AssertRefusedSoon();
}

const Story kStory("gateway_version_waits", [] {
  return Section(
      "given a stream that is taken up and waits for its version",
      {Section("when no endpoint can serve it any more",
               {Then("it is refused when the last one is removed",
                     [] {
                       WaitEndsWith([](WaitingTakeUp& waiting) {
                         waiting.Engines().Remove(waiting.Engine());
                       });
                     }),
                Then("or drains",
                     [] {
                       WaitEndsWith([](WaitingTakeUp& waiting) {
                         const std::size_t engine = waiting.Engine();
                         waiting.Engines().Publish(
                             engine, waiting.Engines().VersionOf(engine),
                             "draining");
                       });
                     }),
                Then("or changes its version",
                     [] {
                       WaitEndsWith([](WaitingTakeUp& waiting) {
                         waiting.Engines().Publish(waiting.Engine(), "v3");
                       });
                     }),
                Then("or the gateway ends", [] {
                  WaitEndsWith([](WaitingTakeUp& waiting) {
                    waiting.Engines().Parts().Gateway(0).Signal(SIGTERM);
                  });
                })})});
});

}  // namespace

}  // namespace buckthornpath
