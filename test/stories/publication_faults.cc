/** @file publication_faults.cc Faults of one item while a list is applied. */

#include <cppunit/TestAssert.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "fakes/scripted_endpoint.h"
#include "gateway/feed_record.h"
#include "gateway/gateway_state.h"
#include "gateway/publication_feed.h"
#include "gateway/publication_follower.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTimeout{10000};

constexpr milliseconds kSlowDecoding{1500};

/** A later answer would be given up. */
constexpr milliseconds kHubDelay{100};

constexpr StoreRevision kRevision{0, 20};

const char* const kConfiguration = R"({"version":1,"routes":[],"services":[]})";

const char* const kEntry =
    R"({"service":"ledger","address":"127.0.0.1:9","slots":8,)"
    R"("state":"ready","coldRemainingMs":0})";

PublishedItems ListWith(const std::vector<std::string>& endpoints) {
  PublishedItems all;
  all.revision = kRevision;
  all.items.push_back({"op/config", kConfiguration, {0, 1}, false});
  for (const std::string& endpoint : endpoints)
    all.items.push_back({"servers/" + endpoint, kEntry, {0, 2}, false});
  return all;
}

/** How a ListSource responds. */
struct SourceScript {
  milliseconds list_delay{};
  bool answers_watches = true;
};

/** Returns one list, and no changes. */
class ListSource final : public PublicationSource {
 public:
  ListSource(PublishedItems all, SourceScript script)
      : all(std::move(all)), script(script) {}

  asio::awaitable<PublishedItems> ReadAll(milliseconds /*timeout*/) override {
    co_await SleepFor(this->script.list_delay);
    co_return this->all;
  }

  asio::awaitable<PublishedItems> ReadChanges(
      StoreRevision after,
      milliseconds wait,
      milliseconds /*timeout*/) override {
    co_await SleepFor(this->script.answers_watches ? wait : kTimeout);
    co_return PublishedItems{after, {}};
  }

 private:
  PublishedItems all;
  SourceScript script;
};

/** @return The adapter that was linked before a FaultyAdapter was made. */
const PlatformAdapter& LinkedPlatform() {
  static const PlatformAdapter& linked = PlatformAdapter::Linked();
  return linked;
}

/** The platform's adapter, but for items with certain keys. */
class FaultyAdapter final : public PlatformAdapter {
 public:
  FaultyAdapter(PublishedItems all, SourceScript script)
      : platform(LinkedPlatform()), all(std::move(all)), script(script) {
    this->Register();
  }

  CallerMetadata ParseCallerHeader(const HeaderFields& header) const override {
    return this->platform.ParseCallerHeader(header);
  }

  void WriteForwardHeader(const HeaderFields& caller,
                          const ForwardMetadata& metadata,
                          HeaderFields& out) const override {
    this->platform.WriteForwardHeader(caller, metadata, out);
  }

  ResponseMetadata ParseResponseHeader(
      const HeaderFields& header) const override {
    return this->platform.ParseResponseHeader(header);
  }

  bool IsInternalField(const std::string& field_name) const override {
    return this->platform.IsInternalField(field_name);
  }

  asio::awaitable<DecodedItem> Decode(
      const PublishedItem& item) const override {
    if (item.key == "servers/throws")
      throw std::out_of_range("no such element");
    if (item.key == "servers/slow")
      co_await SleepFor(kSlowDecoding);
    co_return co_await this->platform.Decode(item);
  }

  std::optional<EntryOrder> OrderOf(const PublishedItem& item) const override {
    return this->platform.OrderOf(item);
  }

  std::optional<EndpointId> EndpointIdFromKey(
      const std::string& key) const override {
    return this->platform.EndpointIdFromKey(key);
  }

  std::optional<FailureDomainId> EvacuatedDomainFromKey(
      const std::string& key) const override {
    return this->platform.EvacuatedDomainFromKey(key);
  }

  std::unique_ptr<PublicationSource> MakeSource(
      const Settings& /*settings*/) const override {
    return std::make_unique<ListSource>(this->all, this->script);
  }

 private:
  const PlatformAdapter& platform;
  PublishedItems all;
  SourceScript script;
};

/** Takes the first record that a feed sends. */
class FeedReader final : public HttpExchange {
 public:
  const HttpRequest& request() const override { return this->asked; }

  asio::awaitable<void> Send(HttpResponse /*response*/) override { co_return; }

  asio::awaitable<void> BeginStream(HttpResponse /*head*/) override {
    co_return;
  }

