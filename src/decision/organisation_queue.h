/** @file organisation_queue.h Fair queue of one rank. */

#ifndef SRC_DECISION_ORGANISATION_QUEUE_H_
#define SRC_DECISION_ORGANISATION_QUEUE_H_

#include <deque>
#include <map>

#include "buckthornpath/scheduling_policy.h"

namespace buckthornpath {

/**
 * Start-time fair queueing among organisations (Goyal, Vin and Cheng 1996). The
 * call with the lowest start tag goes first. A start tag is the organisation's
 * last finish tag or the virtual time, whichever is later, so an organisation
 * that was idle goes before the backlog of others but gains no credit for the
 * idle time.
 */
class OrganisationQueue {
 public:
  void Add(const WaitingCall& call);
  void Remove(const WaitingCall& call);

  /** @return The next call. @pre The queue is not empty. */
  const WaitingCall& Front() const;

  /** Removes and returns the next call. @pre The queue is not empty. */
  WaitingCall Take();

  /**
   * Chooses the call to evict.
   * @param arrival Call to be added to this queue, or null.
   * @return The newest call of the organisation with the most calls relative to
   *     its weight, including the arrival; nothing if that is the arrival's own
   *     organisation.
   */
  std::optional<CallHandle> EvictionCandidate(const WaitingCall* arrival) const;

  /** @return Work of this queue that starts before an arrival, in tokens. */
  double WorkAhead(const WaitingCall& arrival) const;

  bool IsEmpty() const { return this->size == 0; }
  std::size_t Size() const { return this->size; }

  /** @return Work of all waiting calls, in tokens. */
  double Cost() const { return this->cost; }

 private:
  /** Backlog of one organisation and its tags in virtual time. */
  struct Flow {
    std::deque<WaitingCall> calls;
    double cost = 0;
    double start_tag = 0;
    double finish_tag = 0;
    double weight = 1;
  };

  using FlowMap = std::map<OrganisationId, Flow>;

  FlowMap::const_iterator FrontFlow() const;

  /** Removes empty flows whose finish tag the virtual time has reached. */
  void DropIdleFlows();

  FlowMap flows;
  double virtual_time = 0;
  std::size_t size = 0;
  double cost = 0;
};

}  // namespace buckthornpath

#endif  // SRC_DECISION_ORGANISATION_QUEUE_H_
