/** @file gateway_versions.cc Streams of a service whose endpoints are of two
 * software versions. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/story.h"
#include "harness/versioned_fleet.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Longer than a gateway waits for a silent stream, and shorter than a caller
 * does. */
constexpr milliseconds kPause{1500};

/** What proves a sole version: see forward_version.cc. */
constexpr milliseconds kProofMargin{5000};

milliseconds Since(Clock::time_point start) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start);
}

// Within one answer.

void BrokenStreamIsCutAtOnce() {
  VersionedFleet engines({"v1", "v2"});
  engines.SetScript([](const VersionedCall& call) {
    if (call.First() == 1)
      call.ServeUntil(2);
    else
      call.Serve();
  });
  const VersionedAnswer answer = engines.Call({.id = "cut"});
  CPPUNIT_ASSERT_EQUAL(200U, answer.raw.status);
  CPPUNIT_ASSERT(!answer.IsComplete());
  CPPUNIT_ASSERT(answer.HasEvents(1, 2));
  CPPUNIT_ASSERT(answer.took < kAtOnce);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engines.CountOf("cut"));
}

/** Guards against a stream that moves from one unknown version to another. */
void StreamOfNoVersionIsCutAtOnce() {
  VersionedFleet engines({"", ""});
  engines.SetScript([](const VersionedCall& call) {
    if (call.First() == 1)
      call.ServeUntil(2);
    else
      call.Serve();
  });
  const VersionedAnswer answer = engines.Call({.id = "no-version"});
  CPPUNIT_ASSERT(!answer.IsComplete());
  CPPUNIT_ASSERT(answer.HasEvents(1, 2));
  CPPUNIT_ASSERT(answer.took < kAtOnce);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engines.CountOf("no-version"));
  AssertUnknown(engines, TakeUp("take-up", "no-version"));
}

void BrokenStreamGoesOnAtItsVersion() {
  constexpr int kStreams = 6;
  VersionedFleet engines({"v1", "v2", "v1", "v2"});
  engines.SetScript([](const VersionedCall& call) {
    if (call.First() == 1)
      call.ServeUntil(2);
    else
      call.Serve();
  });
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "goes-on-" + std::to_string(i);
    AssertWhole(engines.Call({.id = id, .path = "/talk/" + id}), 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engines.CountOf(id));
  }
}

void PausedStreamStaysAtItsVersion() {
  VersionedFleet engines({"v1", "v2"});
  engines.SetScript([](const VersionedCall& call) {
    if (call.First() > 1) {
      call.Serve();
      return;
    }
    call.call.BeginEvents();
    call.Event(1);
    std::this_thread::sleep_for(kPause);
    call.Events(2, kLastVersionedEvent);
    call.call.EndEvents();
  });
  AssertWhole(engines.Call({.id = "stays"}), 1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engines.CountOf("stays"));
}

void PausedStreamMovesWithinItsVersion() {
  constexpr int kStreams = 4;
  VersionedFleet engines({"v1", "v2", "v1", "v2"});
  engines.SetScript([](const VersionedCall& call) {
    if (call.First() > 1) {
      call.Serve();
      return;
    }
    call.call.BeginEvents();
    call.Event(1);
    call.call.WaitForClose(milliseconds(3000));
  });
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "moves-" + std::to_string(i);
    AssertWhole(engines.Call({.id = id, .path = "/talk/" + id}), 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engines.CountOf(id));
  }
}

/** Before its first event, a stream may go on anywhere. */
void SilentEndpointIsReplacedByAnyVersion() {
  std::atomic<int> begun = 0;
  VersionedFleet engines({"v1", "v2"});
  engines.SetScript([&](const VersionedCall& call) {
    if (++begun == 2) {
      call.Serve();
      return;
    }
    call.call.BeginEvents();
    call.call.WaitForClose(milliseconds(3000));
  });
  AssertWhole(engines.Call({.id = "replaced"}), 1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engines.CountOf("replaced"));
}

/** Streams at two endpoints each that send their first bytes while the gateway
 * stands still. */
class Meeting {
 public:
  explicit Meeting(std::size_t streams) : arrivals(streams) {}

