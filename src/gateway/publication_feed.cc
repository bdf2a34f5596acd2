/** @file publication_feed.cc Hands published items on to other gateways. */

#include "gateway/publication_feed.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include "kernel/url_text.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Interval of records without changes; several fit into the time after which
 * a reader considers its items stale. */
constexpr milliseconds kConfirmInterval{200};

/** Age of the store's last answer up to which it confirms the items: a watch
 * waits for 800 ms at most, and its answer may be late on a slow machine. */
constexpr milliseconds kConfirmedTime{1300};

/** Time for which readers share a frame: the age that it states grows. Many
 * ask for a snapshot at once, which takes long to make. */
constexpr milliseconds kMaxFrameAge{25};
constexpr milliseconds kMaxSnapshotAge{200};

/** @return A number of the query; 0 if it is missing or malformed. */
std::uint64_t NumberOf(const HttpRequest& request, std::string_view name) {
  const std::string text = request.QueryParameter(name).value_or("");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/** Registers a reader's signal for the lifetime of the object. */
class Registration {
 public:
  Registration(std::set<WakeSignal*>& readers, WakeSignal& signal)
      : readers(readers), signal(signal) {
    this->readers.insert(&this->signal);
  }
  ~Registration() { this->readers.erase(&this->signal); }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

 private:
  std::set<WakeSignal*>& readers;
  WakeSignal& signal;
};

}  // namespace

PublicationFeed::PublicationFeed(const PublicationState& published,
                                 asio::any_io_executor executor)
    : published(published),
      executor(std::move(executor)),
      process(std::mt19937_64(std::random_device{}())()) {}

std::string PublicationFeed::TargetOf(const FeedPosition& position) {
  return MakeTarget(kFeedPath,
                    {{"process", std::to_string(position.process)},
                     {"changes", std::to_string(position.change_count)}});
}

void PublicationFeed::Publish(
    std::optional<BootClock::time_point> store_answered_at,
    bool is_reachable) {
  this->store_answered_at = store_answered_at;
  this->is_store_reachable = is_reachable;
  for (WakeSignal* reader : this->readers)
    reader->Set();
}

bool PublicationFeed::IsFresh(BootClock::time_point now) const {
  // Before the first read there is no state that a reader could rely on.
  return this->published.Revision() != StoreRevision{} &&
         this->is_store_reachable && this->store_answered_at &&
         now - *this->store_answered_at < kConfirmedTime;
}

FeedRecord PublicationFeed::NextRecord(FeedPosition reader,
                                       BootClock::time_point now) const {
  FeedRecord record;
  const bool is_loaded = this->published.Revision() != StoreRevision{};
  record.is_fresh = this->IsFresh(now);
  if (this->store_answered_at) {
    record.age = std::chrono::duration_cast<milliseconds>(
        now - *this->store_answered_at);
  }
  record.position = {this->process, this->published.ChangeCount()};
  std::optional<PublishedItems> changes;
  if (reader.process == this->process)
    changes = this->published.ChangesSince(reader.change_count);
  // A reader removes what a snapshot lacks.
  record.is_snapshot = !changes && is_loaded && this->published.IsComplete();
  if (changes) {
    record.items = std::move(*changes);
  } else if (is_loaded) {
    record.items = this->published.All();
  } else {
    record.position = {};
  }
  return record;
}

std::shared_ptr<const std::string> PublicationFeed::NextFrame(
    FeedPosition& reader) {
  // Positions of other processes all need the same snapshot.
  const FeedPosition from =
      reader.process == this->process ? reader : FeedPosition{};
  const FeedPosition to{this->process, this->published.ChangeCount()};
  const auto now = BootClock::now();
  const bool is_shared =
      this->last_frame && this->last_from == from && this->last_to == to &&
      this->last_revision == this->published.Revision() &&
      this->last_is_fresh == this->IsFresh(now) &&
      now - this->last_made_at <
          (this->last_is_snapshot ? kMaxSnapshotAge : kMaxFrameAge);
  if (!is_shared) {
    const FeedRecord record = this->NextRecord(from, now);
    this->last_frame =
        std::make_shared<const std::string>(EncodeFeedFrame(record));
    this->last_from = from;
    this->last_to = record.position;
    this->last_revision = record.items.revision;
    this->last_is_fresh = record.is_fresh;
    this->last_is_snapshot = record.is_snapshot;
    this->last_made_at = now;
  }
  reader = this->last_to;
  return this->last_frame;
}

milliseconds PublicationFeed::TimeToNextRecord() const {
  const auto now = BootClock::now();
  if (!this->IsFresh(now))
    return kConfirmInterval;
  // Readers hear at once that the items are no longer confirmed.
  const auto left = std::chrono::ceil<milliseconds>(*this->store_answered_at +
                                                    kConfirmedTime - now);
  return std::min(kConfirmInterval, left);
}

asio::awaitable<void> PublicationFeed::Serve(HttpExchange& exchange) {
  FeedPosition reader{NumberOf(exchange.request(), "process"),
                      NumberOf(exchange.request(), "changes")};
  WakeSignal signal(this->executor);
  const Registration registration(this->readers, signal);
  HttpResponse head;
  head.headers.Append("Content-Type", "application/cbor");
  co_await exchange.BeginStream(std::move(head));
  while (true) {
    const auto frame = this->NextFrame(reader);
    co_await exchange.WriteChunk(*frame);
    // Changes that were applied meanwhile have set the signal.
    co_await signal.WaitUntil(std::chrono::steady_clock::now() +
                              this->TimeToNextRecord());
  }
}

}  // namespace buckthornpath