  asio::awaitable<void> WriteChunk(std::string_view data) override {
    FeedFrameReader frames;
    frames.Append(data);
    this->record = frames.Next();
    throw HttpError("reader has closed the connection");
    co_return;
  }

  asio::awaitable<void> EndStream() override { co_return; }

  bool HasStartedResponse() const override { return true; }

  HttpRequest asked;
  std::optional<FeedRecord> record;
};

/** A gateway that reads a list; its failure domain may have two hubs. */
class Reader {
 public:
  Reader(const PublishedItems& all,
         const EndpointScript& hub_script,
         SourceScript script = {})
      : adapter(all, script),
        settings(SettingsOf(this->claim)),
        first_hub(ParseSocketAddress(this->Address(2)), hub_script),
        second_hub(ParseSocketAddress(this->Address(3)), hub_script),
        state(this->settings, this->io.get_executor()),
        follower(this->state) {}

  void AddHubs() {
    constexpr std::int64_t kLargeVm = 1000;
    for (const int host : {2, 3}) {
      this->state.roster.RecordContact(
          {this->Address(host), FailureDomainId("a"), kLargeVm, false},
          Clock::now());
    }
  }

  /** Runs until the gateway is ready. @return Endpoints that it uses then. */
  std::size_t RunUntilReady() {
    this->follower.Start();
    const auto end = Clock::now() + kTimeout;
    while (!this->state.is_loaded && Clock::now() < end) {
      this->io.poll_one();
      this->io.restart();
      std::this_thread::yield();
    }
    CPPUNIT_ASSERT(this->state.is_loaded);
    return this->state.selector.All().size();
  }

  void RunFor(milliseconds time) {
    this->io.run_for(time);
    this->io.restart();
  }

  std::size_t EndpointCount() const {
    return this->state.selector.All().size();
  }

  bool IsReadingStore() const { return this->follower.IsReadingStore(); }

  std::string SoleVersion(milliseconds time) {
    return this->state.version_history
        .SoleVersion(ServiceName("ledger"), time, Clock::now())
        .value_or("");
  }

  /** @return True if the gateway's feed confirms its items at this moment. */
  bool Confirms() {
    FeedReader reader;
    asio::co_spawn(this->io, this->follower.Feed().Serve(reader),
                   [](const std::exception_ptr& /*closed*/) {});
    while (!reader.record)
      this->io.poll_one();
    return reader.record->is_fresh;
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

  NetworkClaim claim;
  FaultyAdapter adapter;
  Settings settings;
  ScriptedEndpoint first_hub;
  ScriptedEndpoint second_hub;
  asio::io_context io;
  GatewayState state;
  PublicationFollower follower;
};

void ItemThatThrowsStopsNoOther() {
  Reader reader(ListWith({"a", "throws", "z"}), nullptr);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reader.RunUntilReady());
}

/** A hub confirms the items while the list of the store is being applied. */
void ReadyOnceAllItemsAreApplied() {
  const PublishedItems all = ListWith({"a", "slow", "z"});
  FeedRecord record;
  record.is_fresh = true;
  record.is_snapshot = true;
  record.position = {77, 3};
  record.items = all;
  const std::string frame = EncodeFeedFrame(record);
  Reader reader(all, [frame](ScriptedCall& call) {
    // After the list of the store has begun to be applied.
    std::this_thread::sleep_for(kHubDelay);
    call.Answer(200, frame);
  });
  reader.AddHubs();
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, reader.RunUntilReady());
}

/** The feed of a process that has these items. */
class Feed {
 public:
  explicit Feed(const PublicationState& published)
      : feed(published, this->io.get_executor()) {}

  void Publish(BootClock::time_point answered_at, bool is_reachable) {
    this->feed.Publish(answered_at, is_reachable);
  }

  /** @return What a reader at a position is told first. */
  FeedRecord RecordAfter(const FeedPosition& position) {
    FeedReader reader;
    reader.asked.target = PublicationFeed::TargetOf(position);
    asio::co_spawn(this->io, this->feed.Serve(reader),
                   [](const std::exception_ptr& /*closed*/) {});
    this->io.run();
    this->io.restart();
    CPPUNIT_ASSERT(reader.record.has_value());
    return *reader.record;
  }

 private:
  asio::io_context io;
  PublicationFeed feed;
};

/** @return What a feed tells a reader that it does not know. */
FeedRecord FirstRecordOf(const PublicationState& published) {
  return Feed(published).RecordAfter({});
}

