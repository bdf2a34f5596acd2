/** @file drain.cc Graceful shutdown. */

#include "daemon/drain.h"

#include "kernel/log.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

}  // namespace

void Drain::Request() {
  if (this->requested.exchange(true)) {
    this->CutOff("second_request");
    return;
  }
  LogLine(LogLevel::kInfo, "drain_begun",
          {{"in_flight", this->role.InFlight()}});
  this->role.BeginDrain();
  this->pool.Spawn(this->WaitUntilIdle());
}

asio::awaitable<void> Drain::WaitUntilIdle() {
  const auto deadline = std::chrono::steady_clock::now() + this->limit;
  while (this->role.InFlight() > 0) {
    if (std::chrono::steady_clock::now() >= deadline) {
      this->CutOff("drain_timeout");
      co_return;
    }
    co_await SleepFor(kPollInterval);
  }
  LogLine(LogLevel::kInfo, "drained", nlohmann::json::object());
  this->pool.Stop();
}

void Drain::CutOff(const char* reason) {
  LogLine(LogLevel::kError, "cut_off",
          {{"reason", reason}, {"in_flight", this->role.InFlight()}});
  this->result = ExitCode::kCutOff;
  this->pool.Stop();
}

}  // namespace buckthornpath
