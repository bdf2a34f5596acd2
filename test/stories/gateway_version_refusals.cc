/** @file gateway_version_refusals.cc When callers of refused streams are told
 * to come back. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

#include "harness/byte_connection.h"
#include "harness/story.h"
#include "harness/versioned_fleet.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** @return Time that a refusal states in seconds. */
milliseconds RetryAfterOf(const VersionedAnswer& answer) {
  constexpr std::string_view kField = "Retry-After: ";
  CPPUNIT_ASSERT_EQUAL(503U, answer.raw.status);
  const std::size_t field = answer.raw.head.find(kField);
  CPPUNIT_ASSERT(field != std::string::npos);
  const double seconds =
      std::stod(answer.raw.head.substr(field + kField.size()));
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(seconds));
}

/** Guards against callers that come back in vain as endpoints of the other
 * version are free. */
void CallerReturnsWithTheEndpointOfItsVersion() {
  constexpr milliseconds kClosed{1500};
  VersionedFleet engines({"v1", "v2"});
  engines.BeginBrokenStream("begun");
  engines.SetScript([](const VersionedCall& call) {
    call.call.Answer(503, "",
                     "Buckthornpath-Not-Executed: 1\r\nRetry-After: 1.5\r\n");
  });
  const VersionedAnswer answer = engines.Call(TakeUp("closed", "begun"));
  CPPUNIT_ASSERT(answer.took < kAtOnce);
  CPPUNIT_ASSERT(RetryAfterOf(answer) >= kClosed - kAtOnce);
  engines.SetScript([](const VersionedCall& call) { call.Serve(); });
  std::this_thread::sleep_for(RetryAfterOf(answer));
  AssertWhole(engines.Call(TakeUp("open", "begun")), 3);
}

/** A caller that is told the time of the proof is served when it returns. */
void CallerReturnsWithTheProof() {
  constexpr milliseconds kProofTime{13000};
  constexpr milliseconds kLeft{900};
  const auto start = std::chrono::steady_clock::now();
  VersionedFleet engines({"v1"});
  std::this_thread::sleep_until(start + kProofTime - kLeft);
  const VersionedAnswer answer = engines.Call(TakeUp("early", "unseen"));
  CPPUNIT_ASSERT(RetryAfterOf(answer) >= kLeft - kAtOnce);
  std::this_thread::sleep_for(RetryAfterOf(answer));
  AssertWhole(engines.Call(TakeUp("due", "unseen")), 3);
}

/** A service of one version for long enough to prove it, and a gateway that has
 * lost the store since; another version has come meanwhile. */
class UnheardVersion {
 public:
  UnheardVersion() {
    this->engines.Remove(1);
    this->engines.AwaitPublication();
    std::this_thread::sleep_until(this->start + milliseconds(14000));
    AssertWhole(this->engines.Call(TakeUp("before", "unseen")), 3);
    this->engines.Parts().StoreProxy(0).SilenceOpen();
    this->engines.Parts().StoreProxy(0).RefuseNew(true);
    this->engines.Publish(1, "v2");
  }

  VersionedFleet& Engines() { return this->engines; }

 private:
  static GatewayPlan ProxiedStore() {
    GatewayPlan plan;
    plan.store_proxied = true;
    return plan;
  }

  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  VersionedFleet engines{{"v1", "v1"}, ProxiedStore()};
};

/** Guards against streams that another gateway has begun at a version that this
 * one has not heard of, and that seem to be of the only one. */
void UnheardVersionLeavesNoProof() {
  UnheardVersion unheard;
  const VersionedAnswer answer =
      unheard.Engines().Call(TakeUp("other", "begun-elsewhere"));
  CPPUNIT_ASSERT_EQUAL(503U, answer.raw.status);
  CPPUNIT_ASSERT(answer.took < milliseconds(2000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unheard.Engines().CountOf("other"));
}

/** Callers leave after two seconds without an event. */
void SoleVersionIsProvenInTime() {
  constexpr int kTries = 6;
  GatewayPlan plan;
  plan.gateways = 3;
  const auto start = std::chrono::steady_clock::now();
  VersionedFleet engines({"v1"}, plan);
  std::this_thread::sleep_until(start + milliseconds(15000));
  milliseconds longest{};
  for (int i = 0; i < kTries; ++i) {
    for (std::size_t gateway = 0; gateway < plan.gateways; ++gateway) {
      const std::string id =
          "try-" + std::to_string(i) + "-" + std::to_string(gateway);
      const auto asked_at = std::chrono::steady_clock::now();
      const RawAnswer answer =
          engines.Parts().Call(gateway, TakeUp(id, "unseen-" + id).Text());
      longest =
          std::max(longest, std::chrono::duration_cast<milliseconds>(
                                std::chrono::steady_clock::now() - asked_at));
      CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    }
  }
  std::cout << "longest proof " << longest.count() << " ms\n";
  CPPUNIT_ASSERT(longest < milliseconds(2000));
}

/** A caller that leaves while its stream's version is looked for. */
void CallerThatLeftIsNotRefused() {
  UnheardVersion unheard;
  GatewayFleet& parts = unheard.Engines().Parts();
  {
    ByteConnection caller(parts.Caller(0));
    caller.Send(TakeUp("left", "begun-elsewhere").Text());
    std::this_thread::sleep_for(milliseconds(100));
  }
  CPPUNIT_ASSERT_EQUAL(std::string("caller_left"),
                       parts.LogOf(0, "left").value("reason", ""));
}

/** A wait can't help where the version is gone, or unknown. */
void CallerIsNotToldToWaitInVain() {
  constexpr milliseconds kShort{100};
  VersionedFleet engines({"v1", "v2"});
  engines.BeginBrokenStream("begun");
  engines.Publish(engines.EngineOf("begun"), "v3");
  engines.AwaitPublication();
  CPPUNIT_ASSERT(RetryAfterOf(engines.Call(TakeUp("gone", "begun"))) <= kShort);
  CPPUNIT_ASSERT(RetryAfterOf(engines.Call(TakeUp("new", "unseen"))) <= kShort);
}

const Story kStory("gateway_version_refusals", [] {
  return Section(
      "given a stream that can't be taken up now",
      {Section(
           "when its caller is told when to come back",
           {Then("that is when an endpoint of its version returns",
                 CallerReturnsWithTheEndpointOfItsVersion),
            Then("or when its version is proven", CallerReturnsWithTheProof),
            Then("or soon, if neither is known", CallerIsNotToldToWaitInVain)}),
       Section("when the gateway may not have heard of a version",
               {Then("the one that it knows proves nothing",
                     UnheardVersionLeavesNoProof),
                Then("it proves itself in time if all hear of it",
                     SoleVersionIsProvenInTime),
                Then("a caller that leaves meanwhile is not refused",
                     CallerThatLeftIsNotRefused)})});
});

}  // namespace

}  // namespace buckthornpath
