/** @file request_state_machine.h State machine of a caller's request. */

#ifndef SRC_ROUTER_REQUEST_STATE_MACHINE_H_
#define SRC_ROUTER_REQUEST_STATE_MACHINE_H_

#include <memory>

#include "buckthornpath/outcome_type.h"

namespace buckthornpath {

/** Properties of a request that decide where it may run. */
struct RequestTraits {
  bool repeatable = false;  ///< It may run more than once.
  bool has_ticket = false;  ///< It may run only at the ticket's endpoint.
};

/**
 * State machine of one request; its table is in docs/design/outcomes.md. It
 * decides whether the request may be sent to another endpoint and which outcome
 * the caller gets if the request ends without an answer.
 */
class RequestStateMachine {
 public:
  explicit RequestStateMachine(RequestTraits traits);
  ~RequestStateMachine();
  RequestStateMachine(const RequestStateMachine&) = delete;
  RequestStateMachine& operator=(const RequestStateMachine&) = delete;

  /** The connection to the endpoint failed; nothing was sent. */
  void OnConnectFailed();
  /** The request is about to be sent. */
  void OnDispatch();
  /** The connection was lost or timed out. */
  void OnDisconnected();
  /** The endpoint reported that the call has not run and never will. */
  void OnNotRun();
  /** The endpoint does not know the outcome or did not reply in time. */
  void OnUnknown();
  /** The endpoint reported that the call ran without a complete answer. */
  void OnRan();
  /** The caller has the complete answer. */
  void OnCompleted();

  /** @return True if the request may be sent to another endpoint. */
  bool CanFailOver() const;

  /** @return True if the endpoint must be asked for the outcome. */
  bool NeedsRecovery() const;

  bool IsAnswered() const;

  /** @return The outcome to report if the request ends now. */
  Outcome CurrentOutcome() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_REQUEST_STATE_MACHINE_H_
