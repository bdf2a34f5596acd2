/** @file gateway_behind.cc A gateway that is behind serves callers that stay.
 */

#include <cppunit/TestAssert.h>

#include <csignal>
#include <optional>
#include <vector>

#include "harness/byte_connection.h"
#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

constexpr int kCallers = 60;

std::string RequestText(const std::string& id) {
  CallerText text;
  text.id = id;
  text.keeps_open = true;
  return TextOf(text);
}

/** Callers send while the process is paused; every second one leaves. */
void GoneCallersAreNotForwarded() {
  GatewayFleet fleet({});
  std::vector<std::optional<ByteConnection>> callers(kCallers);
  // Half of the connections are accepted before the pause.
  for (int i = 0; i < kCallers / 2; ++i) {
    callers[i].emplace(fleet.Caller(0));
    callers[i]->Send(RequestText("before-" + std::to_string(i)));
    CPPUNIT_ASSERT(!callers[i]->ReadSome().empty());
  }
  fleet.Gateway(0).Signal(SIGSTOP);
  for (int i = 0; i < kCallers; ++i) {
    if (!callers[i])
      callers[i].emplace(fleet.Caller(0));
    callers[i]->Send(RequestText("paused-" + std::to_string(i)));
    if (i % 2 == 1)
      callers[i].reset();
  }
  fleet.Gateway(0).Signal(SIGCONT);
  int answered = 0;
  for (int i = 0; i < kCallers; i += 2)
    answered += callers[i]->ReadSome().starts_with("HTTP/1.1 200") ? 1 : 0;
  CPPUNIT_ASSERT_EQUAL(kCallers / 2, answered);
  // One that came last shows that the others have been handled.
  CPPUNIT_ASSERT_EQUAL(200U, fleet.Call(0, TextOf({})).status);
  std::string forwarded;
  for (int i = 1; i < kCallers; i += 2) {
    const std::string id = "paused-" + std::to_string(i);
    if (fleet.Ledger(0).CountOf(id) > 0)
      forwarded += id + " ";
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(forwarded, std::string(), forwarded);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return fleet.LogOf(0, "paused-1").value("reason", "") == "caller_left";
  }));
}

const Story kStory("gateway_behind", [] {
  return Section(
      "given a gateway that was paused while callers sent requests",
      {Section(
          "when some have left before it goes on",
          {Then("their requests reach no endpoint, the others are answered",
                GoneCallersAreNotForwarded)})});
});

}  // namespace

}  // namespace buckthornpath
