/** @file publication_check.cc Asks the store whether something is not known
 * here. */

#include "gateway/publication_check.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <variant>

#include "gateway/store_history.h"
#include "kernel/boot_clock.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Time between questions: this for each gateway, which bounds the calls of a
 * fleet, and at least the other. */
constexpr milliseconds kIntervalPerGateway{2};
constexpr milliseconds kMinInterval{50};

/** Time between questions after one that has failed. */
constexpr milliseconds kPauseAfterFault{200};

/** Time after which a request that has not asked again has ended. */
constexpr milliseconds kRequestLifetime{100};

/** The store answers at once. */
constexpr milliseconds kWait{1};
constexpr milliseconds kTimeout{400};

}  // namespace

PublicationCheck::PublicationCheck(GatewayState& state,
                                   const PublicationFollower& follower)
    : state(state),
      follower(follower),
      source(state.adapter.MakeSource(state.settings)),
      wake(state.executor) {
  state.confirm_entries = [this](Clock::time_point published_before) {
    this->Request(published_before);
  };
}

void PublicationCheck::Start() {
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->Run(); });
}

void PublicationCheck::Request(Clock::time_point published_before) {
  this->published_before = std::max(this->published_before, published_before);
  this->requested_at = Clock::now();
  this->wake.Set();
}

bool PublicationCheck::IsWanted(Clock::time_point now) const {
  const Clock::time_point wanted = this->published_before;
  return now - this->requested_at < kRequestLifetime &&
         !(this->state.version_history.IsCurrentAsOf(wanted) &&
           this->state.incarnations.IsCurrentAsOf(wanted));
}

asio::awaitable<void> PublicationCheck::Run() {
  while (true) {
    if (!this->IsWanted(Clock::now())) {
      co_await this->wake.Wait();
      continue;
    }
    const auto started_at = Clock::now();
    std::string fault;
    try {
      co_await this->Check();
    } catch (const std::exception& error) {
      fault = error.what();
    }
    if (!fault.empty())
      this->state.failed_check_at = started_at;
    ProcessMetrics().Add(
        "publication_checks_total",
        fault.empty() ? R"(result="answered")" : R"(result="failed")");
    const auto taken =
        std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
    const milliseconds interval =
        fault.empty() ? this->Interval() : kPauseAfterFault;
    co_await SleepFor(std::max(interval - taken, milliseconds(0)));
  }
}

milliseconds PublicationCheck::Interval() const {
  return std::max(kMinInterval,
                  kIntervalPerGateway *
                      static_cast<std::int64_t>(this->state.gateway_count));
}

asio::awaitable<void> PublicationCheck::Check() {
  // What is known is recorded once it has been applied.
  if (!this->follower.HasAppliedAll())
    co_return;
  const StoreRevision known = this->follower.Published().Revision();
  const auto asked_at = BootClock::now();
  PublishedItems changes =
      co_await this->source->ReadChanges(known, kWait, kTimeout);
  CheckNotBehind(known, changes.revision);
  CheckNoLaterEra(changes.revision, this->follower.Published().Revision().era);
  const Finding finding = co_await this->RecordVersions(std::move(changes));
  if (finding != Finding::kOtherTable)
    this->state.ConfirmEntries(asked_at, finding == Finding::kNothingNew);
}

bool PublicationCheck::IsOtherVersion(const EndpointEntry& entry) const {
  const EndpointHandle known = this->state.selector.Find(entry.id);
  return known && known->Entry().version != entry.version;
}

asio::awaitable<PublicationCheck::Finding> PublicationCheck::RecordVersions(
    PublishedItems changes) {
  Finding finding = Finding::kNothingNew;
  for (const PublishedItem& item : changes.items) {
    if (item.removed)
      continue;
    const DecodedItem decoded = co_await this->state.adapter.Decode(item);
    if (const auto* entry = std::get_if<EndpointEntry>(&decoded)) {
      this->state.version_history.RecordServed(entry->service, entry->version,
                                               Clock::now());
      if (this->IsOtherVersion(*entry))
        finding = Finding::kOtherVersion;
    } else if (const auto* table =
                   std::get_if<std::shared_ptr<const RoutingTable>>(&decoded)) {
      // It may have moved the route to another service.
      if (!this->state.table ||
          (*table)->Version() > this->state.table->Version())
        co_return Finding::kOtherTable;
    }
  }
  co_return finding;
}

}  // namespace buckthornpath
