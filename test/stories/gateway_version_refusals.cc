/** @file gateway_version_refusals.cc When callers of refused streams are told
 * to come back. */

#include <cppunit/TestAssert.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>

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
           Then("or soon, if neither is known",
                CallerIsNotToldToWaitInVain)})});
});

}  // namespace

}  // namespace buckthornpath
