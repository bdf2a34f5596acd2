/** @file load_run.h Sends a workload to a fleet and notes what came of it. */

#ifndef BENCH_LOAD_RUN_H_
#define BENCH_LOAD_RUN_H_

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "chat_book.h"
#include "harness/local_fleet.h"
#include "workload.h"

namespace buckthornpath {

/** How one call ended. */
enum class CallEnd { kFinished, kRefused, kFailed };

/** One call of a phase. */
struct CallSample {
  std::size_t organisation = 0;
  Rank rank = Rank::kStandard;
  CallEnd end = CallEnd::kFailed;
  std::chrono::nanoseconds first_token{};
  std::chrono::nanoseconds total{};
  int tokens = 0;
  std::size_t cached_tokens = 0;
  std::size_t ideal_tokens = 0;
};

/** The endpoints' calls at one moment. */
struct LoadSample {
  double maximum = 0.0;
  double mean = 0.0;
};

/** All that was noted in one phase. */
struct PhaseResult {
  std::string name;
  std::chrono::duration<double> length{};
  std::vector<CallSample> calls;
  std::vector<LoadSample> loads;
  double control_bytes_per_s_max = 0.0;  ///< Of the node that spent most.
};

/** Fleet under measurement. */
class LoadRun {
 public:
  /** @param callers_echo Whether callers return the location hint. */
  LoadRun(const Deployment& deployment,
          const std::string& policy,
          std::size_t routers,
          bool callers_echo,
          std::uint64_t seed);

  /** Runs one phase to the end of its last call. */
  PhaseResult Run(const Phase& phase, std::chrono::seconds length);

  const LocalFleet& Fleet() const { return this->fleet; }
  const Deployment& ThisDeployment() const { return this->deployment; }

 private:
  Deployment deployment;
  std::size_t routers;
  std::uint64_t seed;
  LocalFleet fleet;
  ChatBook book;
};

}  // namespace buckthornpath

#endif  // BENCH_LOAD_RUN_H_
