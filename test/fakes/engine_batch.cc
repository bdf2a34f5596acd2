/** @file engine_batch.cc Continuous batching of a fake model engine. */

#include "fakes/engine_batch.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

#include "fakes/generation.h"

namespace buckthornpath {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

/** Maximum delay of a step for which later steps make up. */
constexpr std::chrono::milliseconds kMaxCatchUp{1000};

}  // namespace

EngineBatch::EngineBatch(WorkerPool& pool, BatchRates rates, PrefixCache& cache)
    : pool(pool), rates(rates), cache(cache) {}

void EngineBatch::Submit(const GenerationPtr& generation) {
  this->generations[generation->request_id] = generation;
  if (generation->HasEnded())
    return;
  this->waiting[{generation->priority, ++this->arrivals}] = generation;
  this->RecordLoad();
  if (this->is_stepping)
    return;
  this->is_stepping = true;
  this->pool.Spawn(this->RunSteps());
}

GenerationPtr EngineBatch::Find(const std::string& request_id) const {
  const auto found = this->generations.find(request_id);
  return found == this->generations.end() ? nullptr : found->second;
}

bool EngineBatch::Cancel(const std::string& request_id) {
  const GenerationPtr generation = this->Find(request_id);
  if (!generation)
    return false;
  if (generation->HasEnded())
    return true;
  generation->is_cancelled = true;
  generation->changed.cancel();
  std::erase_if(this->waiting,
                [&](const auto& entry) { return entry.second == generation; });
  this->RemoveEnded();
  this->RecordLoad();
  return true;
}

BatchLoad EngineBatch::ReportedLoad() {
  const auto as_of = std::chrono::steady_clock::now() - this->rates.load_lag;
  while (this->snapshots.size() > 1 && this->snapshots[1].time <= as_of)
    this->snapshots.pop_front();
  if (this->snapshots.empty() || this->snapshots.front().time > as_of)
    return {};
  return this->snapshots.front().load;
}

asio::awaitable<void> EngineBatch::RunSteps() {
  asio::steady_timer timer(this->pool.context());
  auto next = std::chrono::steady_clock::now();
  while (!this->running.empty() || !this->waiting.empty()) {
    this->FillBatch();
    const auto now = std::chrono::steady_clock::now();
    next = std::max(next, now - kMaxCatchUp) +
           this->rates.step_time * this->slow_factor;
    timer.expires_at(next);
    co_await timer.async_wait(asio::use_awaitable);
    this->Step();
  }
  this->is_stepping = false;
}

void EngineBatch::Step() {
  std::size_t prefill_budget = std::max<std::size_t>(
      1, this->rates.prefill_tokens_per_s *
             static_cast<std::size_t>(this->rates.step_time.count()) /
             kMillisecondsPerSecond);
  for (const GenerationPtr& generation : this->running)
    this->Advance(*generation, prefill_budget);
  this->RemoveEnded();
  this->RemoveExpired();
  this->RecordLoad();
}

void EngineBatch::Advance(Generation& generation, std::size_t& prefill_budget) {
  if (generation.prefill_remaining > 0) {
    const std::size_t computed =
        std::min(prefill_budget, generation.prefill_remaining);
    generation.prefill_remaining -= computed;
    prefill_budget -= computed;
    if (generation.prefill_remaining == 0)
      this->cache.Store(generation.blocks);
    return;
  }
  ++generation.generated_tokens;
  generation.changed.cancel();
}

void EngineBatch::FillBatch() {
  while (!this->waiting.empty() &&
         this->running.size() < this->rates.max_batch) {
    const GenerationPtr generation = this->waiting.begin()->second;
    this->waiting.erase(this->waiting.begin());
    generation->cached_tokens = this->cache.LookUpPrefix(generation->blocks);
    generation->prefill_remaining =
        generation->prompt.size() - generation->cached_tokens;
    this->running.push_back(generation);
  }
}

void EngineBatch::RemoveEnded() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(this->running, [&](const GenerationPtr& generation) {
    if (!generation->HasEnded())
      return false;
    std::vector<std::string> text = generation->prompt;
    for (std::size_t i = 0; i < generation->generated_tokens; ++i) {
      text.push_back(GeneratedWord(generation->prompt_hash, i));
    }
    this->cache.Store(BlockHashes(text));
    this->ended.push_back({now, generation});
    return true;
  });
}

void EngineBatch::RemoveExpired() {
  const auto oldest = std::chrono::steady_clock::now() - this->rates.retention;
  while (!this->ended.empty() && this->ended.front().time < oldest) {
    const auto found =
        this->generations.find(this->ended.front().generation->request_id);
    if (found != this->generations.end() &&
        found->second == this->ended.front().generation) {
      this->generations.erase(found);
    }
    this->ended.pop_front();
  }
}

void EngineBatch::RecordLoad() {
  const auto now = std::chrono::steady_clock::now();
  const BatchLoad load{this->running.size(), this->waiting.size()};
  const bool is_unchanged =
      !this->snapshots.empty() &&
      this->snapshots.back().load.running == load.running &&
      this->snapshots.back().load.waiting == load.waiting;
  if (is_unchanged)
    return;
  this->snapshots.push_back({now, load});
  // Removes the snapshots that are too old to be reported.
  this->ReportedLoad();
}

}  // namespace buckthornpath
