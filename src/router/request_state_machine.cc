/** @file request_state_machine.cc State machine of a caller's request. */

// The transition table has more rows than Boost.MPL's preprocessed headers
// support.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "router/request_state_machine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace buckthornpath {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ConnectFailed {};
struct Dispatch {};
struct Disconnected {};
struct NotRun {};
struct Unknown {};
struct Ran {};
struct Completed {};

/** No attempt can have run. */
struct Unstarted : msm::front::state<> {};
/** An attempt is in progress and no earlier one can have run. */
struct Sent : msm::front::state<> {};
/** The connection of that attempt is lost. */
struct Recovering : msm::front::state<> {};
/** An attempt may have run; none is in progress. */
struct OutcomeUnknown : msm::front::state<> {};
/** As Sent, and an earlier attempt may have run. */
struct Resent : msm::front::state<> {};
/** As Recovering, and an earlier attempt may have run. */
struct RecoveringResent : msm::front::state<> {};
/** An attempt ran but has no complete answer. */
struct RanIncomplete : msm::front::state<> {};
struct Answered : msm::front::state<> {};

struct RequestFront : msm::front::state_machine_def<RequestFront> {
  RequestTraits traits;
  using initial_state = Unstarted;

  /** The ticket may already have been used through another router. */
  struct HasTicket {
    template <class Event, class Fsm, class Source, class Target>
    bool operator()(const Event&, Fsm& fsm, Source&, Target&) const {
      return fsm.traits.has_ticket;
    }
  };

  struct MayRepeat {
    template <class Event, class Fsm, class Source, class Target>
    bool operator()(const Event&, Fsm& fsm, Source&, Target&) const {
      return fsm.traits.repeatable && !fsm.traits.has_ticket;
    }
  };

  // clang-format off
  using transition_table = boost::mpl::vector<
      //  from              event          to                act.  guard
      Row<Unstarted,        ConnectFailed, OutcomeUnknown,   none, HasTicket>,
      Row<Unstarted,        Dispatch,      Sent,             none, none>,
      Row<Sent,             Disconnected,  Recovering,       none, none>,
      Row<Sent,             NotRun,        Unstarted,        none, none>,
      Row<Sent,             Unknown,       OutcomeUnknown,   none, none>,
      Row<Sent,             Ran,           RanIncomplete,    none, none>,
      Row<Sent,             Completed,     Answered,         none, none>,
      Row<Recovering,       NotRun,        Unstarted,        none, none>,
      Row<Recovering,       Unknown,       OutcomeUnknown,   none, none>,
      Row<Recovering,       Ran,           RanIncomplete,    none, none>,
      Row<Recovering,       Completed,     Answered,         none, none>,
      Row<OutcomeUnknown,   Dispatch,      Resent,           none, MayRepeat>,
      Row<RanIncomplete,    Dispatch,      Resent,           none, MayRepeat>,
      Row<Resent,           Disconnected,  RecoveringResent, none, none>,
      Row<Resent,           NotRun,        OutcomeUnknown,   none, none>,
      Row<Resent,           Unknown,       OutcomeUnknown,   none, none>,
      Row<Resent,           Ran,           RanIncomplete,    none, none>,
      Row<Resent,           Completed,     Answered,         none, none>,
      Row<RecoveringResent, NotRun,        OutcomeUnknown,   none, none>,
      Row<RecoveringResent, Unknown,       OutcomeUnknown,   none, none>,
      Row<RecoveringResent, Ran,           RanIncomplete,    none, none>,
      Row<RecoveringResent, Completed,     Answered,         none, none>>;
  // clang-format on

  /** Events without a transition are ignored. */
  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {}
};

using RequestBack = msm::back::state_machine<RequestFront>;

}  // namespace

struct RequestStateMachine::Machine : RequestBack {
  template <class State>
  bool IsIn() const {
    return this->current_state()[0] ==
           msm::back::get_state_id<RequestBack::stt, State>::value;
  }
};

RequestStateMachine::RequestStateMachine(RequestTraits traits)
    : machine(std::make_unique<Machine>()) {
  this->machine->traits = traits;
  this->machine->start();
}

RequestStateMachine::~RequestStateMachine() = default;

void RequestStateMachine::OnConnectFailed() {
  this->machine->process_event(ConnectFailed{});
}
void RequestStateMachine::OnDispatch() {
  this->machine->process_event(Dispatch{});
}
void RequestStateMachine::OnDisconnected() {
  this->machine->process_event(Disconnected{});
}
void RequestStateMachine::OnNotRun() {
  this->machine->process_event(NotRun{});
}
void RequestStateMachine::OnUnknown() {
  this->machine->process_event(Unknown{});
}
void RequestStateMachine::OnRan() {
  this->machine->process_event(Ran{});
}
void RequestStateMachine::OnCompleted() {
  this->machine->process_event(Completed{});
}

bool RequestStateMachine::CanFailOver() const {
  const RequestTraits& traits = this->machine->traits;
  if (traits.has_ticket)
    return false;
  if (this->machine->IsIn<Unstarted>())
    return true;
  return traits.repeatable && (this->machine->IsIn<OutcomeUnknown>() ||
                               this->machine->IsIn<RanIncomplete>());
}

bool RequestStateMachine::NeedsRecovery() const {
  return this->machine->IsIn<Recovering>() ||
         this->machine->IsIn<RecoveringResent>();
}

bool RequestStateMachine::IsAnswered() const {
  return this->machine->IsIn<Answered>();
}

Outcome RequestStateMachine::CurrentOutcome() const {
  if (this->machine->IsIn<Unstarted>())
    return Outcome::kNotRun;
  if (this->machine->IsIn<RanIncomplete>() || this->IsAnswered())
    return Outcome::kRan;
  return Outcome::kUnknown;
}

}  // namespace buckthornpath
