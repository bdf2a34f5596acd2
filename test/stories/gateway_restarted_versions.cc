/** @file gateway_restarted_versions.cc Endpoints that start again under their
 * ids and addresses with another software version, which a gateway does not
 * know yet. */

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

/** Time for which word of the new version is held back. */
constexpr milliseconds kLateness{150};

/** Time between the end of an engine's process and the start of the next. */
constexpr milliseconds kStartTime{100};

/** Limit of the wait of a stream that goes on for word of the store. */
constexpr milliseconds kConfirmationLimit{400};

/** Two engines of one version, and a stream at one of them that breaks when the
 * test says so. */
class RestartedEngine {
 public:
  RestartedEngine() : engines({"v1", "v1"}, Plan()) {
    this->engines.SetScript([this](const VersionedCall& call) {
      if (call.call.Id() != "kept" || call.First() > 1) {
        this->Serve(call);
        return;
      }
      call.call.BeginEvents();
      call.Events(1, 2);
      WaitUntil([this] { return this->must_break.load(); });
      call.call.Close(false);
    });
    this->caller = std::jthread([this] {
      this->kept = this->engines.Call({.id = "kept", .path = "/talk/kept"});
    });
    CPPUNIT_ASSERT(
        WaitUntil([this] { return this->engines.CountOf("kept") == 1; }));
    this->other = 1 - this->engines.EngineOf("kept");
  }

  /** A stream at the other engine, whose crash shows the gateway that its
   * process has ended. */
  void ShowEndOfOther(const std::function<void()>& restart) {
    VersionedAnswer seen;
    std::jthread second([&] {
      seen = this->engines.Call({.id = "seen", .path = "/talk/seen"});
    });
    CPPUNIT_ASSERT(
        WaitUntil([this] { return this->engines.CountOf("seen") == 1; }));
    CPPUNIT_ASSERT_EQUAL(this->other, this->engines.EngineOf("seen"));
    restart();
    this->may_serve = true;
    second.join();
    AssertWhole(seen, 1);
  }

  /** The other engine starts again; what the store holds says so. */
  void RestartOther(const std::string& version) {
    ScriptedEndpoint& engine = this->Parts().Engine(this->other);
    engine.Crash();
    std::this_thread::sleep_for(kStartTime);
    this->engines.Publish(this->other, version);
    engine.Recover();
  }

  /** Ends the engine that has not started again. */
  void CrashFirst() { this->Parts().Engine(1 - this->other).Crash(); }

  /** @return What the caller gets of the stream that breaks now. */
  VersionedAnswer Break() {
    this->must_break = true;
    this->caller.join();
    return this->kept;
  }

  /** Fails if events of another version follow the first ones. */
  static void AssertOneVersion(const VersionedAnswer& answer) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.versions.size());
    CPPUNIT_ASSERT(answer.HasEvents(1, 2));
    CPPUNIT_ASSERT(!answer.IsComplete());
  }

  GatewayFleet& Parts() { return this->engines.Parts(); }
  VersionedFleet& Engines() { return this->engines; }

 private:
  static GatewayPlan Plan() {
    GatewayPlan plan;
    plan.store_proxied = true;
    return plan;
  }

  /** Serves a stream; the one that shows the end of an engine is held by the
   * first that gets it. */
  void Serve(const VersionedCall& call) {
    if (call.call.Id() != "seen" || call.First() > 1) {
      call.Serve();
      return;
    }
    call.call.BeginEvents();
    call.Events(1, 2);
    WaitUntil([this] { return this->may_serve.load(); });
    call.call.Close(false);
  }

  std::atomic<bool> must_break = false;
  std::atomic<bool> may_serve = false;
  VersionedFleet engines;
  std::size_t other = 0;
  VersionedAnswer kept;
  std::jthread caller;
};

/** Guards against a stream that goes on at a process that the gateway takes for
 * the one before it, whose end it has seen. */
void StoreIsDown() {
  RestartedEngine fleet;
  fleet.ShowEndOfOther([&] {
    fleet.Parts().Store().SetMode(StoreMode::kBusy);
    fleet.RestartOther("v2");
  });
  RestartedEngine::AssertOneVersion(fleet.Break());
}

/** A stream that begins at such a process has no known version. */
void StreamBeginsWhileTheStoreIsDown() {
  RestartedEngine fleet;
  fleet.ShowEndOfOther([&] {
    fleet.Parts().Store().SetMode(StoreMode::kBusy);
    fleet.RestartOther("v2");
  });
  VersionedFleet& engines = fleet.Engines();
  fleet.Break();
  fleet.CrashFirst();
  std::string begun;
  int tries = 0;
  CPPUNIT_ASSERT(WaitUntil([&] {
    begun = "new-" + std::to_string(++tries);
    return engines.Call({.id = begun, .path = "/talk/" + begun})
        .versions.contains("v2");
  }));
  AssertUnknown(engines, TakeUp("again", begun));
}

/** Guards against the same after the gateway stood still: word of the new
 * process is on its way. */
void GatewayStoodStill() {
  RestartedEngine fleet;
  FaultProxy& store = fleet.Parts().StoreProxy(0);
  const ChildProcess& gateway = fleet.Parts().Gateway(0);
  store.Hold();
  gateway.Signal(SIGSTOP);
  fleet.RestartOther("v2");
  std::jthread release([&] {
    std::this_thread::sleep_for(kLateness);
    store.Release();
  });
  gateway.Signal(SIGCONT);
  RestartedEngine::AssertOneVersion(fleet.Break());
}

/** A process of the same version is no obstacle, nor is a store that is down if
 * no process has ended. */
void SameVersionGoesOn() {
  RestartedEngine fleet;
  fleet.ShowEndOfOther([&] { fleet.RestartOther("v1"); });
  AssertWhole(fleet.Break(), 1);
}

void EngineThatHasNotEndedGoesOn() {
  RestartedEngine fleet;
  fleet.Parts().Store().SetMode(StoreMode::kBusy);
  const auto start = std::chrono::steady_clock::now();
  AssertWhole(fleet.Break(), 1);
  CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start <
                 kConfirmationLimit + kAtOnce);
}

const Story kStory("gateway_restarted_versions", [] {
  return Section(
      "given an engine that starts again under its id",
      {Section("when its new version cannot be known, as the store is down",
               {Then("no stream of the one before goes on there", StoreIsDown),
                Then("streams that begin there are not taken up",
                     StreamBeginsWhileTheStoreIsDown),
                Then("streams go on at engines that have not ended",
                     EngineThatHasNotEndedGoesOn)}),
       Section("when the gateway stood still, and hears of it late",
               {Then("no stream of the one before goes on there",
                     GatewayStoodStill)}),
       Section("when it has the same version",
               {Then("streams go on there", SameVersionGoesOn)})});
});

}  // namespace

}  // namespace buckthornpath
