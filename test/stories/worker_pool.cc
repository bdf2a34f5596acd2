/** @file worker_pool.cc Exceptions in tasks and handlers end no process. */

#include "kernel/worker_pool.h"

#include <cppunit/TestAssert.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <stdexcept>

#include "harness/story.h"

namespace buckthornpath {

namespace {

void HandlersAfterOneThatThrowsRun() {
  WorkerPool pool(1);
  asio::post(pool.context(), [] { throw std::runtime_error("unexpected"); });
  bool has_run = false;
  asio::post(pool.context(), [&] {
    has_run = true;
    pool.Stop();
  });
  pool.Run();
  CPPUNIT_ASSERT(has_run);
}

/** Fails on its first two runs and stops the pool on the third. */
asio::awaitable<void> FailTwice(WorkerPool& pool, int& runs) {
  if (++runs < 3)
    throw std::runtime_error("unexpected");
  pool.Stop();
  co_return;
}

void FailedServiceStartsAgain() {
  WorkerPool pool(1);
  int runs = 0;
  WorkerPool::SpawnService(pool.context().get_executor(),
                           [&] { return FailTwice(pool, runs); });
  pool.Run();
  CPPUNIT_ASSERT_EQUAL(3, runs);
}

asio::awaitable<void> Count(int& runs) {
  ++runs;
  co_return;
}

asio::awaitable<void> StopLater(WorkerPool& pool) {
  co_await SleepFor(std::chrono::milliseconds(300));
  pool.Stop();
}

void FinishedServiceStaysFinished() {
  WorkerPool pool(1);
  int runs = 0;
  WorkerPool::SpawnService(pool.context().get_executor(),
                           [&] { return Count(runs); });
  pool.Spawn(StopLater(pool));
  pool.Run();
  CPPUNIT_ASSERT_EQUAL(1, runs);
}

const Story kStory("worker_pool", [] {
  return Section("given the workers of a process",
                 {Section("when a handler throws an exception",
                          {Then("the handlers after it still run",
                                HandlersAfterOneThatThrowsRun)}),
                  Section("when a task lasts as long as the process",
                          {Then("it starts again after an exception",
                                FailedServiceStartsAgain),
                           Then("it is not started again once it has finished",
                                FinishedServiceStaysFinished)})});
});

}  // namespace

}  // namespace buckthornpath
