/** @file call_state_machine.cc State machine of a call at an endpoint process.
 */

#include "endpoint/call_state_machine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace buckthornpath {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct StartEvent {
  bool is_ticket_valid;
};
struct SendEvent {
  bool is_ticket_valid;
};
struct FinishEvent {};
struct RefuseEvent {};

struct Admitted : msm::front::state<> {};
struct Starting : msm::front::state<> {};
struct Running : msm::front::state<> {};
struct Finished : msm::front::state<> {};
struct Refused : msm::front::state<> {};

/** Guard: blocks the transition if the ticket has expired. */
struct IsTicketValid {
  template <class Event, class Fsm, class Source, class Target>
  bool operator()(const Event& event, Fsm&, Source&, Target&) const {
    return event.is_ticket_valid;
  }
};

struct CallFrontEnd : msm::front::state_machine_def<CallFrontEnd> {
  using initial_state = Admitted;

  // clang-format off
  using transition_table = boost::mpl::vector<
      //  from      event        to        action guard
      Row<Admitted, StartEvent,  Starting, none,  IsTicketValid>,
      Row<Starting, SendEvent,   Running,  none,  IsTicketValid>,
      Row<Running,  FinishEvent, Finished, none,  none>,
      Row<Admitted, RefuseEvent, Refused,  none,  none>,
      Row<Starting, RefuseEvent, Refused,  none,  none>,
      Row<Running,  RefuseEvent, Refused,  none,  none>>;
  // clang-format on

  /** Ignores an event without a transition; the default would assert. */
  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {}
};

using CallBackEnd = msm::back::state_machine<CallFrontEnd>;

/** Numeric identifier that Boost.MSM assigns to a state. */
template <class State>
constexpr int kStateId =
    msm::back::get_state_id<CallBackEnd::stt, State>::value;

}  // namespace

struct CallStateMachine::Machine : CallBackEnd {
  template <class Event>
  bool Process(const Event& event) {
    return this->process_event(event) == msm::back::HANDLED_TRUE;
  }
};

CallStateMachine::CallStateMachine() : machine(std::make_unique<Machine>()) {
  this->machine->start();
}

CallStateMachine::~CallStateMachine() = default;

bool CallStateMachine::Start(bool is_ticket_valid) {
  return this->machine->Process(StartEvent{is_ticket_valid});
}

bool CallStateMachine::BeginSend(bool is_ticket_valid) {
  return this->machine->Process(SendEvent{is_ticket_valid});
}

bool CallStateMachine::Finish() {
  return this->machine->Process(FinishEvent{});
}

bool CallStateMachine::Refuse() {
  return this->machine->Process(RefuseEvent{});
}

CallState CallStateMachine::State() const {
  switch (this->machine->current_state()[0]) {
    case kStateId<Admitted>:
      return CallState::kAdmitted;
    case kStateId<Starting>:
      return CallState::kStarting;
    case kStateId<Running>:
      return CallState::kRunning;
    case kStateId<Finished>:
      return CallState::kFinished;
    default:
      return CallState::kRefused;
  }
}

bool CallStateMachine::HasEnded() const {
  const CallState state = this->State();
  return state == CallState::kFinished || state == CallState::kRefused;
}

}  // namespace buckthornpath
