/** @file child_process.h Processes that a test starts. */

#ifndef TEST_HARNESS_CHILD_PROCESS_H_
#define TEST_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornpath {

/** A process that the test started; killed and reaped at the end. */
class ChildProcess {
 public:
  /**
   * Starts a program from the build directory.
   * @param log File for its standard output and error.
   */
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  /** Sends a signal to this process only. */
  void Signal(int number) const;

  /** Kills it at once and waits for its end. */
  void Kill();

  /**
   * Waits for its end.
   * @return Exit code; -1 if it ended by a signal or did not end in time.
   */
  int WaitForExit(std::chrono::milliseconds timeout);

  bool IsRunning();

  /** @return Bytes of memory that it holds; 0 once it has ended. */
  std::uint64_t ResidentBytes() const;

 private:
  pid_t pid = -1;
  int exit_code = -1;
};

/** @return Path of a program that the build made. */
std::string BuiltProgram(const std::string& name);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_CHILD_PROCESS_H_
