/** @file peer_answers.cc Responses of other gateways that hold no items. */

#include <cppunit/TestAssert.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "fakes/scripted_endpoint.h"
#include "gateway/feed_record.h"
#include "gateway/gateway_state.h"
#include "gateway/peer_snapshot.h"
#include "gateway/publication_follower.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"
#include "kernel/blocking_http.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTimeout{5000};

PublishedItems SampleItems() {
  PublishedItems items;
  items.revision = {0, 12};
  items.items = {{"servers/e", "{}", {0, 12}, false}};
  return items;
}

/** @return A script that sends a body with a status. */
EndpointScript Answers(unsigned status, const std::string& body) {
  return [status, body](ScriptedCall& call) { call.Answer(status, body); };
}

void SnapshotNeedsStatus200() {
  const NetworkClaim claim;
  const SocketAddress address = ParseSocketAddress(claim.Network() + "1:7103");
  ScriptedEndpoint peer(address, nullptr);
  const auto fetch = [&](unsigned status) {
    peer.SetScript(Answers(status, EncodeSnapshot(SampleItems())));
    PublishedItems items;
    RunBlocking([&]() -> asio::awaitable<void> {
      items = co_await FetchSnapshot(address, kTimeout);
    }());
    return items.revision.number;
  };
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, fetch(200));
  for (const unsigned status : {201U, 404U, 500U, 503U}) {
    CPPUNIT_ASSERT_THROW_MESSAGE(std::to_string(status), fetch(status),
                                 HttpError);
  }
}

/** A gateway whose domain has two hubs; both send the same response. */
class FollowerOfHubs {
 public:
  explicit FollowerOfHubs(const EndpointScript& script)
      : settings(SettingsOf(this->claim)),
        first_hub(ParseSocketAddress(this->Address(2)), script),
        second_hub(ParseSocketAddress(this->Address(3)), script),
        state(this->settings, this->io.get_executor()),
        follower(this->state) {
    constexpr std::int64_t kLargeVm = 1000;
    for (const int host : {2, 3}) {
      this->state.roster.RecordContact(
          {this->Address(host), FailureDomainId("a"), kLargeVm, false},
          Clock::now());
    }
  }

  /** Runs until the feed of a hub has been asked for again.
   * @return Revision of the items that the gateway then uses. */
  std::uint64_t RunAndRead() {
    CPPUNIT_ASSERT(!this->state.roster.IsHub());
    this->follower.Start();
    const auto end = Clock::now() + kTimeout;
    while (this->Asked() < 2 && Clock::now() < end) {
      this->io.poll();
      this->io.restart();
      std::this_thread::yield();
    }
    CPPUNIT_ASSERT(this->Asked() >= 2);
    return this->follower.Published().Revision().number;
  }

  /** @return True if a hub has confirmed the items. */
  bool IsConfirmed() const {
    return this->state.confirmed_at != Clock::time_point{};
  }

 private:
  static Settings SettingsOf(const NetworkClaim& claim) {
    Settings settings;
    settings.failure_domain = "a";
    settings.gossip_address = claim.Network() + "1:7103";
    settings.configuration_address = claim.Network() + "1:7100";
    return settings;
  }

  std::string Address(int host) const {
    return this->claim.Network() + std::to_string(host) + ":7103";
  }

  std::size_t Asked() {
    return this->first_hub.Received().size() +
           this->second_hub.Received().size();
  }

  NetworkClaim claim;
  Settings settings;
  ScriptedEndpoint first_hub;
  ScriptedEndpoint second_hub;
  asio::io_context io;
  GatewayState state;
  PublicationFollower follower;
};

std::string SampleFrame() {
  FeedRecord record;
  record.is_fresh = true;
  record.is_snapshot = true;
  record.position = {77, 3};
  record.items = SampleItems();
  return EncodeFeedFrame(record);
}

void FeedNeedsStatus200() {
  FollowerOfHubs served(Answers(200, SampleFrame()));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, served.RunAndRead());
  CPPUNIT_ASSERT(served.IsConfirmed());
  for (const unsigned status : {404U, 503U}) {
    FollowerOfHubs refused(Answers(status, SampleFrame()));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), std::uint64_t{0},
                                 refused.RunAndRead());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(status), !refused.IsConfirmed());
  }
}

const Story kStory("peer_answers", [] {
  return Section(
      "given another gateway that sends items with an error status",
      {Section("when its snapshot is read",
               {Then("the items are not used", SnapshotNeedsStatus200)}),
       Section("when its feed is followed",
               {Then("the items are neither used nor confirmed",
                     FeedNeedsStatus200)})});
});

}  // namespace

}  // namespace buckthornpath
