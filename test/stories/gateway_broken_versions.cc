/** @file gateway_broken_versions.cc Many streams of two software versions that
 * break off at once. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/story.h"
#include "harness/versioned_fleet.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** What became of streams that broke off. */
struct Outcomes {
  std::size_t within = 0;    ///< Went on within one answer.
  std::size_t taken_up = 0;  ///< Went on when the caller took them up.
  std::size_t lost = 0;
  std::size_t mixed = 0;  ///< Hold events of two versions.
};

/** Two endpoints of each of two versions. A crash ends one of them in the
 * middle of its streams. */
class CrashingFleet {
 public:
  CrashingFleet() {
    this->engines.SetScript([this](const VersionedCall& call) {
      if (call.First() > 1) {
        call.Serve();
        return;
      }
      call.call.BeginEvents();
      call.Events(1, 2);
      ++this->begun;
      WaitUntil([this] { return this->may_go_on.load(); });
      call.Events(3, kLastVersionedEvent);
      call.call.EndEvents();
    });
  }

  /** Begins streams, and crashes one engine once all have begun. */
  void Crash(std::size_t streams) {
    this->first.resize(streams);
    std::vector<std::jthread> callers;
    callers.reserve(streams);
    for (std::size_t i = 0; i < streams; ++i) {
      callers.emplace_back([this, i] {
        this->first[i] =
            this->engines.Call({.id = IdOf(i), .path = "/talk/" + IdOf(i)});
      });
    }
    const bool have_begun =
        WaitUntil([&] { return this->begun == streams; }, milliseconds(3000));
    this->broken = this->engines.Parts().Engine(0).Received().size();
    this->engines.Parts().Engine(0).Crash();
    // Those that broke off have gone on before the others end.
    std::this_thread::sleep_for(milliseconds(300));
    this->may_go_on = true;
    callers.clear();
    CPPUNIT_ASSERT(have_begun);
  }

  /** Takes up what was cut. @return What became of all streams. */
  Outcomes TakeUpAll() {
    Outcomes outcomes;
    for (std::size_t i = 0; i < this->first.size(); ++i) {
      const VersionedAnswer& answer = this->first[i];
      if (answer.IsWhole(1)) {
        outcomes.within += this->engines.CountOf(IdOf(i)) > 1 ? 1 : 0;
        continue;
      }
      outcomes.mixed += answer.versions.size() > 1 ? 1 : 0;
      const VersionedAnswer rest =
          this->engines.Call(TakeUp("again-" + std::to_string(i), IdOf(i)));
      const bool is_whole = rest.IsWhole(3);
      outcomes.taken_up += is_whole ? 1 : 0;
      outcomes.lost += is_whole ? 0 : 1;
      if (is_whole && rest.versions != answer.versions)
        ++outcomes.mixed;
    }
    return outcomes;
  }

  /** @return Streams that the engine had when it crashed. */
  std::size_t Broken() const { return this->broken; }

 private:
  static std::string IdOf(std::size_t i) {
    return "stream-" + std::to_string(i);
  }
  static GatewayPlan Plan() {
    GatewayPlan plan;
    plan.slots = 100;
    plan.max_connections = 400;
    return plan;
  }

  std::atomic<std::size_t> begun = 0;
  std::atomic<bool> may_go_on = false;
  std::size_t broken = 0;
  std::vector<VersionedAnswer> first;
  VersionedFleet engines{{"v1", "v2", "v1", "v2"}, Plan()};
};

void BrokenStreamsGoOn() {
  constexpr std::size_t kStreams = 120;
  constexpr std::size_t kFewestBroken = 25;
  CrashingFleet crashing;
  crashing.Crash(kStreams);
  const Outcomes outcomes = crashing.TakeUpAll();
  std::cout << "broken " << crashing.Broken() << ", within one answer "
            << outcomes.within << ", taken up " << outcomes.taken_up
            << ", lost " << outcomes.lost << "\n";
  CPPUNIT_ASSERT(crashing.Broken() >= kFewestBroken);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.mixed);
  CPPUNIT_ASSERT(10 * outcomes.lost <= crashing.Broken());
  CPPUNIT_ASSERT(outcomes.within + outcomes.taken_up + outcomes.lost >=
                 crashing.Broken());
}

const Story kStory("gateway_broken_versions", [] {
  return Section("given two endpoints of each of two versions",
                 {Section("when one of them crashes with many streams",
                          {Then("nine in ten go on at the other one",
                                BrokenStreamsGoOn)})});
});

}  // namespace

}  // namespace buckthornpath
