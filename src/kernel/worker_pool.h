/** @file worker_pool.h Thread pool that runs all tasks of a process. */

#ifndef SRC_KERNEL_WORKER_POOL_H_
#define SRC_KERNEL_WORKER_POOL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>

namespace buckthornpath {

namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;

/** Completion token that returns the error instead of throwing it. */
inline constexpr auto kAwaitResult = asio::as_tuple(asio::use_awaitable);

/** A fixed number of threads that run one I/O context. */
class WorkerPool {
 public:
  explicit WorkerPool(int thread_count) : thread_count(thread_count) {}

  asio::io_context& context() { return this->io; }

  /** @return A new strand; its handlers never run concurrently. */
  Strand NewStrand() { return asio::make_strand(this->io); }

  /** Starts a task on a new strand; logs the exception if it throws. */
  void Spawn(asio::awaitable<void> task);

  /** Starts a task on an executor; logs the exception if it throws. */
  static void SpawnOn(const asio::any_io_executor& executor,
                      asio::awaitable<void> task);

  /** Starts a task that lasts as long as the process. If it throws, the
   * exception is logged and the task is started again after a pause. */
  static void SpawnService(const asio::any_io_executor& executor,
                           std::function<asio::awaitable<void>()> make_task);

  /** Runs tasks on the calling thread and the others until Stop(). An exception
   * that a handler throws is logged and ends only that handler. */
  void Run();

  void Stop() { this->io.stop(); }

 private:
  int thread_count;
  asio::io_context io;
};

/** Suspends the calling coroutine for a time. */
asio::awaitable<void> SleepFor(std::chrono::milliseconds time);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_WORKER_POOL_H_
