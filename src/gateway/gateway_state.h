/** @file gateway_state.h State shared by all requests of a gateway. */

#ifndef SRC_GATEWAY_GATEWAY_STATE_H_
#define SRC_GATEWAY_GATEWAY_STATE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "buckthornpath/admission_ratio.h"
#include "buckthornpath/endpoint_incarnations.h"
#include "buckthornpath/endpoint_selector.h"
#include "buckthornpath/gateway_roster.h"
#include "buckthornpath/retry_budget.h"
#include "buckthornpath/route_history.h"
#include "buckthornpath/routing_table.h"
#include "buckthornpath/segment_quarantine.h"
#include "buckthornpath/store_revision.h"
#include "buckthornpath/stream_origins.h"
#include "buckthornpath/version_history.h"
#include "buckthornpath/waiting_queue.h"
#include "gateway/byte_budget.h"
#include "gateway/cold_start_guard.h"
#include "gateway/endpoint_connection_pool.h"
#include "gateway/endpoint_crash_probe.h"
#include "gateway/platform_adapter.h"
#include "kernel/boot_clock.h"

namespace buckthornpath {

class ForwardSession;

/** A request that waits for an endpoint with capacity. */
struct Waiter {
  /** Tries to start the request; false if no endpoint has capacity. */
  std::function<bool()> try_start;
  /** Ends the wait if the request must not be started any more. */
  std::function<void()> recheck;
  /** Ends the wait, as the request can't start in time any more. */
  std::function<void()> give_up;
  /** Only endpoints of one software version may serve the request. */
  bool is_bound = false;
};

/** Requests of one service that wait for an endpoint with capacity. */
struct ServiceQueue {
  explicit ServiceQueue(const RetryBudget& retry_budget)
      : retry_budget(retry_budget) {}

  WaitingQueue waiting;
  std::map<WaitTicket, Waiter> waiters;
  RetryBudget retry_budget;
  AdmissionRatio admission;  ///< Used for services without prompts.
};

/** @return A number from 0 to 1 that differs between addresses. */
double SpreadOf(const std::string& address);

/** Where a change of a published item was learnt. */
struct PublicationOrigin {
  std::string source;  ///< "store", or the address of another gateway.
  StoreRevision revision;
  /** Time since the items were last confirmed without the change; 0 if there
   * were none. */
  std::chrono::milliseconds age{};
};

/** State that all requests of a process use. Not thread-safe. */
struct GatewayState {
  using Clock = std::chrono::steady_clock;

  GatewayState(const Settings& settings, asio::any_io_executor executor);

  /** @return The wait queue of a service, created on first use. */
  ServiceQueue& QueueOf(const ServiceName& service);

  /** @return True if there is an idle connection to an endpoint, or if another
   * one may be opened within this process's share of the limit. */
  bool HasConnectionCapacity(const EndpointState& endpoint) const;

  /** @return True if another request may be sent to an endpoint now. */
  bool HasRoom(const EndpointState& endpoint, Clock::time_point now) const {
    return this->HasConnectionCapacity(endpoint) &&
           this->cold_starts.MaySend(endpoint, now);
  }

  /** Sets the number of live gateways, this one included. */
  void SetGatewayCount(std::size_t count);

  /** @return This gateway's share of the retry burst allowance, in retries. */
  double RetryBurst() const;

  /** Starts waiting requests of a service, in order, while endpoints have
   * capacity, and gives up those that can't start in time any more. One that
   * can't start, as it excludes endpoints or needs an unreserved slot, does not
   * hold those behind it. */
  void WakeWaiting(const ServiceName& service);

  /** Starts waiting requests of all services, and ends the wait of those whose
   * version has no endpoint left: one that comes is mostly of another. */
  void WakeAllWaiting();

  /** Ends the wait of all requests that must not be started any more, then
   * starts others. Called when requests have been ruled out as a class. */
  void RecheckAllWaiting();

  /** @return True if a request with this deadline may outlast the drain. */
  bool MayOutlastDrain(Clock::time_point deadline) const {
    return this->latest_deadline && deadline > *this->latest_deadline;
  }

  /** Records what an endpoint says of itself in a response. */
  void RecordStatements(EndpointState& endpoint,
                        const ResponseMetadata& response,
                        unsigned status);

  /** Stops new requests to the endpoints of a failure domain. Those that run
   * there finish; those that wait go elsewhere, or are refused if the service
   * has no other endpoint. */
  void BeginEvacuation(const FailureDomainId& domain,
                       const PublicationOrigin& origin);

  /** Allows requests to the endpoints of a failure domain again. */
  void EndEvacuation(const FailureDomainId& domain,
                     const PublicationOrigin& origin);

  /** Logs and counts changes of the quarantine, and wakes waiting requests,
   * some of which may have to be refused now. */
  void ApplyQuarantineChanges();

  /** Records that an endpoint has refused a connection. */
  void RecordRefusedConnection(const EndpointState& endpoint);

  /** Records that the software versions of all entries are known that had been
   * published at a time; nothing if that is not known for any time, but none
   * can have come and gone unseen.
   * @param is_in_force False: some of the entries are not in force here yet. */
  void ConfirmEntries(std::optional<BootClock::time_point> as_of,
                      bool is_in_force = true);

  /** Ends the wait of requests that must not be started any more.
   * @param is_all False: only of those that are bound to a version. */
  void RecheckWaiting(bool is_all);

  const Settings& settings;
  asio::any_io_executor executor;
  const PlatformAdapter& adapter;
  std::shared_ptr<const RoutingTable> table;  ///< Null until the first is read.
  EndpointSelector selector;
  ColdStartGuard cold_starts;
  EndpointConnectionPool connection_pool;
  SegmentQuarantine quarantine;
  EndpointCrashProbe crash_probe;
  /** Tells other gateways of new crashes without waiting for the next round of
   * gossip; set by the gossip. */
  std::function<void()> announce_crashes;
  std::unordered_map<ServiceName, ServiceQueue> queues;
  std::list<const ForwardSession*> sessions;  ///< Requests in progress.
  StreamOrigins stream_origins;
  /** Tells other gateways of streams that were recorded; set by the gossip. */
  std::function<void()> announce_streams;
  VersionHistory version_history;
  EndpointIncarnations incarnations;
  BootClock::time_point entries_confirmed_at{};
  /** Asks the store for word that all entries published before a time are
   * known; set by PublicationCheck. Requests that wait for it repeat the call.
   */
  std::function<void(Clock::time_point)> confirm_entries;
  /** Start of the last question to the store for that which has failed. */
  Clock::time_point failed_check_at{};
  RouteHistory route_history;
  /** Asks other gateways what began a stream; set by the gossip. */
  std::function<asio::awaitable<std::optional<StreamOrigin>>(StreamKey)>
      ask_stream_origin;
  GatewayRoster roster;
  std::size_t gateway_count = 1;  ///< Live gateways, this one included.
  /** Bytes of requests, and of responses that are buffered until they are
   * complete. */
  ByteBudget buffered_bytes;
  bool is_draining = false;
  /** Set once the process is out of rotation: requests whose deadline is later
   * are refused, as they may outlast the drain. */
  std::optional<Clock::time_point> latest_deadline;
  /** A configuration and all items that came with it have been applied. */
  bool is_loaded = false;
  /** Time at which the store or a peer last confirmed the published items. */
  Clock::time_point confirmed_at{};
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_GATEWAY_STATE_H_
