/** @file publication_follower.cc Applies published items as they change. */

#include "gateway/publication_follower.h"

#include <algorithm>
#include <random>

#include "gateway/store_history.h"
#include "kernel/http_client.h"
#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/scoped_count.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Time after an outage of the store during which removed items are kept: the
 * platform gives their owners two seconds to renew them. */
constexpr milliseconds kRemovalGrace{2300};

/** Interval of the checks for items whose grace period is over. */
constexpr milliseconds kRemovalCheckInterval{50};

/** Delay after a batch of changes, so that the changes that follow arrive with
 * one call. A tenth of the platform's limit for applying a change. */
constexpr milliseconds kBatchDelay{250};

/** Limits of the wait for the store's answer to a read. An answer that is lost
 * never comes: a process that starts without items must not wait for it long. A
 * failed read doubles the time, as the store may be slow. */
constexpr milliseconds kMinReadTimeout{400};
constexpr milliseconds kMaxReadTimeout{1600};

/** Limits of a watch. Its answer may be lost without a trace, and nothing that
 * is published after it began is seen until then: the platform allows two
 * seconds for a change. Followers of a hub need some of them to read the store
 * for themselves; see kConfirmedTime of the feed. */
constexpr milliseconds kMinWatchWait{400};
constexpr milliseconds kMaxWatchWait{800};
constexpr milliseconds kWatchTimeout{800};

/** Wait of a watch that is repeated: its answer tells whether the store can be
 * read. */
constexpr milliseconds kRepeatedWatchWait{1};

/** Time after which a watch counts as one that waited. An answer without
 * changes that comes earlier is repeated with a pause, as a cut one is. */
constexpr milliseconds kMinWatchTime{50};

/** Interval of the checks whether this process has become a hub, or needs
 * one. */
constexpr milliseconds kRoleCheckInterval{25};

/** Time for which a process that starts waits for the answer of a seed. All
 * processes may start within 0.3 s of each other. */
constexpr milliseconds kSeedTime{400};

/** Limit of the time to connect to a hub, and to send a request. */
constexpr milliseconds kHubConnectTimeout{400};

/** Where items come from that no other gateway has sent, in the log. */
constexpr char kStoreSource[] = "store";
constexpr char kDeferredSource[] = "deferred removal";

/** Time without a record after which a hub counts as failed. */
constexpr milliseconds kHubSilence{700};

constexpr unsigned kOk = 200;

}  // namespace

PublicationFollower::PublicationFollower(GatewayState& state)
    : state(state),
      source(state.adapter.MakeSource(state.settings)),
      published(
          kRemovalGrace,
          [this](const std::string& key) {
            return this->state.adapter.EndpointIdFromKey(key).has_value();
          },
          [this](const PublishedItem& item) {
            return this->state.adapter.OrderOf(item);
          }),
      feed(this->published, state.executor),
      upstream(SpreadOf(state.settings.gossip_address)),
      read_timeout(kMinReadTimeout),
      pauses(std::random_device{}()) {}

void PublicationFollower::Start() {
  const std::vector<std::string> seeds =
      SplitAddresses(this->state.settings.gossip_seeds);
  const bool has_other_seeds =
      !seeds.empty() &&
      std::find(seeds.begin(), seeds.end(),
                this->state.settings.gossip_address) == seeds.end();
  // The seeds read the store at once, so that others have a hub to ask.
  if (has_other_seeds)
    this->hub_expected_until = Clock::now() + kSeedTime;
  this->upstream.ExpectHub(this->hub_expected_until);
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->FollowStore(); });
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->FollowHubs(); });
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->RunDeferredRemovals(); });
}

milliseconds PublicationFollower::Age() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                  this->state.confirmed_at);
}

asio::awaitable<void> PublicationFollower::FollowStore() {
  while (true) {
    if (!this->MustReadStore()) {
      this->StopReadingStore();
      co_await SleepFor(kRoleCheckInterval);
      continue;
    }
    this->is_reading_store = true;
    const bool is_watch =
        this->read_revision != StoreRevision{} && !this->is_watch_cut;
    const auto started_at = Clock::now();
    std::string fault;
    bool is_history_lost = false;
    try {
      co_await this->ReadNext();
    } catch (const StoreHistoryCompacted& error) {
      this->read_revision = {};
      is_history_lost = true;
      LogLine(LogLevel::kNotice, "store_history_lost",
              {{"reason", error.what()}});
    } catch (const std::exception& error) {
      fault = error.what();
    }
    const auto read_time =
        std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
    if (is_history_lost || this->MayRepeatWatch(read_time, fault)) {
      co_await SleepFor(this->pauses.AfterFault(read_time));
      continue;
    }
    this->is_watch_cut = false;
    this->RecordStoreResult(read_time, fault);
    if (!fault.empty()) {
      this->read_timeout = std::min(this->read_timeout * 2, kMaxReadTimeout);
      co_await SleepFor(this->pauses.AfterOutage());
      continue;
    }
    this->read_timeout = kMinReadTimeout;
    if (is_watch && read_time >= kMinWatchTime) {
      this->pauses.Reset();
    } else if (is_watch) {
      co_await SleepFor(this->pauses.AfterFault(read_time));
    }
  }
}

