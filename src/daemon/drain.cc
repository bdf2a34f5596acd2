/** @file drain.cc Graceful shutdown of a process. */

#include "daemon/drain.h"

#include "kernel/log.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

/** Time without calls and open exchanges after which the process ends. */
constexpr std::chrono::milliseconds kMinIdleTime{300};

}  // namespace

void Drain::Request() {
  if (this->is_requested.exchange(true))
    return;
  this->role.BeginDrain();
  LogLine(LogLevel::kInfo, "drain_begun",
          {{"in_flight", this->role.InFlight().size()}});
  this->pool.Spawn(this->Run());
}

void Drain::Interrupt() {
  if (this->is_requested) {
    this->ForceStop("interrupt");
    return;
  }
  this->Request();
}

asio::awaitable<void> Drain::Run() {
  const auto deadline = Clock::now() + this->timeout;
  bool has_finished = co_await this->AwaitCalls(deadline);
  if (has_finished) {
    this->role.StopAccepting();
    has_finished = co_await this->AwaitIdle(deadline);
  }
  if (!has_finished) {
    this->ForceStop("drain_timeout");
    co_return;
  }
  LogLine(LogLevel::kInfo, "drained");
  this->pool.Stop();
}

asio::awaitable<bool> Drain::AwaitCalls(Clock::time_point deadline) {
  while (!this->role.InFlight().empty()) {
    if (Clock::now() >= deadline)
      co_return false;
    co_await SleepFor(kPollInterval);
  }
  co_return true;
}

asio::awaitable<bool> Drain::AwaitIdle(Clock::time_point deadline) {
  auto idle_since = Clock::now();
  while (Clock::now() - idle_since < kMinIdleTime) {
    co_await SleepFor(kPollInterval);
    if (this->role.InFlight().empty() && this->role.OpenExchanges() == 0)
      continue;
    idle_since = Clock::now();
    if (idle_since >= deadline)
      co_return false;
  }
  co_return true;
}

void Drain::ForceStop(const char* reason) {
  LogLine(LogLevel::kError, "cut_off",
          {{"reason", reason},
           {"requests", this->role.InFlight()},
           {"open_exchanges", this->role.OpenExchanges()}});
  this->result = ExitCode::kForced;
  this->pool.Stop();
}

}  // namespace buckthornpath
