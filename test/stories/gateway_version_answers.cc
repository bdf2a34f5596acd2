/** @file gateway_version_answers.cc Answers that are no streams, or of routes
 * that are none, from endpoints of two software versions. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/story.h"
#include "harness/versioned_fleet.h"

namespace buckthornpath {

namespace {

/** Endpoints of an idempotent route, of a version each. */
class VersionedLedgers {
 public:
  explicit VersionedLedgers(const std::vector<std::string>& versions)
      : versions(versions), engines({"v1"}, PlanOf(versions.size())) {
    for (std::size_t i = 0; i < versions.size(); ++i) {
      nlohmann::json entry = this->Parts().EntryOf("ledger", i, "ready");
      entry["version"] = versions[i];
      this->Parts().Store().Put("servers/ledger-" + std::to_string(i), entry);
    }
    this->engines.AwaitPublication();
  }

  void SetScript(const VersionedScript& script) {
    for (std::size_t i = 0; i < this->versions.size(); ++i) {
      this->Parts().Ledger(i).SetScript([this, i, script](ScriptedCall& call) {
        script({call, i, this->versions[i]});
      });
    }
  }

  VersionedAnswer Call(const std::string& id) {
    return this->engines.Call({.id = id, .path = "/lookup/" + id});
  }

  std::size_t CountOf(const std::string& id) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->versions.size(); ++i)
      count += this->Parts().Ledger(i).CountOf(id);
    return count;
  }

  GatewayFleet& Parts() { return this->engines.Parts(); }

 private:
  static GatewayPlan PlanOf(std::size_t ledgers) {
    GatewayPlan plan;
    plan.ledgers = ledgers;
    return plan;
  }

  std::vector<std::string> versions;
  VersionedFleet engines;
};

/** Begins an answer in events that breaks off, and goes on elsewhere. */
void BreakAndServe(const VersionedCall& call) {
  if (call.First() == 1)
    call.ServeUntil(2);
  else
    call.Serve();
}

void EventsOfAnIdempotentRouteAreCut() {
  VersionedLedgers ledgers({"v1", "v2"});
  ledgers.SetScript(BreakAndServe);
  const VersionedAnswer answer = ledgers.Call("cut");
  CPPUNIT_ASSERT(!answer.IsComplete());
  CPPUNIT_ASSERT(answer.HasEvents(1, 2));
  CPPUNIT_ASSERT(answer.took < kAtOnce);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledgers.CountOf("cut"));
}

void EventsOfAnIdempotentRouteGoOn() {
  VersionedLedgers ledgers({"v1", "v2", "v1", "v2"});
  ledgers.SetScript(BreakAndServe);
  for (const std::string id : {"one", "two", "three", "four"})
    AssertWhole(ledgers.Call(id), 1);
}

/** An answer of which nothing was passed on leaves the choice free. */
void FailedAnswerIsReplacedByAnyVersion(
    const std::function<void(ScriptedCall& call)>& fail) {
  std::atomic<int> calls = 0;
  VersionedFleet engines({"v1", "v2"});
  engines.SetScript([&](const VersionedCall& call) {
    if (++calls == 1)
      fail(call.call);
    else
      call.Serve();
  });
  AssertWhole(engines.Call({.id = "failed"}), 1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engines.CountOf("failed"));
}

/** Guards against a wait for an endpoint that the request has ruled out. */
void RefusalOfTheOnlyEndpointIsPassedOnAtOnce(const EndpointScript& refuse) {
  VersionedFleet engines({"v1"});
  engines.Parts().Ledger(0).SetScript(refuse);
  const VersionedAnswer answer =
      engines.Call({.id = "only", .path = "/lookup/x"});
  CPPUNIT_ASSERT_EQUAL(503U, answer.raw.status);
  CPPUNIT_ASSERT(answer.took < kAtOnce);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       engines.Parts().Ledger(0).CountOf("only"));
}

const Story kStory("gateway_version_answers", [] {
  return Section(
      "given endpoints of two software versions",
      {Section("when an idempotent route answers in events that break off",
               {Then("they are cut if only the other version is left",
                     EventsOfAnIdempotentRouteAreCut),
                Then("they go on at their version",
                     EventsOfAnIdempotentRouteGoOn)}),
       Section("when nothing of the first answer is passed on",
               {Then("an error is replaced by the other version's stream",
                     [] {
                       FailedAnswerIsReplacedByAnyVersion(
                           [](ScriptedCall& call) { call.Answer(500, ""); });
                     }),
                Then("so is an answer without events that breaks off",
                     [] {
                       FailedAnswerIsReplacedByAnyVersion(
                           [](ScriptedCall& call) {
                             call.BeginEvents();
                             call.Send("7\r\nid: 1\nd\r\n");
                             call.Close(false);
                           });
                     })}),
       Section("when the only endpoint does not run a request",
               {Then("it is refused at once",
                     [] {
                       RefusalOfTheOnlyEndpointIsPassedOnAtOnce(
                           [](ScriptedCall& call) {
                             call.Answer(503, "",
                                         "Buckthornpath-Not-Executed: 1\r\n");
                           });
                     }),
                Then("also if the endpoint says when it is back", [] {
                  RefusalOfTheOnlyEndpointIsPassedOnAtOnce(
                      [](ScriptedCall& call) {
                        call.Answer(503, "",
                                    "Buckthornpath-Not-Executed: 1\r\n"
                                    "Retry-After: 0.3\r\n");
                      });
                })})});
});

}  // namespace

}  // namespace buckthornpath