  /** What an endpoint does with a stream. */
  void Attend(const VersionedCall& call) {
    const std::string id = call.call.Id();
    const std::size_t number = std::stoul(id.substr(id.find('-') + 1));
    const bool is_second = this->arrivals.at(number)++ > 0;
    if (!is_second)
      call.call.BeginEvents();
    ++this->present;
    WaitUntil([this] { return this->may_send.load(); });
    // Whose bytes come first differs.
    if (is_second == (number % 2 == 0))
      std::this_thread::sleep_for(kLater);
    // The gateway needs two reads for a long comment, and other things
    // happen in between.
    if (is_second) {
      call.call.BeginEvents();
      call.Event(call.First());
    } else {
      call.CommentAndEvent(call.First());
    }
    ++this->sent;
    WaitUntil([this] { return this->may_go_on.load(); });
    call.Events(call.First() + 1, kLastVersionedEvent);
    call.call.EndEvents();
  }

  /** Lets all streams send once both endpoints of each have come. */
  void Hold(ChildProcess& gateway) {
    const std::size_t all = 2 * this->arrivals.size();
    CPPUNIT_ASSERT(WaitUntil([&] { return this->present == all; }));
    gateway.Signal(SIGSTOP);
    this->may_send = true;
    const bool has_sent = WaitUntil([&] { return this->sent == all; });
    gateway.Signal(SIGCONT);
    std::this_thread::sleep_for(kLater);
    this->may_go_on = true;
    CPPUNIT_ASSERT(has_sent);
  }

 private:
  static constexpr milliseconds kLater{20};

  std::vector<std::atomic<int>> arrivals;
  std::atomic<std::size_t> present = 0;
  std::atomic<std::size_t> sent = 0;
  std::atomic<bool> may_send = false;
  std::atomic<bool> may_go_on = false;
};

/** Guards against events of one endpoint after those of another one that were
 * passed on at the moment at which it was replaced. */
void FirstEventsAtTheSameMomentAreOfOneVersion() {
  constexpr std::size_t kStreams = 200;
  Meeting meeting(kStreams);
  GatewayPlan plan;
  plan.slots = 400;
  plan.max_connections = 2000;
  plan.settings = {{"retry_slack", 100000}};
  VersionedFleet engines({"v1", "v2"}, plan);
  engines.SetScript([&](const VersionedCall& call) { meeting.Attend(call); });
  std::vector<VersionedAnswer> answers(kStreams);
  {
    std::vector<std::jthread> callers;
    callers.reserve(kStreams);
    for (std::size_t i = 0; i < kStreams; ++i) {
      callers.emplace_back([&, i] {
        const std::string id = "race-" + std::to_string(i);
        answers[i] = engines.Call({.id = id, .path = "/talk/" + id});
      });
    }
    meeting.Hold(engines.Parts().Gateway(0));
  }
  std::size_t mixed = 0;
  std::size_t whole = 0;
  std::set<std::string> winners;
  for (const VersionedAnswer& answer : answers) {
    mixed += answer.versions.size() > 1 ? 1 : 0;
    whole += answer.IsWhole(1) ? 1 : 0;
    winners.insert(answer.versions.begin(), answer.versions.end());
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mixed);
  CPPUNIT_ASSERT_EQUAL(kStreams, whole);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, winners.size());
}

// Taken up by the caller.

/** The caller names the first request each time. */
void TakeUpsGoOnAtTheVersionThatBegan() {
  constexpr int kStreams = 6;
  VersionedFleet engines({"v1", "v2", "v1", "v2"});
  for (int i = 0; i < kStreams; ++i) {
    const std::string first = "first-" + std::to_string(i);
    const std::string version = engines.BeginBrokenStream(first);
    engines.SetScript([](const VersionedCall& call) {
      const bool is_last = call.call.Id().starts_with("third-");
      if (is_last)
        call.Serve();
      else
        call.ServeUntil(4);
    });
    const VersionedAnswer second =
        engines.Call(TakeUp("second-" + std::to_string(i), first));
    CPPUNIT_ASSERT(second.HasEvents(3, 4));
    StreamCall again = TakeUp("third-" + std::to_string(i), first);
    again.last_event = "4";
    const VersionedAnswer third = engines.Call(again);
    AssertWhole(third, 5);
    CPPUNIT_ASSERT_EQUAL(version, *second.versions.begin());
    CPPUNIT_ASSERT_EQUAL(version, *third.versions.begin());
  }
}

/** Guards against the refusal of streams of a split route, whose take-ups are
 * other requests, and may be of another service's share. */