bool PublicationFollower::MustReadStore() const {
  const auto now = Clock::now();
  if (this->state.roster.Count() == 1 && now < this->hub_expected_until)
    return false;
  return this->state.roster.IsHub() || this->upstream.MustReadStore(now);
}

bool PublicationFollower::MayUseStaleItems() const {
  return this->state.is_loaded || !this->is_store_reachable;
}

void PublicationFollower::StopReadingStore() {
  if (!this->is_reading_store)
    return;
  this->is_reading_store = false;
  // What others tell meanwhile may lack removals that they keep back.
  this->read_revision = {};
  this->store_answered_at.reset();
  this->PublishToFeed();
}

void PublicationFollower::PublishToFeed() {
  // A follower's word that its items are current would not count: two
  // gateways could confirm each other's.
  this->feed.Publish(
      this->is_reading_store ? this->store_answered_at : std::nullopt,
      this->is_store_reachable);
}

std::optional<std::string> PublicationFollower::HubToFollow() const {
  if (this->state.roster.IsHub())
    return std::nullopt;
  return this->upstream.ChooseHub(
      this->state.roster.HubsOf(this->state.roster.Self().failure_domain),
      Clock::now());
}

asio::awaitable<void> PublicationFollower::FollowHubs() {
  while (true) {
    const std::optional<std::string> chosen = this->HubToFollow();
    if (!chosen) {
      co_await SleepFor(kRoleCheckInterval);
      continue;
    }
    std::string fault;
    try {
      co_await this->ReadFeed(*chosen);
    } catch (const std::exception& error) {
      fault = error.what();
    }
    this->hub.clear();
    if (fault.empty())
      continue;
    this->upstream.RecordFault(*chosen, Clock::now());
    LogLine(LogLevel::kNotice, "hub_lost",
            {{"peer", *chosen}, {"reason", fault}});
  }
}

asio::awaitable<void> PublicationFollower::ReadFeed(std::string address) {
  HttpRequest request;
  request.target = PublicationFeed::TargetOf(this->feed_position);
  const auto stream = co_await HttpResponseStream::Open(
      ParseSocketAddress(address), std::move(request), kHubConnectTimeout);
  if (stream->head().status != kOk) {
    throw HttpError("feed request: expected status 200, got " +
                    std::to_string(stream->head().status));
  }
  this->hub = address;
  LogLine(LogLevel::kNotice, "hub_followed", {{"peer", address}});
  FeedFrameReader frames;
  while (this->HubToFollow() == address) {
    const auto bytes = co_await stream->ReadSome(kHubSilence);
    if (!bytes)
      throw HttpError("feed ended");
    frames.Append(*bytes);
    while (std::optional<FeedRecord> record = frames.Next()) {
      const bool is_used =
          co_await this->ApplyRecord(address, std::move(*record));
      if (!is_used)
        co_return;
    }
  }
}

asio::awaitable<bool> PublicationFollower::ApplyRecord(
    const std::string& address,
    FeedRecord record) {
  const bool is_loaded = record.position.process != 0;
  if (is_loaded && !record.is_fresh) {
    this->upstream.RecordFault(address, Clock::now());
    LogLine(LogLevel::kNotice, "hub_stale",
            {{"peer", address},
             {"age_ms", record.age.value_or(milliseconds(-1)).count()}});
    if (!this->MayUseStaleItems())
      co_return false;
  }
  const StoreRevision known = this->published.Revision();
  const bool is_behind = record.items.revision < known;
  const bool is_new_era = record.items.revision.era > known.era;
  if (record.is_snapshot || !record.items.items.empty() || is_new_era) {
    PublicationOrigin origin = this->OriginOf(address);
    auto changed =
        this->MergeItems(record.is_snapshot ? &PublicationState::MergeSnapshot
                                            : &PublicationState::MergeChanges,
                         record.items, address);
    co_await this->ApplyItems(std::move(changed), std::move(origin));
  }
  const bool is_whole = record.is_snapshot ||
                        record.position.process != this->feed_position.process;
  this->feed_position = record.position;
  const bool must_ask = this->MustAskForAll(record.items.revision, is_whole);
  if (is_behind)
    co_return true;
  if (record.is_fresh || record.is_snapshot)
    this->state.confirmed_at = Clock::now();
  if (record.is_fresh) {
    this->upstream.RecordFresh(address, Clock::now());
    // When the record was made is not known: it may have been held back.
    this->ConfirmEntries(std::nullopt);
  }
  if (!must_ask || !record.is_fresh)
    co_return true;
  this->feed_position = {};
  co_return false;
}

