/** @file child_process.h Child processes of a test. */

#ifndef TEST_HARNESS_CHILD_PROCESS_H_
#define TEST_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornpath {

/** A child process; killed and reaped by the destructor. */
class ChildProcess {
 public:
  /**
   * Starts a program from the build directory.
   * @param log File to which its standard output and error are appended.
   */
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  /** Sends a signal to this process only. */
  void Signal(int number) const;

  /** Sends SIGKILL and waits until the process has ended. */
  void Kill();

  /**
   * Waits until the process has ended.
   * @return Exit code; -1 if it ended by a signal or did not end in time.
   */
  int WaitForExit(std::chrono::milliseconds timeout);

  bool IsRunning();

  /** @return Exit code of a process that has ended by itself; -1 if a signal
   * ended it. Valid once IsRunning() has returned false. */
  int ExitCode() const { return this->exit_code; }

  /** @return Resident memory in bytes; 0 once the process has ended. */
  std::uint64_t ResidentBytes() const;

  /** @return Maximum of ResidentBytes() so far; 0 once the process has ended.
   */
  std::uint64_t PeakResidentBytes() const;

  /** @return Number of open file descriptors; 0 once the process has ended. */
  std::size_t OpenDescriptors() const;

 private:
  pid_t pid = -1;
  int exit_code = -1;
};

/** @return Path of a program in the build directory BUCKTHORNPATH_BIN. */
std::string BuiltProgram(const std::string& name);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_CHILD_PROCESS_H_