void TakeUpOfASplitRouteGoesBack() {
  constexpr int kStreams = 8;
  VersionedFleet engines({"v1", "v2"});
  nlohmann::json next = StandardConfiguration(100);
  const nlohmann::json split = {{{"service", "llm"}, {"weight", 1}},
                                {{"service", "other"}, {"weight", 1}}};
  next["routes"][0].erase("service");
  next["routes"][0]["split"] = split;
  next["services"].push_back({{"name", "other"}, {"maxConns", 100}});
  nlohmann::json entry = engines.Parts().EntryOf("engine", 1, "ready");
  entry["version"] = "v2";
  entry["service"] = "other";
  engines.Parts().Store().Put("servers/engine-1", entry);
  engines.Parts().Store().Put("op/config", next);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(engines.Parts().Operator(0))
               .value("configuration", 0) == 100;
  }));
  std::set<std::string> versions;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "split-" + std::to_string(i);
    const std::string version = engines.BeginBrokenStream(id);
    const VersionedAnswer rest =
        engines.Call(TakeUp("again-" + std::to_string(i), id));
    AssertWhole(rest, 3);
    CPPUNIT_ASSERT_EQUAL(version, *rest.versions.begin());
    versions.insert(version);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, versions.size());
}

void UnprovenTakeUpIsRefused() {
  VersionedFleet engines({"v1", "v2"});
  StreamCall nameless = TakeUp("nameless", "");
  nameless.path = "/talk/x";
  AssertUnknown(engines, nameless);
  AssertUnknown(engines, TakeUp("unknown", "never-seen"));
  const VersionedAnswer fresh = engines.Call({.id = "new"});
  AssertWhole(fresh, 1);
  CPPUNIT_ASSERT(fresh.took < kAtOnce);
}

/** Guards against texts joined from two versions after all gateways were killed
 * at once. */
void TakeUpAfterTheDeathOfTheGatewayIsRefused() {
  VersionedFleet engines({"v1", "v2"});
  engines.BeginBrokenStream("before");
  engines.Parts().Gateway(0).Signal(SIGKILL);
  engines.Parts().Gateway(0).WaitForExit(kCallerTimeout);
  engines.Parts().Restart(0);
  CPPUNIT_ASSERT(WaitUntil([&] { return engines.Parts().IsReady(0); }));
  AssertUnknown(engines, TakeUp("after", "before"));
  const VersionedAnswer fresh = engines.Call({.id = "new"});
  AssertWhole(fresh, 1);
  CPPUNIT_ASSERT(fresh.took < kAtOnce);
}

void TakeUpWithoutAnEndpointOfItsVersionIsRefused(
    const std::function<void(VersionedFleet& engines, std::size_t engine)>&
        leave) {
  VersionedFleet engines({"v1", "v2"});
  engines.BeginBrokenStream("gone");
  leave(engines, engines.EngineOf("gone"));
  engines.AwaitPublication();
  const VersionedAnswer answer = engines.Call(TakeUp("late", "gone"));
  CPPUNIT_ASSERT_EQUAL(503U, answer.raw.status);
  CPPUNIT_ASSERT(answer.took < kAtOnce);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, engines.CountOf("late"));
}

/** Asks until a stream that nothing is known of is taken up.
 * @return The answer; its time is that since `start`. */
VersionedAnswer AwaitSoleVersion(VersionedFleet& engines,
                                 Clock::time_point start) {
  VersionedAnswer answer;
  int tries = 0;
  CPPUNIT_ASSERT(WaitUntil(
      [&] {
        StreamCall call = TakeUp("sole-" + std::to_string(++tries), "unseen");
        answer = engines.Call(call);
        answer.took = Since(start);
        return answer.raw.status == 200;
      },
      milliseconds(30000)));
  return answer;
}

void SoleVersionProvesItselfWithTime() {
  const auto start = Clock::now();
  VersionedFleet engines({"v1", "v1"});
  AssertUnknown(engines, TakeUp("early", "unseen"));
  const VersionedAnswer answer = AwaitSoleVersion(engines, start);
  AssertWhole(answer, 3);
  CPPUNIT_ASSERT(answer.took >= kProofMargin + 2 * milliseconds(4000));
}

void QuickChangeProvesNothing() {
  constexpr milliseconds kLimit{500};
  constexpr milliseconds kTime = kProofMargin + 2 * kLimit;
  const auto start = Clock::now();
  VersionedFleet engines({"v1"});
  engines.Configure(kLimit);
  std::this_thread::sleep_until(start + kTime - milliseconds(1000));
  const auto changed_at = Clock::now();
  engines.Publish(0, "v2");
  const VersionedAnswer answer = AwaitSoleVersion(engines, changed_at);
  AssertWhole(answer, 3);
  CPPUNIT_ASSERT_EQUAL(std::string("v2"), *answer.versions.begin());
  CPPUNIT_ASSERT(answer.took >= kTime);
}