/** A reader removes all that a snapshot lacks. */
void IncompleteListIsNoSnapshot() {
  PublicationState published(milliseconds(3000),
                             [](const std::string&) { return true; });
  PublishedItems part = ListWith({"a"});
  part.is_complete = false;
  published.MergeSnapshot(part, Clock::now());
  const FeedRecord before = FirstRecordOf(published);
  CPPUNIT_ASSERT(!before.is_snapshot);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, before.items.items.size());
  published.MergeSnapshot(ListWith({"a", "b"}), Clock::now());
  CPPUNIT_ASSERT(FirstRecordOf(published).is_snapshot);
  // What a later list that ends early lacks has not been removed.
  const auto changed = published.MergeSnapshot(part, Clock::now());
  CPPUNIT_ASSERT(changed.empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                       published.RevisionOf("servers/b").number);
  CPPUNIT_ASSERT(FirstRecordOf(published).is_snapshot);
}

/** Guards against a follower that gets no part of the list for good: it was
 * told of a part by a process that had not read the rest yet. */
void ReaderOfAPartGetsTheWholeListLater() {
  PublicationState published(milliseconds(3000),
                             [](const std::string&) { return true; });
  PublishedItems part = ListWith({"a"});
  part.is_complete = false;
  published.MergeSnapshot(part, Clock::now());
  const std::uint64_t told = published.ChangeCount();
  CPPUNIT_ASSERT(published.ChangesSince(told).has_value());
  published.MergeSnapshot(ListWith({"a", "b"}), Clock::now());
  CPPUNIT_ASSERT(!published.ChangesSince(told).has_value());
}

constexpr milliseconds kGrace{3000};

/** Items of gateways that read them apart from each other. */
class Items : public PublicationState {
 public:
  Items() : PublicationState(kGrace, [](const std::string&) { return true; }) {}

  /** Merges a list of an era. @param number Of the list's revision. */
  void Read(std::uint64_t era,
            std::uint64_t number,
            const std::vector<std::string>& endpoints,
            bool is_complete = true) {
    PublishedItems list = ListWith(endpoints);
    list.is_complete = is_complete;
    list.revision = {era, number};
    for (PublishedItem& item : list.items)
      item.revision.era = era;
    this->MergeSnapshot(list, Clock::now());
  }

  /** Merges what a hub has sent, and waits for the end of the grace. */
  void Follow(const FeedRecord& record) {
    if (record.is_snapshot) {
      this->MergeSnapshot(record.items, Clock::now(), ItemSource::kGateway);
    } else {
      this->MergeChanges(record.items, Clock::now(), ItemSource::kGateway);
    }
    this->ApplyDeferredRemovals(Clock::now() + 2 * kGrace);
  }

  bool Has(const std::string& endpoint) const {
    return this->RevisionOf("servers/" + endpoint) != StoreRevision{};
  }
};

/** Guards against endpoints that are used for good: the reader has read of them
 * elsewhere, and the hub, which has never known them, cannot name them. */
void ListOfANewEraIsGivenWhole() {
  Items hub;
  hub.Read(1, 20, {"a"});
  Feed feed(hub);
  const FeedPosition told = feed.RecordAfter({}).position;
  Items reader;
  reader.Read(1, 25, {"a", "b"});
  hub.Read(2, 15, {"a"});
  const FeedRecord record = feed.RecordAfter(told);
  reader.Follow(record);
  CPPUNIT_ASSERT(reader.Has("a"));
  CPPUNIT_ASSERT(!reader.Has("b"));
  // Once: another list of that era is no news for its reader.
  hub.Read(2, 16, {"a"});
  const FeedRecord next = feed.RecordAfter(record.position);
  CPPUNIT_ASSERT(!next.is_snapshot);
  CPPUNIT_ASSERT(next.items.items.empty());
  // It still holds items of the first one.
  CPPUNIT_ASSERT(feed.RecordAfter(told).is_snapshot);
}

/** Guards against endpoints that are taken from a reader of the whole list. The
 * hub has read the whole of an earlier one.
 * @param era Of the part. */
void PartOfALaterListIsNoSnapshot(std::uint64_t era) {
  Items hub;
  hub.Read(1, 20, {"a"});
  Items reader;
  reader.Read(era, 30, {"a", "b"});
  hub.Read(era, 40, {"a"}, false);
  CPPUNIT_ASSERT(!hub.IsComplete());
  reader.Follow(FirstRecordOf(hub));
  CPPUNIT_ASSERT(reader.Has("b"));
  hub.Read(era, 50, {"a"});
  CPPUNIT_ASSERT(hub.IsComplete());
  reader.Follow(FirstRecordOf(hub));
  CPPUNIT_ASSERT(!reader.Has("b"));
}

