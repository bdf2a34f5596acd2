/** @file drain.cc Graceful shutdown of a process. */

#include "daemon/drain.h"

#include <algorithm>

#include "kernel/log.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

/** Interval of the log lines that name the calls in flight. */
constexpr std::chrono::milliseconds kReportInterval{1000};

/** Time without calls and open exchanges after which the process ends. */
constexpr std::chrono::milliseconds kMinIdleTime{300};

/** Time at the end of the drain timeout for the responses to calls that are cut
 * off, and the part of a short timeout that is used instead. */
constexpr std::chrono::milliseconds kCutOffTime{250};
constexpr int kCutOffDivisor = 4;

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
    this->pool.Spawn(this->CutOff("interrupt"));
    return;
  }
  this->Request();
}

std::chrono::milliseconds Drain::CutOffTime() const {
  return std::min(kCutOffTime, this->timeout / kCutOffDivisor);
}

asio::awaitable<void> Drain::Run() {
  const auto deadline = Clock::now() + this->timeout - this->CutOffTime();
  bool has_finished = co_await this->AwaitCalls(deadline);
  if (has_finished) {
    this->role.StopAccepting();
    has_finished = co_await this->AwaitIdle(deadline);
  }
  if (!has_finished) {
    co_await this->CutOff("drain_timeout");
    co_return;
  }
  LogLine(LogLevel::kInfo, "drained");
  this->pool.Stop();
}

asio::awaitable<bool> Drain::AwaitCalls(Clock::time_point deadline) {
  auto next_report = Clock::now() + kReportInterval;
  while (!this->role.InFlight().empty()) {
    if (Clock::now() >= deadline)
      co_return false;
    if (Clock::now() >= next_report) {
      next_report += kReportInterval;
      LogLine(LogLevel::kNotice, "drain_waits",
              {{"in_flight", this->role.InFlight().size()},
               {"requests", this->role.DescribeInFlight()}});
    }
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

asio::awaitable<void> Drain::CutOff(const char* reason) {
  if (this->is_cutting_off.exchange(true))
    co_return;
  LogLine(LogLevel::kError, "cut_off",
          {{"reason", reason},
           {"requests", this->role.DescribeInFlight()},
           {"open_exchanges", this->role.OpenExchanges()}});
  this->result = ExitCode::kForced;
  const auto deadline = Clock::now() + this->CutOffTime();
  this->role.CutOffCalls();
  this->role.StopAccepting();
  do {
    co_await SleepFor(kPollInterval);
  } while (this->role.OpenExchanges() > 0 && Clock::now() < deadline);
  this->pool.Stop();
}

}  // namespace buckthornpath