bool PublicationFollower::MustAskForAll(const StoreRevision& revision,
                                        bool is_whole) {
  if (revision < this->read_elsewhere)
    return false;
  if (is_whole)
    this->read_elsewhere = {};
  return this->read_elsewhere != StoreRevision{};
}

asio::awaitable<void> PublicationFollower::ReadNext() {
  const StoreRevision known = this->published.Revision();
  const auto started_at = BootClock::now();
  if (this->read_revision == StoreRevision{}) {
    const PublishedItems all =
        co_await this->source->ReadAll(this->read_timeout);
    CheckNotBehind(known, all.revision);
    // Another gateway may have told of a new era meanwhile.
    CheckNoLaterEra(all.revision, this->published.Revision().era);
    this->store_answered_at = started_at;
    co_await this->ApplyAll(all, kStoreSource);
    if (all.is_complete)
      this->ConfirmEntries(started_at);
    if (!this->state.is_loaded && !all.is_complete)
      throw StoreUnavailable(
          "the list of items ends before the configuration and cannot be read "
          "on");
    this->read_revision = all.revision;
    co_return;
  }
  const StoreRevision after = this->read_revision;
  milliseconds wait =
      std::min(this->state.settings.configuration_wait, this->WatchWait());
  milliseconds timeout = kWatchTimeout;
  if (this->is_watch_cut) {
    wait = kRepeatedWatchWait;
    timeout = this->read_timeout;
  }
  const PublishedItems changes =
      co_await this->source->ReadChanges(after, wait, timeout);
  CheckNotBehind(after, changes.revision);
  CheckNoLaterEra(changes.revision, this->published.Revision().era);
  // The process may have been paused after the answer: it came after the event
  // loop last ran.
  this->store_answered_at = std::max(started_at, this->ran_before);
  PublicationOrigin origin = this->OriginOf(kStoreSource);
  this->state.confirmed_at = Clock::now();
  auto changed =
      this->MergeItems(&PublicationState::MergeChanges, changes, kStoreSource);
  co_await this->ApplyItems(std::move(changed), std::move(origin));
  // The answer may have been held back since the question.
  this->ConfirmEntries(started_at);
  this->read_revision = std::max(this->read_revision, changes.revision);
  if (!changes.items.empty() || changes.unreadable > 0)
    co_await SleepFor(kBatchDelay);
}

void PublicationFollower::ConfirmEntries(
    std::optional<BootClock::time_point> as_of) {
  // What a part of a list lacks is not known to have gone.
  if (this->published.IsComplete())
    this->state.ConfirmEntries(as_of);
}

milliseconds PublicationFollower::WatchWait() const {
  // The answer is due before the one before it is too old for followers.
  const auto age = std::chrono::duration_cast<milliseconds>(
      BootClock::now() - this->store_answered_at.value_or(BootClock::now()));
  return std::max(kMaxWatchWait - age, kMinWatchWait);
}

bool PublicationFollower::MayRepeatWatch(milliseconds read_time,
                                         const std::string& fault) {
  if (fault.empty() || this->read_revision == StoreRevision{} ||
      this->is_watch_cut)
    return false;
  this->is_watch_cut = true;
  LogLine(LogLevel::kNotice, "watch_cut",
          {{"reason", fault}, {"read_ms", read_time.count()}});
  return true;
}

void PublicationFollower::RecordStoreResult(milliseconds read_time,
                                            const std::string& fault) {
  const bool is_reachable = fault.empty();
  if (!is_reachable) {
    ProcessMetrics().Add("store_faults_total");
    this->published.RecordOutage(Clock::now());
    // Items may have been removed during the outage without a change event.
    this->read_revision = {};
  }
  if (is_reachable == this->is_store_reachable) {
    this->PublishToFeed();
    return;
  }
  this->is_store_reachable = is_reachable;
  this->PublishToFeed();
  if (is_reachable) {
    LogLine(LogLevel::kNotice, "store_regained");
    return;
  }
  LogLine(LogLevel::kWarning, "store_lost",
          {{"reason", fault}, {"read_ms", read_time.count()}});
}

