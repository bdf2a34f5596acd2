/** @file worker_pool.cc Thread pool that runs all tasks of a process. */

#include "kernel/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "kernel/log.h"

namespace buckthornpath {

namespace {

/** Runs a task and logs the exception that it throws. */
asio::awaitable<void> RunAndLogException(asio::awaitable<void> task) {
  try {
    co_await std::move(task);
  } catch (const std::exception& fault) {
    LogLine(LogLevel::kWarning, "task_failed", {{"reason", fault.what()}});
  }
}

/** Pause before a failed service task is started again. */
constexpr std::chrono::milliseconds kServiceRestartDelay{100};

asio::awaitable<void> RunService(
    std::function<asio::awaitable<void>()> make_task) {
  while (true) {
    std::string fault;
    try {
      co_await make_task();
      co_return;
    } catch (const std::exception& error) {
      fault = error.what();
    }
    LogLine(LogLevel::kError, "service_restarted", {{"reason", fault}});
    co_await SleepFor(kServiceRestartDelay);
  }
}

/** Runs handlers until the context is stopped. */
void RunHandlers(asio::io_context& io) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      LogLine(LogLevel::kError, "handler_failed", {{"reason", error.what()}});
    }
  }
}

}  // namespace

void WorkerPool::Spawn(asio::awaitable<void> task) {
  SpawnOn(this->NewStrand(), std::move(task));
}

void WorkerPool::SpawnOn(const asio::any_io_executor& executor,
                         asio::awaitable<void> task) {
  asio::co_spawn(executor, RunAndLogException(std::move(task)), asio::detached);
}

void WorkerPool::SpawnService(
    const asio::any_io_executor& executor,
    std::function<asio::awaitable<void>()> make_task) {
  SpawnOn(executor, RunService(std::move(make_task)));
}

void WorkerPool::Run() {
  auto guard = asio::make_work_guard(this->io);
  std::vector<std::jthread> threads;
  for (int i = 1; i < this->thread_count; ++i) {
    threads.emplace_back([this] { RunHandlers(this->io); });
  }
  RunHandlers(this->io);
}

asio::awaitable<void> SleepFor(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace buckthornpath
