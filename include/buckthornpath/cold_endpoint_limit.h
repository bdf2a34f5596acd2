/** @file cold_endpoint_limit.h Limits requests to endpoints that have just
 * started. */

#ifndef BUCKTHORNPATH_COLD_ENDPOINT_LIMIT_H_
#define BUCKTHORNPATH_COLD_ENDPOINT_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** What the endpoints of a service bear after a start. */
struct ColdStartPolicy {
  double requests_per_second = 0;  ///< 0: as much as at any time.
  std::chrono::milliseconds duration{};

  bool IsLimited() const { return this->requests_per_second > 0; }
};

/** Part of a gateway in the allowance of a cold endpoint. */
struct ColdEndpointShare {
  double overage = 1;       ///< Allowance relative to the policy's rate.
  double slack = 0;         ///< Allowance beyond that, in requests a second.
  std::size_t senders = 0;  ///< Gateways that share it, by configuration.
  bool is_sender = false;   ///< This gateway is one of them.
};

/**
 * Limits the requests that all gateways together send to an endpoint while it
 * is cold, and lets its load rise slowly afterwards. Answers one load pattern:
 * an endpoint that comes back is idle, so every gateway would choose it at
 * once, and a process with cold caches crashes under that.
 *
 * The configuration names the gateways that may send to cold endpoints. Each of
 * them keeps its requests to one endpoint a fixed time apart; that time depends
 * on the configuration alone. So the sum holds whether or not gateways know of
 * each other, and after any restart of theirs. Half of the allowance is unused:
 * it holds even if twice as many gateways as the list has names find themselves
 * in their lists, as after a change that has not reached all.
 *
 * After that, an endpoint gets as many requests at a time from this process as
 * it has answered since, beginning with a few. Does no I/O. Not thread-safe.
 */
class ColdEndpointLimit {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using WallTime = std::chrono::system_clock::time_point;

  /** What the published record of an endpoint says of its start. */
  struct Publication {
    std::int64_t born_ms = 0;  ///< Unix time of its start; 0 if unknown.
    std::chrono::milliseconds remaining{};  ///< For which it stays cold.
    /** The first items that this process reads list endpoints that have run
     * all along: only what they state counts. */
    bool is_first_read = false;
  };

  ColdEndpointLimit(const ColdEndpointShare& share, TimePoint started_at)
      : share(share), started_at(started_at) {}

  void RecordPublished(const EndpointId& id,
                       const Publication& published,
                       TimePoint now,
                       WallTime wall_time);

  /** Records that an endpoint is no longer published. */
  void RecordWithdrawn(const EndpointId& id);

  /** Records for how long an endpoint says that it stays cold. */
  void RecordStatement(const EndpointId& id,
                       std::chrono::milliseconds remaining,
                       TimePoint now);

  /** Records that a process at the endpoint may have started just now. */
  void RecordPossibleRestart(const EndpointId& id, TimePoint now);

  /** Records that no process listens at the endpoint's address: one may start
   * at any moment. */
  void RecordRefusedConnection(const EndpointId& id, TimePoint now);

  /** Records that an endpoint has answered or failed a request. */
  void RecordResult(const EndpointId& id,
                    const ColdStartPolicy& policy,
                    bool is_served,
                    TimePoint now);

  /** @return True if the endpoint is cold, or may be. */
  bool IsCold(const EndpointId& id,
              const ColdStartPolicy& policy,
              TimePoint now) const {
    return now < this->ColdUntil(id, policy);
  }

  /** @return When the endpoint is expected to be warm; the past if it is. */
  TimePoint ColdUntil(const EndpointId& id,
                      const ColdStartPolicy& policy) const;

  /**
   * @param open_requests Of this process at the endpoint.
   * @return True if a request may be sent now; RecordSend() must follow.
   */
  bool MaySend(const EndpointId& id,
               const ColdStartPolicy& policy,
               std::int64_t open_requests,
               TimePoint now) const;

  /** Records that a request is sent to an endpoint, cold or not. */
  void RecordSend(const EndpointId& id,
                  const ColdStartPolicy& policy,
                  TimePoint now);

  /** @return True if a request that was granted at a time may be sent now: the
   * endpoint has not turned cold since. */
  bool IsGranted(const EndpointId& id,
                 const ColdStartPolicy& policy,
                 TimePoint granted_at,
                 TimePoint now) const;

  /** @return Time between two requests of this process to a cold endpoint;
   * empty if it may send none. */
  std::optional<std::chrono::nanoseconds> Interval(
      const ColdStartPolicy& policy) const;

 private:
  struct Endpoint {
    std::int64_t born_ms = 0;
    bool is_gone = false;              ///< Was published, and is not now.
    TimePoint stated_until{};          ///< By the endpoint's own word.
    std::optional<TimePoint> start;    ///< Latest start that is assumed.
    TimePoint news_at{};               ///< Latest news of a start.
    std::optional<TimePoint> granted;  ///< Last request while cold.
    /** Requests allowed at a time once it is warm; 0: any number. */
    std::int64_t window = 0;
  };

  Endpoint& StateOf(const EndpointId& id, TimePoint now);
  const Endpoint* Find(const EndpointId& id) const;
  static TimePoint ColdUntil(const Endpoint& endpoint,
                             const ColdStartPolicy& policy);
  static void TakeStatement(Endpoint& endpoint,
                            std::chrono::milliseconds remaining,
                            TimePoint now);
  static void AssumeStart(Endpoint& endpoint, TimePoint start, TimePoint now);

  ColdEndpointShare share;
  TimePoint started_at;
  std::map<EndpointId, Endpoint> endpoints;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_COLD_ENDPOINT_LIMIT_H_
