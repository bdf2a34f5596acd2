/** @file call_machine.h The life of a call at an endpoint process. */

#ifndef SRC_ENDPOINT_CALL_MACHINE_H_
#define SRC_ENDPOINT_CALL_MACHINE_H_

#include <memory>

namespace buckthornpath {

/** Where a call stands. */
enum class CallState {
  kAdmitted,  ///< It may run; nothing has been done for it.
  kStarting,  ///< Its turn has come; nothing has left for the engine.
  kRunning,   ///< Its request may have reached the engine.
  kFinished,  ///< Its answer is whole.
  kRefused,   ///< It ended without a whole answer.
};

/**
 * The state machine of one call; docs/design/outcomes.md has its table. Each
 * event returns whether it was taken; one that is not changes nothing.
 */
class CallMachine {
 public:
  CallMachine();
  ~CallMachine();
  CallMachine(const CallMachine&) = delete;
  CallMachine& operator=(const CallMachine&) = delete;

  /** The call's turn. @param in_time Whether its ticket is still valid. */
  bool Start(bool in_time);

  /** Its request is about to leave. @param in_time As above. */
  bool Leave(bool in_time);

  /** Its answer is whole. */
  bool Finish();

  /** It ends without a whole answer. */
  bool Refuse();

  CallState State() const;

  /** @return True once nothing can change any more. */
  bool HasEnded() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_CALL_MACHINE_H_
