/** @file gateway_state.h What the requests of one gateway share. */

#ifndef SRC_GATEWAY_GATEWAY_STATE_H_
#define SRC_GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "buckthornpath/endpoint_board.h"
#include "buckthornpath/retry_budget.h"
#include "buckthornpath/routing_table.h"
#include "buckthornpath/waiting_line.h"
#include "gateway/endpoint_connections.h"
#include "gateway/platform_adapter.h"

namespace buckthornpath {

/** Requests of one service that wait for room, and how to wake each. */
struct ServiceLine {
  WaitingLine line;
  std::map<WaitTicket, std::function<bool()>> wake;
  std::unique_ptr<RetryBudget> retries;
};

/** Tables that all requests of a process read and change; one thread only. */
struct GatewayState {
  using Clock = std::chrono::steady_clock;

  GatewayState(const Settings& settings, asio::any_io_executor executor);

  /** @return The line of a service. */
  ServiceLine& LineOf(const ServiceName& service);

  /** @return True if an endpoint may get a request more from this process. */
  bool HasConnectionFor(const EndpointBelief& endpoint) const;

  /** Sets how many gateways are believed alive, this one included. */
  void SetGateways(std::size_t count);

  /** Offers room to those who wait, in their order. */
  void OfferRoom(const ServiceName& service);

  /** Offers room at every service. */
  void OfferRoomEverywhere();

  const Settings& settings;
  asio::any_io_executor executor;
  const PlatformAdapter& adapter;
  std::shared_ptr<const RoutingTable> table;  ///< Null before the first.
  EndpointBoard board;
  EndpointConnections connections;
  std::unordered_map<ServiceName, ServiceLine> lines;
  std::size_t gateways = 1;  ///< Gateways believed alive, this one included.
  bool is_draining = false;
  /** Once the platform sends no more callers: time at which all must be over;
   * what may last longer is refused. */
  std::optional<Clock::time_point> refuse_beyond;
  bool is_published = false;  ///< All that was published has been read once.
  /** When the store or a peer last confirmed what is published. */
  Clock::time_point published_at{};
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_GATEWAY_STATE_H_