/** Guards against a version that counts as the only one as its route's limit
 * has been shortened: streams of before may last longer. */
void ShorterLimitProvesNothing() {
  constexpr milliseconds kLimit{500};
  const auto start = Clock::now();
  VersionedFleet engines({"v1"});
  engines.Configure(milliseconds(30000));
  engines.Publish(0, "v2");
  engines.Configure(kLimit);
  std::this_thread::sleep_until(start + kProofMargin + 4 * kLimit);
  AssertUnknown(engines, TakeUp("short", "unseen"));
}

/** Publishes another version of the engine that has got a request, whose
 * process is the new one already. */
VersionedCall Replace(VersionedFleet& engines, const VersionedCall& call) {
  engines.Publish(call.engine, "v2");
  engines.AwaitPublication();
  return {call.call, call.engine, "v2"};
}

/** Guards against a stream of a new process that is taken for one of the
 * process before it, at the same id and address.
 * @param begin What the new process does with the stream that it begins. */
void StreamOfAReplacedProcessStays(
    const std::function<void(VersionedFleet& engines,
                             const VersionedCall& call)>& begin) {
  VersionedFleet engines({"v1", "v1", "v1"});
  std::atomic<bool> has_begun = false;
  engines.SetScript([&](const VersionedCall& call) {
    if (has_begun.exchange(true))
      call.Serve();
    else
      begin(engines, call);
  });
  const VersionedAnswer first = engines.Call({.id = "first"});
  CPPUNIT_ASSERT(first.HasEvents(1, 2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engines.CountOf("first"));
  AssertUnknown(engines, TakeUp("take-up", "first"));
}

/** Guards against events of a new process after those of another version. */
void EventsOfAReplacedProcessAreNotPassedOn() {
  VersionedFleet engines({"v1", "v1"});
  engines.BeginBrokenStream("first");
  engines.SetScript(
      [&](const VersionedCall& call) { Replace(engines, call).ServeUntil(4); });
  const VersionedAnswer second = engines.Call(TakeUp("second", "first"));
  CPPUNIT_ASSERT(!second.IsComplete());
  CPPUNIT_ASSERT(second.versions.empty());
}

/** Two requests with the same id begin at different versions. */
void ContradictoryOriginsProveNothing() {
  VersionedFleet engines({"v1", "v2"});
  engines.BeginBrokenStream("twin");
  const std::size_t first = engines.EngineOf("twin");
  const std::string version = engines.VersionOf(first);
  engines.Publish(first, version, "draining");
  engines.AwaitPublication();
  AssertWhole(engines.Call({.id = "twin", .path = "/talk/twin"}), 1);
  engines.Publish(first, version);
  engines.AwaitPublication();
  AssertUnknown(engines, TakeUp("take-up", "twin"));
}

/** The endpoint's process is replaced while a request waits for it. */
void StreamIsNotSentToAnEndpointThatHasChanged() {
  std::atomic<bool> may_end = false;
  GatewayPlan plan;
  plan.max_connections = 1;
  VersionedFleet engines({"v1", "v2"}, plan);
  engines.BeginBrokenStream("changed");
  const std::size_t engine = engines.EngineOf("changed");
  const std::string other = engines.VersionOf(1 - engine);
  engines.SetScript([&](const VersionedCall& call) {
    call.call.BeginEvents();
    call.Event(call.First());
    WaitUntil([&] { return may_end.load(); });
    call.Events(call.First() + 1, kLastVersionedEvent);
    call.call.EndEvents();
  });
  const auto hold = [&](const std::string& id) {
    engines.Call({.id = id, .path = "/talk/" + id});
  };
  std::jthread holder([&] { hold("hold-1"); });
  std::jthread other_holder([&] { hold("hold-2"); });
  CPPUNIT_ASSERT(WaitUntil([&] {
    return engines.CountOf("hold-1") + engines.CountOf("hold-2") == 2;
  }));
  VersionedAnswer answer;
  std::jthread waiter(
      [&] { answer = engines.Call(TakeUp("waits", "changed")); });
  // The waiting request has no effect that could be waited for.
  std::this_thread::sleep_for(milliseconds(200));
  engines.Publish(engine, other);
  engines.AwaitPublication();
  may_end = true;
  waiter.join();
  CPPUNIT_ASSERT_EQUAL(503U, answer.raw.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, engines.CountOf("waits"));
}

// Other routes.

void OtherRoutesPassTheFieldsOn() {
  VersionedFleet engines({"v1", "v2"});
  for (const std::string path : {"/draft/x", "/lookup/x", "/issue/x"}) {
    const std::string id = "other-" + path.substr(1, 1);
    const VersionedAnswer answer = engines.Call(
        {.id = id, .path = path, .last_event = "2", .resumes = "never-seen"});
    CPPUNIT_ASSERT_EQUAL(200U, answer.raw.status);
    ScriptedEndpoint& endpoint =
        path.starts_with("/draft/")
            ? engines.Parts().Engine(engines.EngineOf(id))
            : engines.Parts().Ledger(0);
    const ScriptedCall::Message message = endpoint.Received().back();
    CPPUNIT_ASSERT_EQUAL(id, std::string(message["Buckthornpath-Request-Id"]));
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         std::string(message["Last-Event-Id"]));
    CPPUNIT_ASSERT_EQUAL(std::string("never-seen"),
                         std::string(message["Resumes"]));
  }
}

