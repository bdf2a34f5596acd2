/** @file publication_follower.cc Applies published items as they change. */

#include "gateway/publication_follower.h"

#include <algorithm>
#include <random>

#include "kernel/json_types.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Time after an outage of the store during which removed items are kept: the
 * platform gives their owners two seconds to renew them. */
constexpr milliseconds kRemovalGrace{2300};

/** Interval of the checks for items whose grace period is over. */
constexpr milliseconds kRemovalCheckInterval{200};

/** Delay after a batch of changes, so that the changes that follow arrive with
 * one call. A tenth of the platform's limit for applying a change. */
constexpr milliseconds kBatchDelay{250};

/** Initial and maximum backoff after a failed call. */
constexpr milliseconds kInitialBackoff{100};
constexpr milliseconds kMaxBackoff{800};

}  // namespace

PublicationFollower::PublicationFollower(GatewayState& state)
    : state(state),
      source(state.adapter.MakeSource(state.settings)),
      published(kRemovalGrace) {}

void PublicationFollower::Start() {
  WorkerPool::SpawnOn(this->state.executor, this->FollowStore());
  WorkerPool::SpawnOn(this->state.executor, this->RunDeferredRemovals());
}

milliseconds PublicationFollower::Age() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                  this->state.confirmed_at);
}

asio::awaitable<void> PublicationFollower::FollowStore() {
  std::mt19937_64 random{std::random_device{}()};
  milliseconds backoff = kInitialBackoff;
  while (true) {
    std::string fault;
    try {
      co_await this->ReadNext();
    } catch (const StoreHistoryCompacted& error) {
      this->read_revision = 0;
      LogLine(LogLevel::kNotice, "store_history_lost",
              {{"reason", error.what()}});
      continue;
    } catch (const std::exception& error) {
      fault = error.what();
    }
    this->RecordStoreResult(fault.empty(), fault);
    if (fault.empty()) {
      backoff = kInitialBackoff;
      continue;
    }
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2,
                                                       backoff.count());
    co_await SleepFor(milliseconds(jitter(random)));
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

asio::awaitable<void> PublicationFollower::ReadNext() {
  if (this->read_revision == 0) {
    const PublishedItems all = co_await this->source->ReadAll();
    co_await this->ApplyAll(all);
    this->read_revision = all.revision;
    co_return;
  }
  const PublishedItems changes = co_await this->source->ReadChanges(
      this->read_revision, this->state.settings.configuration_wait);
  this->state.confirmed_at = Clock::now();
  auto changed =
      this->published.MergeChanges(changes, this->state.confirmed_at);
  co_await this->ApplyItems(std::move(changed));
  this->read_revision = std::max(this->read_revision, changes.revision);
  if (!changes.items.empty())
    co_await SleepFor(kBatchDelay);
}

void PublicationFollower::RecordStoreResult(bool is_reachable,
                                            const std::string& fault) {
  if (!is_reachable) {
    ProcessMetrics().Add("store_faults_total");
    this->published.RecordOutage(Clock::now());
    // Items may have been removed during the outage without a change event.
    this->read_revision = 0;
  }
  if (is_reachable == this->is_store_reachable)
    return;
  this->is_store_reachable = is_reachable;
  if (is_reachable)
    LogLine(LogLevel::kNotice, "store_regained");
  else
    LogLine(LogLevel::kWarning, "store_lost", {{"reason", fault}});
}

asio::awaitable<void> PublicationFollower::RunDeferredRemovals() {
  while (true) {
    co_await SleepFor(kRemovalCheckInterval);
    auto removed = this->published.ApplyDeferredRemovals(Clock::now());
    if (!removed.empty())
      co_await this->ApplyItems(std::move(removed));
  }
}

asio::awaitable<void> PublicationFollower::ApplyFromPeer(PublishedItems all) {
  if (all.revision <= this->published.Revision())
    co_return;
  LogLine(LogLevel::kNotice, "published_by_peer", {{"revision", all.revision}});
  co_await this->ApplyAll(all);
}

asio::awaitable<void> PublicationFollower::ApplyAll(const PublishedItems& all) {
  this->state.confirmed_at = Clock::now();
  auto changed = this->published.MergeSnapshot(all, this->state.confirmed_at);
  co_await this->ApplyItems(std::move(changed));
}

asio::awaitable<void> PublicationFollower::ApplyItems(
    std::vector<PublishedItem> changed) {
  for (const PublishedItem& item : changed)
    co_await this->ApplyItem(item);
  this->state.is_loaded = this->state.table != nullptr;
  if (!changed.empty())
    this->state.WakeAllWaiting();
}

asio::awaitable<void> PublicationFollower::ApplyItem(PublishedItem item) {
  const auto endpoint = this->state.adapter.EndpointIdFromKey(item.key);
  if (item.removed) {
    if (!endpoint)
      co_return;
    LogLine(LogLevel::kNotice, "endpoint_gone",
            {{"endpoint", *endpoint}, {"revision", item.revision}});
    this->state.selector.Withdraw(*endpoint);
    this->state.connection_pool.CloseIdle(*endpoint);
    co_return;
  }
  const DecodedItem decoded = co_await this->state.adapter.Decode(item);
  // The item may have changed again while it was decoded.
  if (this->published.RevisionOf(item.key) != item.revision)
    co_return;
  if (const auto* ignored = std::get_if<IgnoredItem>(&decoded)) {
    if (!ignored->reason.empty()) {
      LogLine(LogLevel::kWarning, "item_unusable",
              {{"key", item.key}, {"reason", ignored->reason}});
    }
    // An endpoint whose entry cannot be decoded must not be used.
    if (endpoint)
      this->state.selector.Withdraw(*endpoint);
  } else if (const auto* table =
                 std::get_if<std::shared_ptr<const RoutingTable>>(&decoded)) {
    this->ApplyTable(*table);
  } else {
    this->ApplyEndpoint(std::get<EndpointEntry>(decoded));
  }
}

void PublicationFollower::ApplyTable(
    std::shared_ptr<const RoutingTable> table) {
  if (this->state.table && this->state.table->Version() >= table->Version())
    return;
  LogLine(LogLevel::kNotice, "configuration_in_force",
          {{"version", table->Version()}, {"routes", table->RouteCount()}});
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
             {"address", entry.address}});
  }
  this->state.selector.Publish(entry);
  if (entry.leaving)
    this->state.connection_pool.CloseIdle(entry.id);
}

}  // namespace buckthornpath
