/** @file child_process.cc Child processes of a test. */

#include "harness/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <thread>

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

[[noreturn]] void ExecChild(const std::string& path,
                            const std::vector<std::string>& arguments,
                            const std::string& log) {
  // Kills the child when the test ends, even if the test itself is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  std::vector<char*> argv{const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  execv(path.c_str(), argv.data());
  _exit(127);
}

}  // namespace

std::string BuiltProgram(const std::string& name) {
  const char* directory = std::getenv("BUCKTHORNPATH_BIN");
  const std::filesystem::path build = directory ? directory : "build";
  const auto path = build / name;
  return (std::filesystem::exists(path) ? path : build / "test" / name)
      .string();
}

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log) {
  const std::string path = BuiltProgram(program);
  this->pid = fork();
  if (this->pid < 0)
    throw std::runtime_error("cannot start a child process: fork failed");
  if (this->pid == 0)
    ExecChild(path, arguments, log);
}

ChildProcess::~ChildProcess() {
  this->Kill();
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid(other.pid), exit_code(other.exit_code) {
  other.pid = -1;
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this == &other)
    return *this;
  this->Kill();
  this->pid = other.pid;
  this->exit_code = other.exit_code;
  other.pid = -1;
  return *this;
}

void ChildProcess::Signal(int number) const {
  if (this->pid > 0)
    kill(this->pid, number);
}

void ChildProcess::Kill() {
  if (this->pid <= 0)
    return;
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
  this->pid = -1;
}

bool ChildProcess::IsRunning() {
  if (this->pid <= 0)
    return false;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0)
    return true;
  this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  this->pid = -1;
  return false;
}

std::uint64_t ChildProcess::ResidentBytes() const {
  std::ifstream pages("/proc/" + std::to_string(this->pid) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  pages >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t ChildProcess::PeakResidentBytes() const {
  constexpr std::string_view kName = "VmHWM:";
  constexpr std::uint64_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kName))
      return std::stoull(line.substr(kName.size())) * kBytesPerKilobyte;
  }
  return 0;
}

std::size_t ChildProcess::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(this->pid) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(entries), end(entries)));
}

int ChildProcess::WaitForExit(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (this->IsRunning()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return -1;
    std::this_thread::sleep_for(kPollInterval);
  }
  return this->exit_code;
}

}  // namespace buckthornpath
