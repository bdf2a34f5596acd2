/** @file organisation_queue.h Waiting calls of one rank, by organisation. */

#ifndef SRC_DECISION_ORGANISATION_QUEUE_H_
#define SRC_DECISION_ORGANISATION_QUEUE_H_

#include <deque>
#include <map>

#include "buckthornpath/start_order.h"

namespace buckthornpath {

/**
 * Start-time fair queueing among organisations. The call whose start tag is
 * lowest goes first; a start tag is the organisation's last finish tag or the
 * virtual time, whichever is later, so an organisation that was idle goes
 * before the backlog of others and gains no credit for its idle time.
 */
class OrganisationQueue {
 public:
  void Add(const WaitingCall& call);
  void Remove(const WaitingCall& call);

  /** @return The call to start next. @pre The queue is not empty. */
  const WaitingCall& Front() const;

  /** Removes and returns the front call. @pre The queue is not empty. */
  WaitingCall Take();

  /**
   * @return The newest call of the organisation that holds most places for
   * its weight, the arrival counted; nothing if that is the arrival's own.
   * @param arrival Call that asks for a place in this rank, or null.
   */
  std::optional<CallHandle> Victim(const WaitingCall* arrival) const;

  /** @return Work of this rank that starts before an arrival. */
  double WorkAhead(const WaitingCall& arrival) const;

  bool IsEmpty() const { return this->size == 0; }
  std::size_t Size() const { return this->size; }

  /** @return Work of all waiting calls, in tokens. */
  double Cost() const { return this->cost; }

 private:
  /** One organisation's backlog and its place in virtual time. */
  struct Flow {
    std::deque<WaitingCall> calls;
    double cost = 0;
    double start_tag = 0;
    double finish_tag = 0;
    double weight = 1;
  };

  using FlowMap = std::map<OrganisationId, Flow>;

  FlowMap::const_iterator FrontFlow() const;

  /** Drops idle flows whose finish tag the virtual time has passed. */
  void DropIdleFlows();

  FlowMap flows;
  double virtual_time = 0;
  std::size_t size = 0;
  double cost = 0;
};

}  // namespace buckthornpath

#endif  // SRC_DECISION_ORGANISATION_QUEUE_H_
