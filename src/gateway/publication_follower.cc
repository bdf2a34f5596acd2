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
constexpr milliseconds kLapseGrace{2300};

/** Interval of the checks for items whose grace period is over. */
constexpr milliseconds kLapseInterval{200};

/** Delay after a batch of changes, so that the changes that follow arrive with
 * one call. A tenth of the platform's limit for applying a change. */
constexpr milliseconds kGatherTime{250};

/** Initial and maximum backoff after a failed call. */
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kLongestPause{800};

}  // namespace

PublicationFollower::PublicationFollower(GatewayState& state)
    : state(state),
      source(state.adapter.MakeSource(state.settings)),
      held(kLapseGrace) {}

void PublicationFollower::Start() {
  WorkerPool::SpawnOn(this->state.executor, this->Follow());
  WorkerPool::SpawnOn(this->state.executor, this->SweepLapsed());
}

milliseconds PublicationFollower::Age() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                  this->state.published_at);
}

asio::awaitable<void> PublicationFollower::Follow() {
  std::mt19937_64 random{std::random_device{}()};
  milliseconds pause = kFirstPause;
  while (true) {
    std::string fault;
    try {
      co_await this->Step();
    } catch (const StoreHistoryLost& error) {
      this->read_revision = 0;
      LogLine(LogLevel::kNotice, "store_history_lost",
              {{"reason", error.what()}});
      continue;
    } catch (const std::exception& error) {
      fault = error.what();
    }
    this->NoteStore(fault.empty(), fault);
    if (fault.empty()) {
      pause = kFirstPause;
      continue;
    }
    std::uniform_int_distribution<std::int64_t> spread(pause.count() / 2,
                                                       pause.count());
    co_await SleepFor(milliseconds(spread(random)));
    pause = std::min(pause * 2, kLongestPause);
  }
}

asio::awaitable<void> PublicationFollower::Step() {
  if (this->read_revision == 0) {
    const PublishedItems all = co_await this->source->ReadAll();
    co_await this->PutAllInForce(all);
    this->read_revision = all.revision;
    co_return;
  }
  const PublishedItems changes = co_await this->source->ReadChanges(
      this->read_revision, this->state.settings.configuration_wait);
  this->state.published_at = Clock::now();
  auto changed = this->held.TakeChanges(changes, this->state.published_at);
  co_await this->PutInForce(std::move(changed));
  this->read_revision = std::max(this->read_revision, changes.revision);
  if (!changes.items.empty())
    co_await SleepFor(kGatherTime);
}

void PublicationFollower::NoteStore(bool reached, const std::string& fault) {
  if (!reached) {
    ProcessMetrics().Add("store_faults_total");
    this->held.NoteOutage(Clock::now());
    // Items may have been removed during the outage without a change event.
    this->read_revision = 0;
  }
  if (reached == this->is_store_reached)
    return;
  this->is_store_reached = reached;
  if (reached)
    LogLine(LogLevel::kNotice, "store_regained");
  else
    LogLine(LogLevel::kWarning, "store_lost", {{"reason", fault}});
}

asio::awaitable<void> PublicationFollower::SweepLapsed() {
  while (true) {
    co_await SleepFor(kLapseInterval);
    auto lapsed = this->held.TakeLapsed(Clock::now());
    if (!lapsed.empty())
      co_await this->PutInForce(std::move(lapsed));
  }
}

asio::awaitable<void> PublicationFollower::TakeFromPeer(PublishedItems all) {
  if (all.revision <= this->held.Revision())
    co_return;
  LogLine(LogLevel::kNotice, "published_by_peer", {{"revision", all.revision}});
  co_await this->PutAllInForce(all);
}

asio::awaitable<void> PublicationFollower::PutAllInForce(
    const PublishedItems& all) {
  this->state.published_at = Clock::now();
  auto changed = this->held.TakeAll(all, this->state.published_at);
  co_await this->PutInForce(std::move(changed));
}

asio::awaitable<void> PublicationFollower::PutInForce(
    std::vector<PublishedItem> changed) {
  for (const PublishedItem& item : changed)
    co_await this->PutItemInForce(item);
  this->state.is_published = this->state.table != nullptr;
  if (!changed.empty())
    this->state.OfferRoomEverywhere();
}

asio::awaitable<void> PublicationFollower::PutItemInForce(PublishedItem item) {
  const auto endpoint = this->state.adapter.EndpointOfKey(item.key);
  if (item.removed) {
    if (!endpoint)
      co_return;
    LogLine(LogLevel::kNotice, "endpoint_gone",
            {{"endpoint", *endpoint}, {"revision", item.revision}});
    this->state.board.Withdraw(*endpoint);
    this->state.connections.Forget(*endpoint);
    co_return;
  }
  const PublishedMeaning meaning = co_await this->state.adapter.Decode(item);
  // The item may have changed again while it was decoded.
  if (this->held.RevisionOf(item.key) != item.revision)
    co_return;
  if (const auto* unusable = std::get_if<UnusableItem>(&meaning)) {
    if (!unusable->reason.empty()) {
      LogLine(LogLevel::kWarning, "item_unusable",
              {{"key", item.key}, {"reason", unusable->reason}});
    }
    // An endpoint whose entry cannot be decoded must not be used.
    if (endpoint)
      this->state.board.Withdraw(*endpoint);
  } else if (const auto* table =
                 std::get_if<std::shared_ptr<const RoutingTable>>(&meaning)) {
    this->PutTableInForce(*table);
  } else {
    this->PutEndpointInForce(std::get<EndpointEntry>(meaning));
  }
}

void PublicationFollower::PutTableInForce(
    std::shared_ptr<const RoutingTable> table) {
  if (this->state.table && this->state.table->Version() >= table->Version())
    return;
  LogLine(LogLevel::kNotice, "configuration_in_force",
          {{"version", table->Version()}, {"routes", table->RouteCount()}});
  this->state.table = std::move(table);
}

void PublicationFollower::PutEndpointInForce(const EndpointEntry& entry) {
  const EndpointHandle known = this->state.board.Find(entry.id);
  if (!known || known->Entry().leaving != entry.leaving) {
    constexpr LogEventName kUp("endpoint_up");
    constexpr LogEventName kLeaving("endpoint_leaving");
    LogLine(LogLevel::kNotice, entry.leaving ? kLeaving : kUp,
            {{"endpoint", entry.id},
             {"service", entry.service},
             {"address", entry.address}});
  }
  this->state.board.Publish(entry);
  if (entry.leaving)
    this->state.connections.Forget(entry.id);
}

}  // namespace buckthornpath