const Story kStory("gateway_versions", [] {
  return Section(
      "given endpoints of two software versions",
      {Section("when the endpoint of a stream breaks off",
               {Then("it is cut at once if only the other version is left",
                     BrokenStreamIsCutAtOnce),
                Then("or if the versions are not stated",
                     StreamOfNoVersionIsCutAtOnce),
                Then("it goes on at an endpoint of its version",
                     BrokenStreamGoesOnAtItsVersion)}),
       Section("when the endpoint of a stream pauses",
               {Then("it does not move to the other version",
                     PausedStreamStaysAtItsVersion),
                Then("it moves to an endpoint of its version",
                     PausedStreamMovesWithinItsVersion),
                Then("it begins at any version if it has not begun",
                     SilentEndpointIsReplacedByAnyVersion),
                Then("it has the events of one if both begin at once",
                     FirstEventsAtTheSameMomentAreOfOneVersion)}),
       Section(
           "when the caller takes a stream up",
           {Then("it goes on at the version that began it, each time",
                 TakeUpsGoOnAtTheVersionThatBegan),
            Then("or at the service, if the route is split",
                 TakeUpOfASplitRouteGoesBack),
            Then("it is refused at once if nothing is known of it",
                 UnprovenTakeUpIsRefused),
            Then("it is refused at once if its gateway was killed",
                 TakeUpAfterTheDeathOfTheGatewayIsRefused),
            Then("it is refused at once if its version was removed",
                 [] {
                   TakeUpWithoutAnEndpointOfItsVersionIsRefused(
                       [](VersionedFleet& engines, std::size_t engine) {
                         engines.Remove(engine);
                       });
                 }),
            Then("or was replaced",
                 [] {
                   TakeUpWithoutAnEndpointOfItsVersionIsRefused(
                       [](VersionedFleet& engines, std::size_t engine) {
                         engines.Publish(engine, "v3");
                       });
                 }),
            Then("it is refused if another process was published before it "
                 "began",
                 [] {
                   StreamOfAReplacedProcessStays(
                       [](VersionedFleet& engines, const VersionedCall& call) {
                         Replace(engines, call).ServeUntil(2);
                       });
                 }),
            Then("or while it lasted",
                 [] {
                   StreamOfAReplacedProcessStays(
                       [](VersionedFleet& engines, const VersionedCall& call) {
                         call.call.BeginEvents();
                         call.Event(1);
                         Replace(engines, call).Event(2);
                         call.call.Close(false);
                       });
                 }),
            Then("no events of another process follow it",
                 EventsOfAReplacedProcessAreNotPassedOn),
            Then("it is refused if two versions have begun it",
                 ContradictoryOriginsProveNothing),
            Then("it does not reach an endpoint that has changed its version",
                 StreamIsNotSentToAnEndpointThatHasChanged)}),
       Section("when the service has one version",
               {Then("that version proves itself with time",
                     SoleVersionProvesItselfWithTime),
                Then("one that has just changed proves nothing",
                     QuickChangeProvesNothing),
                Then("nor does one whose route's limit was longer before",
                     ShorterLimitProvesNothing)}),
       Section("when a request is no resumable stream",
               {Then("its fields are passed on unchanged",
                     OtherRoutesPassTheFieldsOn)})});
});

}  // namespace

}  // namespace buckthornpath
