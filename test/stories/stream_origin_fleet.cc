/** @file stream_origin_fleet.cc Streams of two software versions that callers
 * take up at another gateway. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "harness/story.h"
#include "harness/stream_fleet.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Time after which it does not tell them again. */
constexpr milliseconds kRepeatTime{300};

/** Limit of the time for which a gateway asks others. */
constexpr milliseconds kLookupLimit{300};

/** Time after which callers leave at the earliest. */
constexpr milliseconds kCallerPatience{2000};

const std::vector<std::string> kTwoDomains = {"a", "b"};

/** Gateways 0 and 2 are in failure domain a, 1 and 3 in b. */
void BrokenConnection(std::size_t taken_up_at) {
  StreamFleet fleet(4, kTwoDomains);
  fleet.Begin(0);
  fleet.CloseCallers();
  fleet.AssertTheyGoOn(taken_up_at);
}

void KilledGateway(std::size_t taken_up_at) {
  StreamFleet fleet(4, kTwoDomains);
  fleet.Begin(0);
  fleet.KillAfterAnnouncement(0);
  fleet.AssertTheyGoOn(taken_up_at);
}

void OnlyGatewayOfItsDomainIsKilled() {
  StreamFleet fleet(3, {"a", "b", "c"});
  fleet.Begin(1);
  fleet.KillAfterAnnouncement(1);
  fleet.AssertTheyGoOn(0);
}

/** Begins streams at a member of a failure domain that has one.
 * @param hubs_killed Hubs that are killed together with it, the leader first.
 */
void KilledWithHubs(std::size_t hubs_killed) {
  // Failure domain a has the gateways 0, 2 and 4.
  StreamFleet fleet(6, kTwoDomains);
  const std::vector<std::size_t> domain = {0, 2, 4};
  std::vector<std::size_t> hubs;
  CPPUNIT_ASSERT(WaitUntil([&] {
    hubs = fleet.WithRole("leader", domain);
    for (const std::size_t hub : fleet.WithRole("hub", domain))
      hubs.push_back(hub);
    return hubs.size() == 2 && fleet.WithRole("member", domain).size() == 1;
  }));
  const std::size_t member = fleet.WithRole("member", domain).front();
  fleet.Begin(member);
  fleet.KillAfterAnnouncement(member);
  for (std::size_t i = 0; i < hubs_killed; ++i)
    fleet.Fleet().Gateway(hubs.at(i)).Kill();
  if (hubs_killed < hubs.size())
    fleet.AssertTheyGoOn(hubs.back());
  else
    fleet.AssertTheyGoOn(3);
}

/** All callers come back within some milliseconds. */
void ManyGoOnAtOnce() {
  StreamFleet fleet(4, kTwoDomains);
  fleet.Begin(0, kManyStreams);
  fleet.KillAfterAnnouncement(0);
  std::vector<RawAnswer> answers(kManyStreams);
  std::vector<std::jthread> callers;
  callers.reserve(kManyStreams);
  for (std::size_t i = 0; i < kManyStreams; ++i) {
    callers.emplace_back([&fleet, &answers, i] {
      answers[i] = fleet.TakeUp(1, StreamFleet::IdOf(i));
    });
  }
  callers.clear();
  for (std::size_t i = 0; i < kManyStreams; ++i)
    fleet.AssertItWentOn(i, answers[i]);
}

/** The records of hubs that are killed are gone; who began the streams tells
 * those that follow. */
void NewHubsAreTold() {
  StreamFleet fleet(4, {"a"});
  const std::vector<std::size_t> all = {0, 1, 2, 3};
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.WithRole("member", all).size() == 2; }));
  const std::vector<std::size_t> members = fleet.WithRole("member", all);
  fleet.Begin(members.front());
  const std::size_t begun_at = members.front();
  std::this_thread::sleep_for(kRepeatTime);
  for (const std::size_t gateway : all) {
    if (std::find(members.begin(), members.end(), gateway) == members.end()) {
      fleet.Fleet().Gateway(gateway).Kill();
      fleet.Fleet().Restart(gateway);
    }
  }
  CPPUNIT_ASSERT(WaitUntil([&] {
    return std::all_of(all.begin(), all.end(), [&](std::size_t gateway) {
      return gateway == members.back() ||
             fleet.Gossip(gateway).value("stream_records", 0U) == kStreams;
    });
  }));
  fleet.Fleet().Gateway(begun_at).Kill();
  fleet.AssertTheyGoOn(members.back());
}

