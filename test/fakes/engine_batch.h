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

/** Fixed rates of an engine. */
struct BatchRates {
  std::size_t max_batch = 0;              ///< Most requests in one step.
  std::size_t prefill_tokens_per_s = 0;   ///< Of the whole batch.
  std::chrono::milliseconds step_time{};  ///< One token for each request.
  std::chrono::milliseconds load_lag{};   ///< Age of the load reported.
  std::chrono::milliseconds retention{};  ///< Of a finished generation.
};

/** One request's generation; goes on when its connection breaks. */
struct Generation {
  explicit Generation(asio::io_context& io) : changed(io) {
    this->changed.expires_at(std::chrono::steady_clock::time_point::max());
  }

  std::string request_id;
  int priority = 0;  ///< Zero goes first.
  std::vector<std::string> prompt;
  std::uint64_t prompt_hash = 0;
  std::vector<BlockHash> blocks;  ///< Of the prompt.
  std::size_t wanted = 0;         ///< Tokens asked for.
  std::size_t cached = 0;         ///< Prompt tokens found in the cache.
  std::size_t prefill_left = 0;   ///< Prompt tokens still to be computed.
  std::size_t generated = 0;
  bool cancelled = false;
  asio::steady_timer changed;  ///< Cancelled at every change.

  bool HasEnded() const {
    return this->cancelled || this->generated >= this->wanted;
  }
};

using GenerationPtr = std::shared_ptr<Generation>;

/** Requests running and waiting. */
struct BatchLoad {
  std::size_t running = 0;
  std::size_t waiting = 0;
};

/**
 * Runs generations in steps; in each, every running generation whose prompt
 * is computed gains one token. Lives on a pool of one thread.
 */
class EngineBatch {
 public:
  EngineBatch(WorkerPool& pool, BatchRates rates, PrefixCache& cache);

  /** Puts a generation in the waiting line, by priority, then arrival. */
  void Submit(const GenerationPtr& generation);

  /** @return A generation that waits, runs or is still kept; or null. */
  GenerationPtr Find(const std::string& request_id) const;

  /** Stops a generation. @return False if it is not known. */
  bool Cancel(const std::string& request_id);

  /** @return The load as it was one load lag ago. */
  BatchLoad ReportedLoad();

  /** Makes every step take a multiple of its time. */
  void SetSlowFactor(std::int64_t factor) { this->slow_factor = factor; }

 private:
  struct Snapshot {
    std::chrono::steady_clock::time_point time;
    BatchLoad load;
  };
  struct Ended {
    std::chrono::steady_clock::time_point time;
    GenerationPtr generation;
  };
  using Place = std::pair<int, std::uint64_t>;  ///< Priority and arrival.

  asio::awaitable<void> RunSteps();
  void Step();
  void Advance(Generation& generation, std::size_t& prefill_budget);
  void FillBatch();
  void RemoveEnded();
  void ForgetOld();
  void NoteLoad();

  WorkerPool& pool;
  BatchRates rates;
  PrefixCache& cache;
  std::int64_t slow_factor = 1;
  bool stepping = false;
  std::uint64_t arrivals = 0;
  std::map<Place, GenerationPtr> waiting;
  std::vector<GenerationPtr> running;
  std::unordered_map<std::string, GenerationPtr> known;
  std::deque<Ended> ended;
  std::deque<Snapshot> snapshots;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_ENGINE_BATCH_H_
