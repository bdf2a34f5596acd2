/** @file publication_faults.cc Faults of one item while a list is applied. */

#include <cppunit/TestAssert.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "gateway/feed_record.h"
#include "gateway/publication_feed.h"
#include "harness/story.h"
#include "kernel/http_server.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kRevision = 20;

const char* const kConfiguration = R"({"version":1,"routes":[],"services":[]})";

const char* const kEntry =
    R"({"service":"ledger","address":"127.0.0.1:9","slots":8,)"
    R"("state":"ready","coldRemainingMs":0})";

PublishedItems ListWith(const std::vector<std::string>& endpoints) {
  PublishedItems all;
  all.revision = kRevision;
  all.items.push_back({"op/config", kConfiguration, 1, false});
  for (const std::string& endpoint : endpoints)
    all.items.push_back({"servers/" + endpoint, kEntry, 2, false});
  return all;
}

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

/** @return What a feed tells a reader that it does not know. */
FeedRecord FirstRecordOf(const PublicationState& published) {
  asio::io_context io;
  PublicationFeed feed(published, io.get_executor());
  FeedReader reader;
  asio::co_spawn(io, feed.Serve(reader),
                 [](const std::exception_ptr& /*closed*/) {});
  io.run();
  CPPUNIT_ASSERT(reader.record.has_value());
  return *reader.record;
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
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, published.RevisionOf("servers/b"));
  CPPUNIT_ASSERT(FirstRecordOf(published).is_snapshot);
}

const Story kStory("publication_faults", [] {
  return Section("given a list of published items",
                 {Section("when it could not be read to its end",
                          {Then("it takes nothing away, here or from followers",
                                IncompleteListIsNoSnapshot)})});
});

}  // namespace

}  // namespace buckthornpath