/** Guards against a hub_stale whose age is that of another reader's record. */
void AgeOfTheLastAnswerGrows() {
  constexpr milliseconds kSharedTime{200};
  constexpr milliseconds kTime{600};
  Items hub;
  hub.Read(1, 20, {"a"});
  Feed feed(hub);
  const auto answered_at = BootClock::now() - std::chrono::seconds(2);
  for (const bool is_reachable : {true, false}) {
    feed.Publish(answered_at, is_reachable);
    const auto first = feed.RecordAfter({});
    std::this_thread::sleep_for(kTime);
    const auto second = feed.RecordAfter({});
    const auto age = BootClock::now() - answered_at;
    CPPUNIT_ASSERT(!first.is_fresh && !second.is_fresh);
    CPPUNIT_ASSERT(first.age.has_value() && second.age.has_value());
    CPPUNIT_ASSERT(*second.age >= *first.age + kTime - kSharedTime);
    CPPUNIT_ASSERT(*second.age <= age);
  }
}

/** Guards against a process that takes a part of the items for all of them: a
 * hub sends stale items, and in the same bytes what has changed since. */
void ChangesAfterSkippedItemsAreNoList() {
  constexpr milliseconds kListDelay{500};
  const PublishedItems all = ListWith({"a", "b"});
  FeedRecord stale;
  stale.is_snapshot = true;
  stale.position = {77, 3};
  stale.items = all;
  FeedRecord changes;
  changes.is_fresh = true;
  changes.position = {77, 4};
  changes.items = ListWith({});
  const std::string frames = EncodeFeedFrame(stale) + EncodeFeedFrame(changes);
  Reader reader(all, [frames](ScriptedCall& call) { call.Answer(200, frames); },
                {kListDelay, true});
  reader.AddHubs();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reader.RunUntilReady());
}

/** Guards against endpoints that are used for good: the store, which has been
 * read while no hub confirmed, named one that it has not had when the hub could
 * read it. */
void ItemReadElsewhereIsGoneOnceTheHubLacksIt() {
  constexpr StoreRevision kBefore{0, 10};
  constexpr StoreRevision kLater{0, 30};
  PublishedItems all = ListWith({"a", "b"});
  all.items.back().revision = {0, 15};
  FeedRecord record;
  record.is_fresh = true;
  record.position = {77, 3};
  record.items.revision = kLater;
  const std::string changes = EncodeFeedFrame(record);
  record.is_snapshot = true;
  record.items = ListWith({"a"});
  record.items.revision = kLater;
  const std::string later = EncodeFeedFrame(record);
  record.items.revision = kBefore;
  const std::string before = EncodeFeedFrame(record);
  const auto requests_for_all = std::make_shared<std::atomic<int>>(0);
  Reader reader(all, [=](ScriptedCall& call) {
    const FeedPosition none;
    if (std::string(call.Request().target()) !=
        PublicationFeed::TargetOf(none)) {
      call.Answer(200, changes);
      return;
    }
    const bool is_first = ++*requests_for_all == 1;
    // After the list of the store.
    std::this_thread::sleep_for(kHubDelay);
    call.Answer(200, is_first ? before : later);
  });
  reader.AddHubs();
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reader.RunUntilReady());
  reader.RunFor(milliseconds(4000));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reader.EndpointCount());
  // Once: the stream ends after each answer, and goes on from its position.
  CPPUNIT_ASSERT_EQUAL(2, requests_for_all->load());
}

/** A hub whose version knows no eras states 0. The store is in era 1. */
void OnlyAHubOfTheEraIsFollowed(std::uint64_t era) {
  constexpr int kRecords = 15;
  constexpr milliseconds kInterval{200};
  PublishedItems all = ListWith({"a"});
  all.revision.era = 1;
  FeedRecord record;
  record.is_fresh = true;
  record.position = {77, 3};
  record.items.revision = {era, 500};
  const std::string frame = EncodeFeedFrame(record);
  Reader reader(all, [=](ScriptedCall& call) {
    // After the list of the store.
    std::this_thread::sleep_for(kHubDelay);
    std::ostringstream chunk;
    chunk << std::hex << frame.size() << "\r\n" << frame << "\r\n";
    call.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < kRecords && call.Send(chunk.str()); ++i)
      std::this_thread::sleep_for(kInterval);
  });
  reader.AddHubs();
  reader.RunUntilReady();
  reader.RunFor(kRecords / 2 * kInterval);
  CPPUNIT_ASSERT_EQUAL(era == 0, reader.IsReadingStore());
}

