/** @file call_machine.cc State machine of a call at an endpoint process. */

#include "endpoint/call_machine.h"

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
  bool in_time;
};
struct LeaveEvent {
  bool in_time;
};
struct FinishEvent {};
struct RefuseEvent {};

struct Admitted : msm::front::state<> {};
struct Starting : msm::front::state<> {};
struct Running : msm::front::state<> {};
struct Finished : msm::front::state<> {};
struct Refused : msm::front::state<> {};

/** Guard: blocks the transition if the ticket has expired. */
struct InTime {
  template <class Event, class Fsm, class Source, class Target>
  bool operator()(const Event& event, Fsm&, Source&, Target&) const {
    return event.in_time;
  }
};

struct CallFront : msm::front::state_machine_def<CallFront> {
  using initial_state = Admitted;

  // clang-format off
  using transition_table = boost::mpl::vector<
      //  from      event        to        action guard
      Row<Admitted, StartEvent,  Starting, none,  InTime>,
      Row<Starting, LeaveEvent,  Running,  none,  InTime>,
      Row<Running,  FinishEvent, Finished, none,  none>,
      Row<Admitted, RefuseEvent, Refused,  none,  none>,
      Row<Starting, RefuseEvent, Refused,  none,  none>,
      Row<Running,  RefuseEvent, Refused,  none,  none>>;
  // clang-format on

  /** Ignores an event without a transition; the default would assert. */
  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {}
};

using CallBack = msm::back::state_machine<CallFront>;

/** Numeric identifier that Boost.MSM assigns to a state. */
template <class State>
constexpr int kStateId = msm::back::get_state_id<CallBack::stt, State>::value;

}  // namespace

struct CallMachine::Machine : CallBack {
  template <class Event>
  bool Take(const Event& event) {
    return this->process_event(event) == msm::back::HANDLED_TRUE;
  }
};

CallMachine::CallMachine() : machine(std::make_unique<Machine>()) {
  this->machine->start();
}

CallMachine::~CallMachine() = default;

bool CallMachine::Start(bool in_time) {
  return this->machine->Take(StartEvent{in_time});
}

bool CallMachine::Leave(bool in_time) {
  return this->machine->Take(LeaveEvent{in_time});
}

bool CallMachine::Finish() {
  return this->machine->Take(FinishEvent{});
}

bool CallMachine::Refuse() {
  return this->machine->Take(RefuseEvent{});
}

CallState CallMachine::State() const {
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

bool CallMachine::HasEnded() const {
  const CallState state = this->State();
  return state == CallState::kFinished || state == CallState::kRefused;
}

}  // namespace buckthornpath