asio::awaitable<void> PublicationFollower::RunDeferredRemovals() {
  while (true) {
    co_await SleepFor(kRemovalCheckInterval);
    this->ran_before = std::exchange(this->ran_at, BootClock::now());
    auto removed = this->published.ApplyDeferredRemovals(Clock::now());
    if (removed.empty())
      continue;
    PublicationOrigin origin = this->OriginOf(kDeferredSource);
    co_await this->ApplyItems(std::move(removed), std::move(origin));
  }
}

asio::awaitable<void> PublicationFollower::ApplyFromPeer(PublishedItems all,
                                                         std::string address) {
  if (all.revision <= this->published.Revision() || !this->MayUseStaleItems())
    co_return;
  LogLine(LogLevel::kNotice, "published_by_peer",
          {{"era", all.revision.era}, {"revision", all.revision.number}});
  co_await this->ApplyAll(all, std::move(address));
}

PublicationOrigin PublicationFollower::OriginOf(std::string source) const {
  const bool has_items = this->state.confirmed_at != Clock::time_point{};
  return {std::move(source), {}, has_items ? this->Age() : milliseconds(0)};
}

std::vector<PublishedItem> PublicationFollower::MergeItems(
    Merge merge,
    const PublishedItems& items,
    const std::string& source) {
  const StoreRevision held = this->published.Revision();
  const ItemSource kind =
      source == kStoreSource ? ItemSource::kStore : ItemSource::kGateway;
  auto changed = (this->published.*merge)(items, Clock::now(), kind);
  const bool has_news =
      std::any_of(changed.begin(), changed.end(),
                  [](const PublishedItem& item) { return !item.removed; });
  if (has_news && source != this->hub)
    this->read_elsewhere = std::max(this->read_elsewhere, items.revision);
  if (held != StoreRevision{} && items.revision.era > held.era) {
    // The copy lacks entries that other gateways may have used.
    this->state.version_history.RecordGap(Clock::now());
    LogLine(LogLevel::kNotice, "store_era_began",
            {{"source", source},
             {"era", items.revision.era},
             {"revision", items.revision.number},
             {"held_era", held.era},
             {"held_revision", held.number}});
  }
  return changed;
}

asio::awaitable<void> PublicationFollower::ApplyAll(const PublishedItems& all,
                                                    std::string source) {
  auto changed =
      this->MergeItems(&PublicationState::MergeSnapshot, all, source);
  PublicationOrigin origin = this->OriginOf(std::move(source));
  this->state.confirmed_at = Clock::now();
  co_await this->ApplyItems(std::move(changed), std::move(origin));
}

asio::awaitable<void> PublicationFollower::ApplyItems(
    std::vector<PublishedItem> changed,
    PublicationOrigin origin) {
  const ScopedCount mark(this->applying);
  for (const auto& [key, until] : this->published.TakeDeferred()) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    LogLine(LogLevel::kNotice, "removal_deferred",
            {{"key", key}, {"for_ms", left.count()}});
  }
  this->ReportOutdated();
  for (const PublishedItem& item : changed) {
    origin.revision = item.revision;
    std::string fault;
    try {
      co_await this->ApplyItem(item, origin);
    } catch (const std::exception& error) {
      fault = error.what();
    }
    // The items after it are merged already and would not be applied again.
    if (!fault.empty() && this->published.Holds(item))
      this->IgnoreItem(item, fault);
  }
  // Other items may be in the middle of being applied.
  if (this->applying == 1)
    this->state.is_loaded = this->state.table != nullptr;
  if (!changed.empty()) {
    this->PublishToFeed();
    this->state.WakeAllWaiting();
  }
}

void PublicationFollower::ReportOutdated() {
  for (const std::string& key : this->published.TakeOutdated()) {
    if (this->outdated.Add(key)) {
      LogLine(LogLevel::kNotice, "item_outdated",
              {{"key", key},
               {"reason",
                "its writer has said before that it leaves, or has started "
                "again"}});
    }
  }
}

