/** @file call_state_machine.h State machine of a call at an endpoint process.
 */

#ifndef SRC_ENDPOINT_CALL_STATE_MACHINE_H_
#define SRC_ENDPOINT_CALL_STATE_MACHINE_H_

#include <memory>

namespace buckthornpath {

enum class CallState {
  kAdmitted,  ///< Accepted by admission control; not started.
  kStarting,  ///< Has a slot; nothing has been sent to the engine.
  kRunning,   ///< Its request may have reached the engine.
  kFinished,  ///< Its answer is complete.
  kRefused,   ///< It ended without a complete answer.
};

/**
 * State machine of one call; docs/design/outcomes.md has the transition table.
 * Each event function returns whether the transition was made; if it was not,
 * the state is unchanged.
 */
class CallStateMachine {
 public:
  CallStateMachine();
  ~CallStateMachine();
  CallStateMachine(const CallStateMachine&) = delete;
  CallStateMachine& operator=(const CallStateMachine&) = delete;

  /** The call gets a slot.
   * @param is_ticket_valid True if its ticket has not expired. */
  bool Start(bool is_ticket_valid);

  /** The request is about to be sent to the engine.
   * @param is_ticket_valid True if its ticket has not expired. */
  bool BeginSend(bool is_ticket_valid);

  /** The answer is complete. */
  bool Finish();

  /** The call ends without a complete answer. */
  bool Refuse();

  CallState State() const;

  /** @return True in a final state. */
  bool HasEnded() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_CALL_STATE_MACHINE_H_