/** Times in which streams that nobody knows are refused. */
struct RefusalTimes {
  milliseconds first{};
  milliseconds least = milliseconds::max();
};

RefusalTimes TimesOfUnknown(StreamFleet& fleet, std::size_t gateway) {
  RefusalTimes times;
  for (std::size_t i = 0; i < kStreams; ++i) {
    const auto start = Clock::now();
    const RawAnswer answer =
        fleet.TakeUp(gateway, "nobody-" + std::to_string(i));
    const auto time =
        std::chrono::duration_cast<milliseconds>(Clock::now() - start);
    if (i == 0)
      times.first = time;
    times.least = std::min(times.least, time);
    CPPUNIT_ASSERT_EQUAL(503U, answer.status);
    CPPUNIT_ASSERT_MESSAGE(
        answer.head + answer.body,
        (answer.head + answer.body).find("version_unknown") !=
            std::string::npos);
  }
  for (std::size_t engine = 0; engine < kEngines; ++engine)
    CPPUNIT_ASSERT(fleet.Fleet().Engine(engine).Received().empty());
  return times;
}

void UnknownStreamIsRefusedAtOnce() {
  StreamFleet fleet(4, kTwoDomains);
  const milliseconds time = TimesOfUnknown(fleet, 1).least;
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{kStreams}, fleet.LookupsOf(1, "unknown"));
  CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()), time < kLookupLimit / 3);
}

/** The silent gateway is asked at first; later, it counts as dead. */
void UnknownStreamIsRefusedInTime() {
  StreamFleet fleet(4, kTwoDomains);
  fleet.Fleet().Gateway(3).Signal(SIGSTOP);
  const RefusalTimes times = TimesOfUnknown(fleet, 1);
  fleet.Fleet().Gateway(3).Signal(SIGCONT);
  CPPUNIT_ASSERT(fleet.LookupsOf(1, "silent") > 0);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(times.first.count()),
                         times.first < kCallerPatience);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(times.least.count()),
                         times.least <= kLookupLimit);
}

/** Another gateway knows the stream; one that is silent is not awaited. */
void SilentGatewayHoldsNothingUp() {
  StreamFleet fleet(4, kTwoDomains);
  fleet.Begin(0);
  fleet.CloseCallers();
  fleet.Fleet().Gateway(3).Signal(SIGSTOP);
  fleet.AssertTheyGoOn(1);
  fleet.Fleet().Gateway(3).Signal(SIGCONT);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.LookupsOf(1, "silent"));
}

const Story kStory("stream_origin_fleet", [] {
  return Section(
      "given streams that two software versions begin at a gateway",
      {Section("when their connections break",
               {Then("each goes on at another gateway of the failure domain",
                     [] { BrokenConnection(2); }),
                Then("each goes on in another failure domain",
                     [] { BrokenConnection(1); }),
                Then("a silent gateway holds nothing up",
                     SilentGatewayHoldsNothingUp)}),
       Section(
           "when the gateway is killed after their first events",
           {Then("they go on at another gateway of the failure domain",
                 [] { KilledGateway(2); }),
            Then("they go on in another failure domain",
                 [] { KilledGateway(1); }),
            Then("hundreds that are taken up at once go on", ManyGoOnAtOnce),
            Then("they go on if it was the only one of its domain",
                 OnlyGatewayOfItsDomainIsKilled),
            Then("they go on though the leader is killed as well",
                 [] { KilledWithHubs(1); }),
            Then("they go on though both hubs are killed as well",
                 [] { KilledWithHubs(2); }),
            Then("they go on after the hubs have been replaced",
                 NewHubsAreTold)}),
       Section("when nobody knows a stream",
               {Then("it is refused at once, as all say so",
                     UnknownStreamIsRefusedAtOnce),
                Then("it is refused in time though a gateway is silent",
                     UnknownStreamIsRefusedInTime)})});
});

}  // namespace

}  // namespace buckthornpath
