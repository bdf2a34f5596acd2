/** @file request_machine.h The life of a caller's request at a router. */

#ifndef SRC_ROUTER_REQUEST_MACHINE_H_
#define SRC_ROUTER_REQUEST_MACHINE_H_

#include <memory>

#include "buckthornpath/outcome_type.h"

namespace buckthornpath {

/** What a request allows. */
struct RequestTraits {
  bool repeatable = false;    ///< It may run more than once.
  bool holds_ticket = false;  ///< It runs at one endpoint or nowhere.
};

/**
 * The state machine of one request; docs/design/outcomes.md has its table. It
 * decides whether the request may go to another endpoint and what the caller
 * is told if it ends without an answer.
 */
class RequestMachine {
 public:
  explicit RequestMachine(RequestTraits traits);
  ~RequestMachine();
  RequestMachine(const RequestMachine&) = delete;
  RequestMachine& operator=(const RequestMachine&) = delete;

  /** No connection to the endpoint; nothing was sent. */
  void OnUnreached();
  /** The request is about to be sent. */
  void OnDispatch();
  /** The dialogue was lost or silent. */
  void OnLost();
  /** The endpoint said that the call has not run and never will. */
  void OnNotRun();
  /** The endpoint cannot tell, or nobody answered in time. */
  void OnUnknown();
  /** The endpoint said that the call ran but has no whole answer. */
  void OnRan();
  /** The caller has its whole answer. */
  void OnWhole();

  /** @return True if the request may be sent to another endpoint. */
  bool MayMove() const;

  /** @return True if the outcome is to be asked for at the endpoint. */
  bool MustRecover() const;

  bool IsAnswered() const;

  /** @return What is true of the request if it ends now. */
  Outcome CurrentOutcome() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_REQUEST_MACHINE_H_
