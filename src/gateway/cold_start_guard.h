/** @file cold_start_guard.h Endpoints that have just started, in a gateway. */

#ifndef SRC_GATEWAY_COLD_START_GUARD_H_
#define SRC_GATEWAY_COLD_START_GUARD_H_

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "buckthornpath/cold_endpoint_limit.h"
#include "buckthornpath/endpoint_selector.h"
#include "buckthornpath/routing_table.h"
#include "gateway/attempt_result.h"
#include "kernel/settings.h"

namespace buckthornpath {

/**
 * Applies the limit of cold endpoints by the configuration in force; logs and
 * counts what it decides. Not thread-safe.
 */
class ColdStartGuard {
 public:
  using Clock = std::chrono::steady_clock;

  /** @param table The configuration in force, null until there is one; must
   * outlive this object. */
  ColdStartGuard(const Settings& settings,
                 const std::shared_ptr<const RoutingTable>& table);

  /** Records a published record, before the selector knows it.
   * @param is_first_read It is one of the first items that are read. */
  void RecordPublished(const EndpointEntry& entry,
                       bool is_first_read,
                       Clock::time_point now);

  void RecordWithdrawn(const EndpointId& id) {
    this->limit.RecordWithdrawn(id);
  }

  /** Records what an endpoint says in a response; zero: nothing. */
  void RecordStatement(const EndpointState& endpoint,
                       std::chrono::milliseconds remaining,
                       Clock::time_point now);

  /** Records that an endpoint may have been started again unnoticed. */
  void RecordPossibleRestart(const EndpointState& endpoint,
                             Clock::time_point now);

  void RecordRefusedConnection(const EndpointState& endpoint,
                               Clock::time_point now);

  void RecordResult(const EndpointState& endpoint,
                    AttemptResult result,
                    Clock::time_point now);

  /** @return True if the endpoint is warm, or may get a request now. */
  bool MaySend(const EndpointState& endpoint, Clock::time_point now) const;

  /** Records that a request is reserved at an endpoint. */
  void RecordSend(const EndpointState& endpoint, Clock::time_point now);

  /** @return True if a request that was reserved at a time may still be sent.
   */
  bool IsGranted(const EndpointState& endpoint,
                 Clock::time_point reserved_at,
                 Clock::time_point now) const;

  /** @return Cold endpoints with the time left, and who may send to them. */
  nlohmann::json Status(const std::map<EndpointId, EndpointHandle>& endpoints,
                        Clock::time_point now) const;

 private:
  ColdStartPolicy PolicyOf(const ServiceName& service) const;

  /** Runs a change of the limit; logs it if the endpoint turns cold. */
  template <class Change>
  void Apply(const EndpointEntry& entry,
             const char* reason,
             Clock::time_point now,
             Change change);

  const std::shared_ptr<const RoutingTable>& table;
  std::string senders;  ///< As configured.
  ColdEndpointLimit limit;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_COLD_START_GUARD_H_
