/** @file service_queue.cc Starts requests that wait for an endpoint. */

#include <functional>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/load_metrics.h"

namespace buckthornpath {

namespace {

/** Waiting requests that one round looks at. */
constexpr std::size_t kMaxRound = 64;

/** Waiting requests that are tried in vain before a round ends. Each try looks
 * at all endpoints of the service. */
constexpr std::size_t kMaxFailedStarts = 8;

/** @return True if every request that was looked at has left the queue. */
bool StartRound(ServiceQueue& queue) {
  std::size_t failed = 0;
  for (const WaitTicket ticket :
       queue.waiting.Order(GatewayState::Clock::now(), kMaxRound)) {
    const auto waiter = queue.waiters.find(ticket);
    if (waiter == queue.waiters.end())
      continue;
    // A copy, as a handler that starts its request erases itself from the map.
    const std::function<bool()> try_start = waiter->second.try_start;
    if (!try_start() && ++failed >= kMaxFailedStarts)
      return false;
  }
  return failed == 0;
}

}  // namespace

void GatewayState::WakeWaiting(const ServiceName& service) {
  const auto found = this->queues.find(service);
  if (found == this->queues.end())
    return;
  ServiceQueue& queue = found->second;
  while (queue.waiting.Size() > 0 && StartRound(queue)) {
  }
  for (const WaitTicket ticket : queue.waiting.FindHopeless(Clock::now())) {
    const auto waiter = queue.waiters.find(ticket);
    if (waiter == queue.waiters.end())
      continue;
    const std::function<void()> give_up = waiter->second.give_up;
    CountGivenUp(service);
    give_up();
  }
}

void GatewayState::RecheckWaiting(bool is_all) {
  // A request that cannot be started ends a round of WakeWaiting(), so each is
  // looked at here. Copies, as a handler may erase itself from the map.
  std::vector<std::function<void()>> rechecks;
  for (const auto& [service, queue] : this->queues) {
    for (const auto& [ticket, waiter] : queue.waiters) {
      if (is_all || waiter.is_bound)
        rechecks.push_back(waiter.recheck);
    }
  }
  for (const std::function<void()>& recheck : rechecks)
    recheck();
}

void GatewayState::RecheckAllWaiting() {
  this->RecheckWaiting(true);
  this->WakeAllWaiting();
}

void GatewayState::WakeAllWaiting() {
  this->RecheckWaiting(false);
  std::vector<ServiceName> services;
  for (const auto& [service, queue] : this->queues) {
    if (queue.waiting.Size() > 0)
      services.push_back(service);
  }
  for (const ServiceName& service : services)
    this->WakeWaiting(service);
}

}  // namespace buckthornpath