void PublicationFollower::ApplyRemoval(const PublishedItem& item,
                                       const PublicationOrigin& origin) {
  const PlatformAdapter& adapter = this->state.adapter;
  // The item may have been published again while others were decoded.
  if (this->published.RevisionOf(item.key) != StoreRevision{})
    return;
  if (const auto endpoint = adapter.EndpointIdFromKey(item.key)) {
    LogLine(LogLevel::kNotice, "endpoint_gone",
            {{"endpoint", *endpoint},
             {"era", item.revision.era},
             {"revision", item.revision.number}});
    this->state.selector.Withdraw(*endpoint);
    this->state.version_history.RecordWithdrawn(*endpoint, Clock::now());
    this->state.incarnations.Forget(*endpoint);
    this->state.cold_starts.RecordWithdrawn(*endpoint);
    this->state.connection_pool.CloseIdle(*endpoint);
  } else if (const auto domain = adapter.EvacuatedDomainFromKey(item.key)) {
    this->state.EndEvacuation(*domain, origin);
  }
}

asio::awaitable<void> PublicationFollower::ApplyItem(PublishedItem item,
                                                     PublicationOrigin origin) {
  if (item.removed) {
    this->reported.Remove(item.key);
    this->outdated.Remove(item.key);
    this->ApplyRemoval(item, origin);
    co_return;
  }
  const DecodedItem decoded = co_await this->state.adapter.Decode(item);
  // The item may have changed again while it was decoded, or with the same
  // answer; other gateways may have used it.
  if (!this->published.Holds(item)) {
    if (const auto* entry = std::get_if<EndpointEntry>(&decoded)) {
      this->state.version_history.RecordServed(entry->service, entry->version,
                                               Clock::now());
    }
    co_return;
  }
  if (const auto* ignored = std::get_if<IgnoredItem>(&decoded)) {
    this->IgnoreItem(item, ignored->reason);
    co_return;
  }
  this->reported.Remove(item.key);
  this->outdated.Remove(item.key);
  if (const auto* table =
          std::get_if<std::shared_ptr<const RoutingTable>>(&decoded)) {
    this->ApplyTable(*table);
  } else if (const auto* evacuation = std::get_if<DomainEvacuation>(&decoded)) {
    this->state.BeginEvacuation(evacuation->domain, origin);
  } else {
    this->ApplyEndpoint(std::get<EndpointEntry>(decoded));
  }
}

void PublicationFollower::IgnoreItem(const PublishedItem& item,
                                     const std::string& reason) {
  if (!reason.empty() && this->reported.Add(item.key)) {
    LogLine(LogLevel::kWarning, "item_unusable",
            {{"key", item.key}, {"reason", reason}});
  }
  // An endpoint whose entry cannot be used must not be used.
  if (const auto endpoint = this->state.adapter.EndpointIdFromKey(item.key)) {
    this->state.selector.Withdraw(*endpoint);
    this->state.version_history.RecordWithdrawn(*endpoint, Clock::now());
    this->state.incarnations.Forget(*endpoint);
  }
}

void PublicationFollower::ApplyTable(
    std::shared_ptr<const RoutingTable> table) {
  if (this->state.table && this->state.table->Version() >= table->Version())
    return;
  LogLine(LogLevel::kNotice, "configuration_in_force",
          {{"version", table->Version()},
           {"routes", table->RouteCount()},
           {"era", this->published.Revision().era}});
  for (const ServiceConfig& service : table->Services()) {
    this->state.selector.SetEngineMemory(
        service.name, static_cast<std::int64_t>(service.engine_memory_tokens));
  }
  this->state.route_history.Record(*table, Clock::now());
  this->state.table = std::move(table);
}

void PublicationFollower::ApplyEndpoint(const EndpointEntry& entry) {
  const EndpointHandle known = this->state.selector.Find(entry.id);
  if (!known || known->Entry().leaving != entry.leaving) {
    constexpr LogEventName kUp("endpoint_up");
    constexpr LogEventName kLeaving("endpoint_leaving");
    LogLine(LogLevel::kNotice, entry.leaving ? kLeaving : kUp,
            {{"endpoint", entry.id},
             {"service", entry.service},
             {"address", entry.address},
             {"era", this->published.Revision().era}});
  }
  if (known && IsOfEarlierProcess({.born_ms = known->Entry().born_ms},
                                  {.born_ms = entry.born_ms}))
    this->state.incarnations.Forget(entry.id);
  this->state.cold_starts.RecordPublished(entry, !this->state.is_loaded,
                                          Clock::now());
  this->state.selector.Publish(entry);
  this->state.version_history.RecordPublished(entry.id, entry.service,
                                              entry.version, Clock::now());
  if (entry.leaving)
    this->state.connection_pool.CloseIdle(entry.id);
}

}  // namespace buckthornpath