/** Longer than a hub may confirm its items after an answer of the store. */
constexpr milliseconds kLongSilence{1900};

/** Guards against followers that are told of nothing while a watch hangs. */
void HubWhoseWatchHangsConfirmsNothing() {
  Reader reader(ListWith({"a"}), nullptr, {{}, false});
  reader.RunUntilReady();
  CPPUNIT_ASSERT(reader.Confirms());
  reader.RunFor(kLongSilence);
  CPPUNIT_ASSERT(!reader.Confirms());
}

void HubWhoseWatchesAreAnsweredConfirms() {
  Reader reader(ListWith({"a"}), nullptr);
  reader.RunUntilReady();
  for (milliseconds time{}; time < 2 * kLongSilence; time += milliseconds(50)) {
    reader.RunFor(milliseconds(50));
    CPPUNIT_ASSERT(reader.Confirms());
  }
}

/** Guards against a process that starts with old items: a hub that was paused
 * confirms them as soon as it runs again. */
void HubThatWasPausedConfirmsNothing() {
  Reader reader(ListWith({"a"}), nullptr);
  reader.RunUntilReady();
  CPPUNIT_ASSERT(reader.Confirms());
  std::this_thread::sleep_for(kLongSilence);
  CPPUNIT_ASSERT(!reader.Confirms());
}

/** Guards against a version that is taken for the only one of its service,
 * though the entry of another one was not listed. */
void PartOfAListProvesNoVersion(bool is_complete) {
  PublishedItems list = ListWith({"a"});
  list.items.back().value.insert(1, R"("version":"v1",)");
  list.is_complete = is_complete;
  Reader reader(list, nullptr);
  reader.RunUntilReady();
  reader.RunFor(milliseconds(4000));
  CPPUNIT_ASSERT_EQUAL(std::string(is_complete ? "v1" : ""),
                       reader.SoleVersion(milliseconds(1000)));
}

const Story kStory("publication_faults", [] {
  return Section(
      "given a list of published items",
      {Section(
           "when one of them throws an unexpected exception",
           {Then("those after it are applied", ItemThatThrowsStopsNoOther)}),
       Section("when a hub confirms it while it is being applied",
               {Then("the gateway is ready once all items are applied",
                     ReadyOnceAllItemsAreApplied)}),
       Section("when it could not be read to its end",
               {Then("it takes nothing away, here or from followers",
                     IncompleteListIsNoSnapshot),
                Then("a reader of it gets the whole list later",
                     ReaderOfAPartGetsTheWholeListLater),
                Then("it does not prove the only version of a service",
                     [] { PartOfAListProvesNoVersion(false); }),
                Then("as a complete one does",
                     [] { PartOfAListProvesNoVersion(true); })}),
       Section("when it is the first one of a new era",
               {Then("a reader of the feed gets all of it, once",
                     ListOfANewEraIsGivenWhole),
                Then("a part of it takes nothing away from followers",
                     [] { PartOfALaterListIsNoSnapshot(2); }),
                Then("nor does a part of a later one of the same era",
                     [] { PartOfALaterListIsNoSnapshot(1); })}),
       Section("when a hub sends stale items and changes at once",
               {Then("the changes are not taken for the whole list",
                     ChangesAfterSkippedItemsAreNoList)}),
       Section("when the store states an era",
               {Then("a hub that states none confirms nothing",
                     [] { OnlyAHubOfTheEraIsFollowed(0); }),
                Then("a hub that states it confirms its items",
                     [] { OnlyAHubOfTheEraIsFollowed(1); })}),
       Section("when a reader has read more of it than its hub",
               {Then("what the hub lacks later is gone",
                     ItemReadElsewhereIsGoneOnceTheHubLacksIt)}),
       Section("when a hub has read it",
               {Then("it confirms it while its watches are answered",
                     HubWhoseWatchesAreAnsweredConfirms),
                Then("it does not while its watch hangs",
                     HubWhoseWatchHangsConfirmsNothing),
                Then("nor after a pause of its process",
                     HubThatWasPausedConfirmsNothing),
                Then("it states how old the store's last answer is",
                     AgeOfTheLastAnswerGrows)})});
});

}  // namespace

}  // namespace buckthornpath
