/** @file drain.cc Graceful shutdown of a process. */

#include "daemon/drain.h"

#include "kernel/log.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

/** Time without calls and open exchanges after which the process ends. */
constexpr std::chrono::milliseconds kQuietTime{300};

}  // namespace

void Drain::Request() {
  if (this->requested.exchange(true))
    return;
  this->role.BeginDrain();
  LogLine(LogLevel::kInfo, "drain_begun",
          {{"in_flight", this->role.InFlight().size()}});
  this->pool.Spawn(this->Run());
}

void Drain::Interrupt() {
  if (this->requested) {
    this->CutOff("interrupt");
    return;
  }
  this->Request();
}

asio::awaitable<void> Drain::Run() {
  const auto deadline = Clock::now() + this->limit;
  bool whole = co_await this->AwaitCalls(deadline);
  if (whole) {
    this->role.StopAccepting();
    whole = co_await this->AwaitQuiet(deadline);
  }
  if (!whole) {
    this->CutOff("drain_timeout");
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

asio::awaitable<bool> Drain::AwaitQuiet(Clock::time_point deadline) {
  auto quiet_since = Clock::now();
  while (Clock::now() - quiet_since < kQuietTime) {
    co_await SleepFor(kPollInterval);
    if (this->role.InFlight().empty() && this->role.OpenExchanges() == 0)
      continue;
    quiet_since = Clock::now();
    if (quiet_since >= deadline)
      co_return false;
  }
  co_return true;
}

void Drain::CutOff(const char* reason) {
  LogLine(LogLevel::kError, "cut_off",
          {{"reason", reason},
           {"requests", this->role.InFlight()},
           {"open_exchanges", this->role.OpenExchanges()}});
  this->result = ExitCode::kCutOff;
  this->pool.Stop();
}

}  // namespace buckthornpath
