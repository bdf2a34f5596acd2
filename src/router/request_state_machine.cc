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

struct Unreached {};
struct Dispatch {};
struct Lost {};
struct NotRun {};
struct Unknown {};
struct Ran {};
struct Whole {};

/** No attempt can have run. */
struct Fresh : msm::front::state<> {};
/** An attempt is in progress and no earlier one can have run. */
struct Sent : msm::front::state<> {};
/** The connection of that attempt is lost. */
struct Recovering : msm::front::state<> {};
/** An attempt may have run; none is in progress. */
struct Doubtful : msm::front::state<> {};
/** As Sent, and an earlier attempt may have run. */
struct SentAgain : msm::front::state<> {};
/** As Recovering, and an earlier attempt may have run. */
struct RecoveringAgain : msm::front::state<> {};
/** An attempt ran but has no complete answer. */
struct Spent : msm::front::state<> {};
struct Answered : msm::front::state<> {};

struct RequestFront : msm::front::state_machine_def<RequestFront> {
  RequestTraits traits;
  using initial_state = Fresh;

  /** The ticket may already have been used through another router. */
  struct HoldsTicket {
    template <class Event, class Fsm, class Source, class Target>
    bool operator()(const Event&, Fsm& fsm, Source&, Target&) const {
      return fsm.traits.holds_ticket;
    }
  };

  struct MayRepeat {
    template <class Event, class Fsm, class Source, class Target>
    bool operator()(const Event&, Fsm& fsm, Source&, Target&) const {
      return fsm.traits.repeatable && !fsm.traits.holds_ticket;
    }
  };

  // clang-format off
  using transition_table = boost::mpl::vector<
      //  from             event      to               action guard
      Row<Fresh,           Unreached, Doubtful,        none,  HoldsTicket>,
      Row<Fresh,           Dispatch,  Sent,            none,  none>,
      Row<Sent,            Lost,      Recovering,      none,  none>,
      Row<Sent,            NotRun,    Fresh,           none,  none>,
      Row<Sent,            Unknown,   Doubtful,        none,  none>,
      Row<Sent,            Ran,       Spent,           none,  none>,
      Row<Sent,            Whole,     Answered,        none,  none>,
      Row<Recovering,      NotRun,    Fresh,           none,  none>,
      Row<Recovering,      Unknown,   Doubtful,        none,  none>,
      Row<Recovering,      Ran,       Spent,           none,  none>,
      Row<Recovering,      Whole,     Answered,        none,  none>,
      Row<Doubtful,        Dispatch,  SentAgain,       none,  MayRepeat>,
      Row<Spent,           Dispatch,  SentAgain,       none,  MayRepeat>,
      Row<SentAgain,       Lost,      RecoveringAgain, none,  none>,
      Row<SentAgain,       NotRun,    Doubtful,        none,  none>,
      Row<SentAgain,       Unknown,   Doubtful,        none,  none>,
      Row<SentAgain,       Ran,       Spent,           none,  none>,
      Row<SentAgain,       Whole,     Answered,        none,  none>,
      Row<RecoveringAgain, NotRun,    Doubtful,        none,  none>,
      Row<RecoveringAgain, Unknown,   Doubtful,        none,  none>,
      Row<RecoveringAgain, Ran,       Spent,           none,  none>,
      Row<RecoveringAgain, Whole,     Answered,        none,  none>>;
  // clang-format on

  /** Events without a transition are ignored. */
  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {}
};

using RequestBack = msm::back::state_machine<RequestFront>;

}  // namespace

struct RequestMachine::Machine : RequestBack {
  template <class State>
  bool IsIn() const {
    return this->current_state()[0] ==
           msm::back::get_state_id<RequestBack::stt, State>::value;
  }
};

RequestMachine::RequestMachine(RequestTraits traits)
    : machine(std::make_unique<Machine>()) {
  this->machine->traits = traits;
  this->machine->start();
}

RequestMachine::~RequestMachine() = default;

void RequestMachine::OnUnreached() {
  this->machine->process_event(Unreached{});
}
void RequestMachine::OnDispatch() {
  this->machine->process_event(Dispatch{});
}
void RequestMachine::OnLost() {
  this->machine->process_event(Lost{});
}
void RequestMachine::OnNotRun() {
  this->machine->process_event(NotRun{});
}
void RequestMachine::OnUnknown() {
  this->machine->process_event(Unknown{});
}
void RequestMachine::OnRan() {
  this->machine->process_event(Ran{});
}
void RequestMachine::OnWhole() {
  this->machine->process_event(Whole{});
}

bool RequestMachine::MayMove() const {
  const RequestTraits& traits = this->machine->traits;
  if (traits.holds_ticket)
    return false;
  if (this->machine->IsIn<Fresh>())
    return true;
  return traits.repeatable &&
         (this->machine->IsIn<Doubtful>() || this->machine->IsIn<Spent>());
}

bool RequestMachine::MustRecover() const {
  return this->machine->IsIn<Recovering>() ||
         this->machine->IsIn<RecoveringAgain>();
}

bool RequestMachine::IsAnswered() const {
  return this->machine->IsIn<Answered>();
}

Outcome RequestMachine::CurrentOutcome() const {
  if (this->machine->IsIn<Fresh>())
    return Outcome::kNotRun;
  if (this->machine->IsIn<Spent>() || this->IsAnswered())
    return Outcome::kRan;
  return Outcome::kUnknown;
}

}  // namespace buckthornpath
