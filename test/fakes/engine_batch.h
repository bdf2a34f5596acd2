/** @file engine_batch.h Continuous batching of a fake model engine. */

#ifndef TEST_FAKES_ENGINE_BATCH_H_
#define TEST_FAKES_ENGINE_BATCH_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/prefix_cache.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** Limits and times of an engine. */
struct BatchRates {
  std::size_t max_batch = 0;              ///< Maximum requests in one step.
  std::size_t prefill_tokens_per_s = 0;   ///< Shared by the batch.
  std::chrono::milliseconds step_time{};  ///< For one token per request.
  std::chrono::milliseconds load_lag{};   ///< Age of the reported load.
  std::chrono::milliseconds retention{};  ///< Of an ended generation.
};

/** Generation of one request; continues after its connection is lost. */
struct Generation {
  explicit Generation(asio::io_context& io) : changed(io) {
    this->changed.expires_at(std::chrono::steady_clock::time_point::max());
  }

  std::string request_id;
  int priority = 0;  ///< Lower values run first.
  std::vector<std::string> prompt;
  std::uint64_t prompt_hash = 0;
  std::vector<BlockHash> blocks;  ///< Of the prompt.
  std::size_t requested_tokens = 0;
  std::size_t cached_tokens = 0;      ///< Prompt tokens found in the cache.
  std::size_t prefill_remaining = 0;  ///< Prompt tokens not computed yet.
  std::size_t generated_tokens = 0;
  bool is_cancelled = false;
  asio::steady_timer changed;  ///< Cancelled at every change.

  bool HasEnded() const {
    return this->is_cancelled ||
           this->generated_tokens >= this->requested_tokens;
  }
};

using GenerationPtr = std::shared_ptr<Generation>;

/** Numbers of requests that run and that wait. */
struct BatchLoad {
  std::size_t running = 0;
  std::size_t waiting = 0;
};

/**
 * Runs generations in steps. Each step computes prompt tokens at a limited
 * rate and adds one token to every running generation whose prompt is
 * computed. Not thread-safe: needs a pool of one thread.
 */
class EngineBatch {
 public:
  EngineBatch(WorkerPool& pool, BatchRates rates, PrefixCache& cache);

  /** Adds a generation to the wait queue, by priority, then arrival. */
  void Submit(const GenerationPtr& generation);

  /** @return A generation that waits, runs or is retained; or null. */
  GenerationPtr Find(const std::string& request_id) const;

  /** Cancels a generation. @return False if there is none of this id. */
  bool Cancel(const std::string& request_id);

  /** @return The load as of `BatchRates::load_lag` ago. */
  BatchLoad ReportedLoad();

  /** Multiplies the time of every later step. */
  void SetSlowFactor(std::int64_t factor) { this->slow_factor = factor; }

 private:
  struct Snapshot {
    std::chrono::steady_clock::time_point time;
    BatchLoad load;
  };
  struct EndedGeneration {
    std::chrono::steady_clock::time_point time;
    GenerationPtr generation;
  };
  using QueueKey = std::pair<int, std::uint64_t>;  ///< Priority and arrival.

  asio::awaitable<void> RunSteps();
  void Step();
  void Advance(Generation& generation, std::size_t& prefill_budget);
  void FillBatch();
  void RemoveEnded();
  void RemoveExpired();
  void RecordLoad();

  WorkerPool& pool;
  BatchRates rates;
  PrefixCache& cache;
  std::int64_t slow_factor = 1;
  bool is_stepping = false;
  std::uint64_t arrivals = 0;
  std::map<QueueKey, GenerationPtr> waiting;
  std::vector<GenerationPtr> running;
  std::unordered_map<std::string, GenerationPtr> generations;
  std::deque<EndedGeneration> ended;
  std::deque<Snapshot> snapshots;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_ENGINE_BATCH_H_
